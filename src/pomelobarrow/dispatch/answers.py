"""How an answer travels from a backend server to whoever asked."""

from typing import Protocol

from attrs import frozen

from pomelobarrow.decision.attempt import AttemptState
from pomelobarrow.decision.errors import Refusal

SERVER_SENT_EVENTS = "text/event-stream"
END_EVENT = b"data: [DONE]\n\n"
Headers = tuple[tuple[str, str], ...]


class CallerGoneError(Exception):
    """Report that nobody waits for the answer any more."""


@frozen
class AnswerHead:
    """Hold an answer's status and headers."""

    status: int
    headers: Headers = ()
    server: str = ""
    # The id under which the server holds the answer, where that can be resumed.
    request_id: str = ""


class AnswerSink(Protocol):
    """Take an answer; each method raises CallerGoneError once the reader has left."""

    async def head(self, head: AnswerHead) -> None:
        """Take status and headers; nothing can be tried elsewhere after this."""

    async def chunk(self, data: bytes) -> None:
        """Take the next bytes of the body."""

    async def end(self) -> None:
        """Take note that the answer is whole."""

    async def abort(self, refusal: Refusal) -> None:
        """Take note that the answer stops short and must not look complete."""


@frozen(kw_only=True)
class AttemptResult:
    """Tell how one attempt ended."""

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
        """Tell whether the whole answer has been passed on."""
        return self.state is AttemptState.FINISHED
