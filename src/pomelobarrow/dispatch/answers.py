"""Types for passing an answer from a backend server to the caller."""

from typing import Protocol

from attrs import frozen

from pomelobarrow.decision.common.errors import Refusal
from pomelobarrow.decision.requests.attempt import AttemptState

SERVER_SENT_EVENTS = "text/event-stream"
Headers = tuple[tuple[str, str], ...]


class CallerGoneError(Exception):
    """Raised when the caller has disconnected."""


@frozen
class AnswerHead:
    """Represent the status and headers of an answer."""

    status: int
    headers: Headers = ()
    server: str = ""
    # The id under which the server keeps the answer, if the answer can be resumed.
    request_id: str = ""


class AnswerSink(Protocol):
    """Receive an answer; each method raises CallerGoneError once the caller has disconnected."""

    async def head(self, head: AnswerHead) -> None:
        """Send status and headers; no other attempt is possible after this."""

    async def chunk(self, data: bytes) -> None:
        """Send the next bytes of the body."""

    async def end(self, last: bytes = b"") -> None:
        """Send the last bytes and mark the answer as complete."""

    async def abort(self, refusal: Refusal) -> None:
        """End an incomplete answer so that the caller can't mistake it for a complete one."""


@frozen(kw_only=True)
class AttemptResult:
    """Describe how one attempt ended."""

    state: AttemptState
    head_passed: bool = False
    detail: str = ""
    server: str = ""
    output_tokens: int = 0
    retry_at_unix_s: float | None = None
    refusal: Refusal | None = None
    peer: str = ""

    @property
    def is_finished(self) -> bool:
        """Return whether the complete answer has been sent to the caller."""
        return self.state is AttemptState.FINISHED
