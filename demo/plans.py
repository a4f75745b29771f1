"""Requests that each deployment's callers send."""

from typing import Any

from attrs import field, frozen

from demo import texts
from demo.calls import Caller, Reply, call_service, chat, chat_body, new_marker
from harness.deployments import PAYING_ACCOUNT


@frozen(kw_only=True)
class ChatPlan:
    """Chat requests of one class."""

    class_name: str
    model: str
    instructions: str
    text: str
    tokens: int
    takes_issued_id: bool = False

    def body(self, is_streamed: bool, tokens: int | None = None) -> dict[str, Any]:
        """Return a new request's body."""
        size = tokens or self.tokens
        return chat_body(self.model, self.instructions, self.text, size, is_streamed)


@frozen(kw_only=True)
class ServicePlan:
    """Calls of a plain service of one class."""

    class_name: str
    method: str
    path: str
    body: dict[str, Any] | None = None
    takes_issued_id: bool = False


@frozen(kw_only=True)
class Plan:
    """Requests of one deployment's callers."""

    home_region: str
    chats: tuple[ChatPlan, ...]
    services: tuple[ServicePlan, ...]
    extra_class: str = field(default="night-audit")

    @property
    def account(self) -> str:
        """Return the paying account of the home region."""
        return account_of(self.home_region)

    @property
    def home_bound(self) -> ChatPlan:
        """Return the chat requests that must run in their home region."""
        return self.chats[0]

    @property
    def at_most_once(self) -> tuple[ChatPlan | ServicePlan, ...]:
        """Return the requests that must not run twice."""
        return tuple(each for each in (*self.chats, *self.services) if each.takes_issued_id)


def account_of(region: str) -> str:
    """Return the paying account of a region."""
    return f"{PAYING_ACCOUNT}-{region}"


async def send_marked(
    caller: Caller, plan: ChatPlan | ServicePlan, marker: str, **headers: str
) -> Reply:
    """Send one non-streamed request with a given marker."""
    if isinstance(plan, ServicePlan):
        return await call_service(
            caller, plan.class_name, plan.method, plan.path, marker, plan.body, **headers
        )
    body = plan.body(is_streamed=False)
    body["metadata"] = {"marker": marker}
    return await chat(caller, plan.class_name, body, **headers)


async def send(caller: Caller, plan: ChatPlan | ServicePlan, **headers: str) -> Reply:
    """Send one non-streamed request with a new marker."""
    return await send_marked(caller, plan, new_marker(), **headers)


RONDINELLA = Plan(
    home_region="milan",
    chats=(
        ChatPlan(
            class_name="draft",
            model="draft-large",
            instructions=texts.DRAFT_INSTRUCTIONS,
            text=texts.LOCKFILE_AND_HISTORY,
            tokens=240,
        ),
        ChatPlan(
            class_name="changelog-note",
            model="note-small",
            instructions=texts.NOTE_INSTRUCTIONS,
            text=texts.LOCKFILE_AND_HISTORY,
            tokens=24,
        ),
    ),
    services=(
        ServicePlan(
            class_name="webhook-ping",
            method="POST",
            path="/services/webhooks/pings",
            body=texts.PING,
            takes_issued_id=True,
        ),
        ServicePlan(
            class_name="status-check",
            method="GET",
            path="/services/webhooks/shops/bo-117/build?branch=main",
        ),
    ),
)

VASKTORU = Plan(
    home_region="tallinn",
    chats=(
        ChatPlan(
            class_name="contract-review",
            model="contract-reader",
            instructions=texts.REVIEW_INSTRUCTIONS,
            text=texts.OFFTAKE_CONTRACT,
            tokens=240,
        ),
        ChatPlan(
            class_name="quick-query",
            model="contract-reader",
            instructions=texts.QUERY_INSTRUCTIONS,
            text=texts.QUERY,
            tokens=32,
            takes_issued_id=True,
        ),
    ),
    services=(
        ServicePlan(
            class_name="desk-call",
            method="POST",
            path="/services/desk/orders",
            body=texts.DESK_CALL,
            takes_issued_id=True,
        ),
    ),
)

PLANS = {"rondinella": RONDINELLA, "vasktoru": VASKTORU}
