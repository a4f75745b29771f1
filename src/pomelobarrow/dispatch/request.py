"""The request type of the dispatcher."""

from collections.abc import Callable
from functools import cached_property
from typing import Self

from attrs import evolve, field, frozen

from pomelobarrow.decision.published.configuration import WorkClass
from pomelobarrow.decision.requests.attempt import Attempt
from pomelobarrow.decision.requests.fingerprint import fingerprint
from pomelobarrow.decision.requests.work import Work
from pomelobarrow.dispatch.answers import Headers

# Separate a request's id from the number of a later attempt. The entry VM and the VM that it
# forwards to number their attempts independently, so each has its own mark. Neither mark needs to
# be escaped in a URL.
ENTRY_ATTEMPT_MARK = "~"
FORWARDED_ATTEMPT_MARK = "."


@frozen(kw_only=True)
class GatewayRequest:
    """Represent a validated request with the work derived from it."""

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
    # The entry VM that forwarded the request. Such a request runs here or is refused, so that VMs
    # with different views of the fleet can't send it in a loop.
    forwarded_by: str | None = None
    # Called when the reader has gone. Returns True if only the link to it was lost. It may then
    # fetch the rest of a stream through another VM, so the backend server must not cancel the
    # request.
    is_link_lost: Callable[[], bool] = field(default=lambda: False, eq=False)
    # Filled in as attempts start, so that a cancellation can report whether any may have run.
    attempts: list[Attempt] = field(factory=list, eq=False)

    @cached_property
    def fingerprint(self) -> int:
        """Return a hash that is equal for requests with the same account, method, path and body."""
        return fingerprint(self.work.account, self.method, "", self.path, self.body)

    def for_attempt(self, number: int) -> Self:
        """Return the request under an id that no earlier attempt on an engine had.

        An engine that has cancelled an id before its start refuses that id permanently, so that
        "not run" stays true of a copy still in transit. A service keeps the id, because it may
        detect repeats by it.
        """
        if number == 1 or not self.is_chat:
            return self
        mark = ENTRY_ATTEMPT_MARK if self.forwarded_by is None else FORWARDED_ATTEMPT_MARK
        request_id = f"{self.work.request_id}{mark}{number}"
        return evolve(self, work=evolve(self.work, request_id=request_id))

    def with_traceparent(self, traceparent: str) -> Self:
        """Return the request for the next hop; the same object if traces are off."""
        if traceparent == self.traceparent:
            return self
        return evolve(self, traceparent=traceparent)
