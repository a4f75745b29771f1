"""Decide whether to admit a stream that would start late, and when a refused caller should retry.

Load pattern: after a crash or an evacuation more streams arrive than the remaining servers can
start. Engines queue every request they receive, so soon every first answer is seconds late, callers
disconnect, and the prefill done for them is wasted. A stream that its caller would abandon is
refused immediately and retried once the servers have worked off their backlog. A long prompt is
refused as soon as it would be late, because its prefill delays all other streams.
"""

from random import Random

from attrs import frozen

from pomelobarrow.decision.admission.retry_schedule import RetrySchedule

# The fraction of the time after which a caller abandons a silent stream that the expected wait may
# use up. Short prompts are admitted up to this bound. The estimate for a full region is too high:
# when short prompts were refused beyond 1.25 times their target, 700 of 6,900 were retried late
# although most would have been on time, and 5,569 were served in time instead of 6,033.
MAX_WAIT_SHARE = 0.75
# Long prompts that overtake others are admitted beyond their target: the expected wait includes the
# prefill of the others, which they overtake too.
OVERTAKING_TARGET_SHARE = 1.5
# Callers ignore a Retry-After beyond a third of their remaining time.
RETRY_AFTER_SHARE = 0.3
# Delays capped at that share would all be equal, so they are spread over this fraction of the cap.
SPREAD_SHARE = 0.7
# The shortest retry delay, so that refused requests do not all return immediately.
MIN_RETRY_AFTER_S = 0.15
# The share of the time to its target at which a caller comes back to a full pool; the rest is for
# its answer. It comes back within the last part of that time.
TARGET_SHARE = 0.7
EARLIEST_SHARE = 0.7


@frozen(kw_only=True)
class StreamExpectations:
    """The latency target of a stream and how long its caller waits."""

    first_answer_due_unix_s: float
    # The caller abandons a stream that is silent for this long.
    silence_patience_s: float
    # The prefill of the prompt delays the requests after it.
    is_long: bool
    # The pool's servers take it up before most of what they have queued.
    overtakes_others: bool = False
    # The stream was refused or cut off before: it is already late and isn't retried again.
    is_resubmission: bool


def is_worth_taking(expectations: StreamExpectations, expected_s: float, now_unix_s: float) -> bool:
    """Return whether to admit a stream whose first answer is expected after this time."""
    if expectations.is_long and not expectations.is_resubmission:
        share = OVERTAKING_TARGET_SHARE if expectations.overtakes_others else 1.0
        return expected_s <= share * (expectations.first_answer_due_unix_s - now_unix_s)
    return expected_s <= MAX_WAIT_SHARE * expectations.silence_patience_s


def return_at_unix_s(
    first_answer_due_unix_s: float, deadline_unix_s: float, now_unix_s: float, random: Random
) -> float:
    """Return when a caller may come back to a full pool: as late as it may still be on time.

    A caller that comes back at once meets the same full servers, and is rejected for good.
    """
    latest_s = RETRY_AFTER_SHARE * max(0.0, deadline_unix_s - now_unix_s)
    in_time_s = TARGET_SHARE * (first_answer_due_unix_s - now_unix_s)
    if in_time_s > MIN_RETRY_AFTER_S:
        latest_s = min(latest_s, in_time_s)
    return now_unix_s + max(MIN_RETRY_AFTER_S, latest_s * random.uniform(EARLIEST_SHARE, 1.0))


def retry_at_unix_s(
    schedule: RetrySchedule,
    expected_wait_s: float,
    taken_per_s: float,
    deadline_unix_s: float,
    now_unix_s: float,
    random: Random,
) -> float:
    """Return when a refused caller should retry, within the delay that callers accept."""
    latest_s = RETRY_AFTER_SHARE * max(0.0, deadline_unix_s - now_unix_s)
    expected_wait_s = min(expected_wait_s, latest_s)
    retry_delay_s = schedule.reserve(expected_wait_s, taken_per_s, now_unix_s, random) - now_unix_s
    if retry_delay_s > latest_s:
        retry_delay_s = latest_s * random.uniform(1.0 - SPREAD_SHARE, 1.0)
    return now_unix_s + max(MIN_RETRY_AFTER_S, retry_delay_s)
