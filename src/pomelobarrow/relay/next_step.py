"""Decide whether to retry after an attempt and what to answer after the last one."""

import enum
from collections.abc import Iterable

from attrs import define, field

from pomelobarrow.backends.answer_limits import UNRESERVED_ANSWER_BYTES
from pomelobarrow.decision.requests.attempt_states import AttemptEnd, AttemptRecord, may_pass_on
from pomelobarrow.relay.messages import AttemptReport, RelayRequest, WholeAnswer

UNSENT_ENDS = frozenset({AttemptEnd.NOT_SENT, AttemptEnd.WITHHELD, AttemptEnd.REFUSED_UNSENT})
# A retry after an unsent attempt can't run anything twice. The limit prevents retries until the
# deadline against a region that is cut off.
MAX_UNSENT = 3
FIRST_SERVER_ERROR_STATUS = 500


class Step(enum.Enum):
    """Enumerate the possible steps after an attempt."""

    DONE = "done"
    TRY_AGAIN = "try again"
    # Send the failed answer of a server to the client.
    PASS_ON = "pass on"
    # Refuse the request as not run.
    REFUSE = "refuse"
    # Answer that the request may have run.
    FAIL = "fail"
    # Refuse permanently because the request crashes servers.
    BLOCK = "block"
    # Close a stream that has been sent in part, visibly incomplete.
    BREAK_OFF = "break off"


@define(kw_only=True)
class AttemptHistory:
    """Summarise the attempts of one request so far."""

    request: RelayRequest
    # Among them those that sent nothing.
    attempts: int = 0
    unsent: int = 0
    # True if it was refused because it crashes servers.
    is_blocked: bool = False
    # The last server of this region that crashed under the request, hashed as in crash updates.
    ended_server_key: int | None = None
    # A server's failed answer, sent to the client if no later attempt does better. A large one is
    # not kept beside the answer of the next attempt.
    failure: WholeAnswer | None = None
    last_detail: str = ""
    _records: list[AttemptRecord] = field(factory=list, init=False)

    def begin_attempt(self) -> AttemptRecord:
        """Add the next attempt; what it sends counts from its first byte on."""
        self.attempts += 1
        if self.failure is not None and self.failure.size_bytes > UNRESERVED_ANSWER_BYTES:
            self.failure = None
        record = AttemptRecord()
        self._records.append(record)
        return record

    def note(self, report: AttemptReport) -> None:
        """Record what an ended attempt means for the next one and for the final answer."""
        self.last_detail = report.detail or self.last_detail
        if report.end in UNSENT_ENDS:
            # Both cost one round trip, and their target is not tried again.
            is_cheap = report.is_connection_refused or report.is_pool_unreachable
            self.unsent += not is_cheap
        elif report.end is AttemptEnd.BLOCKED:
            self.is_blocked = True
        elif report.answer is not None and not report.answer.head.is_success:
            self.failure = report.answer

    @property
    def attempts_left(self) -> int:
        """Return the number of servers that the request may still be sent to."""
        return self._left_after(self._records)

    def attempts_left_beside(self, current: AttemptRecord) -> int:
        """Return the number of servers left for other attempts, whether this one is sent or not."""
        return self._left_after([each for each in self._records if each is not current]) - 1

    def _left_after(self, records: Iterable[AttemptRecord]) -> int:
        left = self.request.attempts_left
        for record in records:
            left -= record.meaning.reached_server
        return left

    @property
    def may_have_run(self) -> bool:
        """Return whether any server may have run the request, or may still run it."""
        for record in self._records:  # noqa: SIM110 - any() costs a generator for each request
            if record.meaning.may_run:
                return True
        return False

    @property
    def was_sent(self) -> bool:
        """Return whether the request has been sent to any server."""
        return self._left_after(self._records) < self.request.attempts_left

    @property
    def may_send_again(self) -> bool:
        """Return whether the request may be sent to one more server."""
        is_allowed = self.request.route.is_repeatable or not self.may_have_run
        return is_allowed and self.attempts_left > 0


def should_retry(history: AttemptHistory, report: AttemptReport) -> bool:
    """Return whether another attempt could have a better outcome."""
    if report.end in UNSENT_ENDS:
        return history.unsent < MAX_UNSENT
    if report.end is AttemptEnd.ANSWERED:
        assert report.answer is not None
        is_failure = report.answer.head.status >= FIRST_SERVER_ERROR_STATUS
        return is_failure and history.may_send_again
    return report.end in _RETRYABLE and history.may_send_again


def may_be_passed_on(history: AttemptHistory, answer: WholeAnswer) -> bool:
    """Return whether a server's answer states no more about its request than is known."""
    return may_pass_on(answer.head.status, history.request.route.is_repeatable)


def last_step(history: AttemptHistory, is_started: bool) -> Step:
    """Return the step to take without a further attempt."""
    if is_started:
        return Step.BREAK_OFF
    if history.is_blocked:
        return Step.BLOCK
    if history.failure is not None and may_be_passed_on(history, history.failure):
        return Step.PASS_ON
    return Step.FAIL if history.may_have_run else Step.REFUSE


_RETRYABLE = frozenset({AttemptEnd.REFUSED, AttemptEnd.LOST})
