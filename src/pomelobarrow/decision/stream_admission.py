"""Decide whether work that would be late is still taken, and when a refused caller comes back.

Load pattern: more streams come than the servers left after a crash or an evacuation can begin.
Engines queue whatever comes, so that soon every first answer is seconds late, callers leave, and
what the engines read for them was in vain. What its caller would leave is refused at once, and
comes back once the servers have worked off what they hold. Long prompts are refused as soon as
they would be late: each holds up all others.
"""

from random import Random

from attrs import frozen

from pomelobarrow.decision.retry_schedule import RetrySchedule

# Of the time after which a caller leaves a silent stream, the part that an expected wait may take.
# Short prompts are taken up to it. Refused past 1.25 times their target, 700 of 6,900 came back
# late that mostly would have been on time, as the estimate of a full region is pessimistic: 5,569
# were served in time, 6,033 without that bound.
PATIENCE_SHARE = 0.75
# A caller heeds a time to come back up to a third of what it has left.
RETRY_AFTER_SHARE = 0.3
# Where the wait is cut to that share, all would come back together; they are spread over this part.
SPREAD_SHARE = 0.7
# A caller comes back after this long at least, so that what was refused isn't all back at once.
MIN_RETRY_AFTER_S = 0.15


@frozen(kw_only=True)
class StreamExpectations:
    """Hold what a stream's caller was promised, and what it bears."""

    first_answer_due_unix_s: float
    # The caller leaves a stream that is silent for this long.
    silence_patience_s: float
    # Its reading delays what comes after it.
    is_long: bool
    # It was refused or cut off before, so that it is late already, and won't come a third time.
    is_resubmission: bool


def is_worth_taking(promise: StreamExpectations, expected_s: float, now_unix_s: float) -> bool:
    """Say whether a stream whose first answer is expected so late is better taken than refused."""
    if promise.is_long and not promise.is_resubmission:
        return expected_s <= promise.first_answer_due_unix_s - now_unix_s
    return expected_s <= PATIENCE_SHARE * promise.silence_patience_s


def retry_at_unix_s(
    line: RetrySchedule,
    expected_wait_s: float,
    taken_per_s: float,
    deadline_unix_s: float,
    now_unix_s: float,
    random: Random,
) -> float:
    """Return when a refused caller comes back: in turn, and while it still heeds it."""
    latest_s = RETRY_AFTER_SHARE * max(0.0, deadline_unix_s - now_unix_s)
    expected_wait_s = min(expected_wait_s, latest_s)
    pause_s = line.book(expected_wait_s, taken_per_s, now_unix_s, random) - now_unix_s
    if pause_s > latest_s:
        pause_s = latest_s * random.uniform(1.0 - SPREAD_SHARE, 1.0)
    return now_unix_s + max(MIN_RETRY_AFTER_S, pause_s)
