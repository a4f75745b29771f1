"""Requests and answers that are relayed as they came."""

import enum
from functools import cached_property

from attrs import field, frozen

from pomelobarrow.decision.fingerprint import fingerprint
from pomelobarrow.decision.placement_request import PlacementRequest
from pomelobarrow.decision.routing import Route
from pomelobarrow.decision.work import Work

Headers = tuple[tuple[str, str], ...]


@frozen(kw_only=True)
class PromptPart:
    """Name a part of a prompt, the same in all prompts that share it, and its length."""

    id: str
    tokens: int


@frozen(kw_only=True)
class RequestHead:
    """Hold what the headers of a request say; `headers` go on to the backend server."""

    request_id: str
    headers: Headers
    # What the client is ready to wait; None where it doesn't say.
    time_limit_s: float | None = None
    model: str | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    # The last event that the client has of a stream that broke off.
    last_event_id: str = ""

    @property
    def group(self) -> str:
        """Return the part that tells prompts with the same shared text from all others.

        The parts before it may be shared by many groups. Named by the first one, a thousand groups
        of four system prompts would be four, each kept warm in one place that overflows.
        """
        return self.prompt_parts[-2].id if len(self.prompt_parts) > 1 else ""

    @property
    def shared_tokens(self) -> int:
        """Return the tokens of the prompt that others share."""
        return sum(part.tokens for part in self.prompt_parts[:-1])


@frozen(kw_only=True)
class RelayRequest:
    """Hold a request that is being relayed; `target` is its path and query, byte for byte."""

    head: RequestHead
    route: Route
    work: Work
    method: str
    host: str
    target: str
    body: bytes = field(default=b"", repr=False)
    # The VM that passed it on. Such a request runs here or is refused: were it passed on again,
    # two VMs with different views could send it in a circle.
    forwarded_by: str = ""
    # How many backend servers it may still be sent to.
    attempts_left: int = 1

    @cached_property
    def fingerprint(self) -> int:
        """Return what names this request and those that are the same."""
        return fingerprint("", self.method, self.host, self.target, self.body)

    @property
    def for_placement(self) -> PlacementRequest:
        """Return what placing needs of it."""
        return PlacementRequest(
            route=self.route,
            work=self.work,
            group=self.head.group,
            is_forwarded=bool(self.forwarded_by),
        )


@frozen(kw_only=True)
class ServerCounts:
    """Hold the requests that a backend server says it runs and holds waiting."""

    running: int
    waiting: int


@frozen(kw_only=True)
class ServerAnswerHead:
    """Hold the head of a backend server's answer; `headers` go on to the client."""

    status: int
    headers: Headers
    request_id: str = ""
    # Whether the server vouches for the answer as its own.
    is_sealed: bool = False
    # Whether the server says that the request did not run.
    is_not_run: bool = False
    # Whether a peer says that it sent the request to no server.
    is_unsent: bool = False
    # Whether a peer says that servers ended under such requests, and that it sent this one to none.
    is_blocked: bool = False
    # The server that a peer says ended under the request, as hashed in what peers tell each other.
    ended_server_key: int | None = None
    # What the server has before it: requests that run and that wait. None where it doesn't say.
    counts: ServerCounts | None = None
    # The requests a second that it says it takes from all VMs together. None where it names none.
    limit_per_s: float | None = None
    # The header that names it.
    limit_header: str = ""
    # Why a peer can't say whether the request ran; empty on a backend server's answer.
    lost_detail: str = ""

    @property
    def is_success(self) -> bool:
        """Say whether the request succeeded."""
        return 200 <= self.status < 300


@frozen(kw_only=True)
class WholeAnswer:
    """Hold a backend server's answer that is complete."""

    head: ServerAnswerHead
    body: bytes = field(default=b"", repr=False)


class AttemptEnd(enum.Enum):
    """Enumerate how an attempt on one server or peer can end."""

    # Nothing was sent.
    NOT_SENT = "not sent"
    # A peer refused it and sent it to no server.
    TURNED_BACK = "turned back"
    # A peer refused it, as servers ended under such requests, and sent it to no server.
    BLOCKED = "blocked"
    # The server says that it did not run the request.
    REFUSED = "refused unrun"
    # A whole answer is at hand and not passed on yet.
    ANSWERED = "answered"
    # The answer has been passed on whole.
    PASSED_ON = "passed on"
    # No whole answer came; the request may have run.
    LOST = "lost"


@frozen(kw_only=True)
class AttemptReport:
    """Tell how an attempt ended and why."""

    end: AttemptEnd
    detail: str = ""
    # Whether the other end closed the connection without a whole answer.
    is_closed: bool = False
    answer: WholeAnswer | None = None
    first_answer_unix_s: float | None = None
    # The longest time between two events of a stream; 0 where there was no second one.
    longest_pause_s: float = 0.0
