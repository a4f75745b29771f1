"""Decide what follows the end of an attempt."""

import enum

from attrs import define, field

from pomelobarrow.relay.messages import AttemptEnd, AttemptReport, RelayRequest, WholeAnswer

REACHED_NO_SERVER = frozenset({AttemptEnd.NOT_SENT, AttemptEnd.REFUSED_UNSENT})
# Nothing was sent, so that trying again can't run anything twice; a region that is cut off would
# else be tried until the deadline.
MAX_UNSENT = 3
FIRST_SERVER_ERROR_STATUS = 500


class Step(enum.Enum):
    """Enumerate what can follow."""

    DONE = "done"
    TRY_AGAIN = "try again"
    # Pass the answer at hand on.
    PASS_ON = "pass on"
    # Refuse: nothing has run.
    REFUSE = "refuse"
    # Say that the request may have run.
    FAIL = "fail"
    # Refuse for good: servers end under it.
    BLOCK = "block"
    # A part of the stream is out; close it visibly short.
    BREAK_OFF = "break off"


@define(kw_only=True)
class AttemptHistory:
    """Hold what the attempts of one request have shown so far."""

    request: RelayRequest
    attempts: int = 0
    unsent: int = 0
    attempts_left: int = field(init=False)
    # Whether any server may have run the request.
    may_have_run: bool = False
    # Whether a peer refused it because servers end under it.
    is_blocked: bool = False
    # The server of this region that ended under it last.
    ended_server_key: int | None = None
    # A server's failure that goes to the client where nothing better comes.
    failure: WholeAnswer | None = None
    last_detail: str = ""

    def __attrs_post_init__(self) -> None:
        self.attempts_left = self.request.attempts_left

    def note(self, report: AttemptReport) -> None:
        """Take in how an attempt ended."""
        self.last_detail = report.detail or self.last_detail
        if report.end in REACHED_NO_SERVER:
            self.unsent += 1
            return
        if report.end is AttemptEnd.BLOCKED:
            self.is_blocked = True
            return
        self.attempts_left -= 1
        self.may_have_run |= report.end is not AttemptEnd.REFUSED
        if report.answer is not None and not report.answer.head.is_success:
            self.failure = report.answer

    @property
    def was_sent(self) -> bool:
        """Say whether any server has got the request."""
        return self.attempts_left < self.request.attempts_left

    @property
    def may_send_again(self) -> bool:
        """Say whether the request may be sent to one more server."""
        is_allowed = self.request.route.is_repeatable or not self.may_have_run
        return is_allowed and self.attempts_left > 0


def should_retry(history: AttemptHistory, report: AttemptReport) -> bool:
    """Say whether another attempt could do better."""
    if report.end in REACHED_NO_SERVER:
        return history.unsent < MAX_UNSENT
    if report.end is AttemptEnd.ANSWERED:
        assert report.answer is not None
        is_failure = report.answer.head.status >= FIRST_SERVER_ERROR_STATUS
        return is_failure and history.may_send_again
    return report.end in _RETRYABLE and history.may_send_again


def final_step(history: AttemptHistory, is_started: bool) -> Step:
    """Return what the client gets when there is no further attempt."""
    if is_started:
        return Step.BREAK_OFF
    if history.is_blocked:
        return Step.BLOCK
    if history.failure is not None:
        return Step.PASS_ON
    return Step.FAIL if history.may_have_run else Step.REFUSE


_RETRYABLE = frozenset({AttemptEnd.REFUSED, AttemptEnd.LOST})
