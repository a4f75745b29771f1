"""A request as the dispatcher sees it."""

from collections.abc import Callable
from functools import cached_property
from typing import Self

from attrs import evolve, field, frozen

from pomelobarrow.decision.attempt import Attempt
from pomelobarrow.decision.configuration import WorkClass
from pomelobarrow.decision.fingerprint import fingerprint
from pomelobarrow.decision.work import Work
from pomelobarrow.dispatch.answers import Headers

# Stand between a request's id and the number of a later attempt, made by the entry VM or by the VM
# that it passed the request on to: neither knows the other's numbers. No URL needs them escaped.
ENTRY_ATTEMPT_MARK = "~"
FORWARDED_ATTEMPT_MARK = "."


@frozen(kw_only=True)
class GatewayRequest:
    """Hold a checked request with the work it stands for."""

    work: Work
    work_class: WorkClass
    is_chat: bool
    is_streamed: bool
    # True where request_id was issued by an entry VM, which lets it run at most once.
    is_claimed: bool = False
    method: str
    path: str
    headers: Headers = ()
    body: bytes = b""
    traceparent: str = ""
    # Set on a request that another entry VM passed on: it runs here or is refused, so no
    # view of the fleet, however wrong, can send it in a circle.
    forwarded_by: str | None = None
    # Asked when the reader has gone: True where it may fetch the rest of a stream through another
    # VM, so that the backend server must not be told to cancel.
    is_link_lost: Callable[[], bool] = field(default=lambda: False, eq=False)
    # Filled in as attempts start, so that whoever cancels can say whether any may have run.
    attempts: list[Attempt] = field(factory=list, eq=False)

    @cached_property
    def fingerprint(self) -> int:
        """Return what names this request and those that are the same."""
        return fingerprint(self.work.account, self.method, "", self.path, self.body)

    def for_attempt(self, number: int) -> Self:
        """Return the request under an id that no earlier attempt on an engine had.

        An engine refuses an id for good that it has cancelled before its start, so that "not run"
        stays true of a copy still on its way. A service may know repeats by their id.
        """
        if number == 1 or not self.is_chat:
            return self
        mark = ENTRY_ATTEMPT_MARK if self.forwarded_by is None else FORWARDED_ATTEMPT_MARK
        request_id = f"{self.work.request_id}{mark}{number}"
        return evolve(self, work=evolve(self.work, request_id=request_id))

    def with_traceparent(self, traceparent: str) -> Self:
        """Return the request as the next hop is to get it; itself where traces are off."""
        if traceparent == self.traceparent:
            return self
        return evolve(self, traceparent=traceparent)
