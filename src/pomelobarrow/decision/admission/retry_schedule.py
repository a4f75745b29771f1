"""Schedule the retries of refused callers, each later than the one before."""

from random import Random

from attrs import define

MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 60.0
# The fraction of the queue's throughput reserved for retries; new requests use the rest.
RETRY_CAPACITY_SHARE = 0.2
JITTER = 0.2


@define
class RetrySchedule:
    """The latest retry time that has been given to a refused caller.

    Callers refused in an overload that all got the same delay would retry together and be refused
    again. Scheduled one after another, they retry no faster than the queue can serve them on top of
    new requests.
    """

    _last_retry_unix_s: float = 0.0

    def reserve(
        self, expected_wait_s: float, taken_per_s: float, now_unix_s: float, random: Random
    ) -> float:
        """Reserve and return the time at which the next refused caller should retry."""
        earliest_unix_s = now_unix_s + max(MIN_RETRY_AFTER_S, expected_wait_s)
        gap_s = 1.0 / max(RETRY_CAPACITY_SHARE * taken_per_s, 1.0)
        latest_unix_s = now_unix_s + MAX_RETRY_AFTER_S
        self._last_retry_unix_s = min(
            max(earliest_unix_s, self._last_retry_unix_s + gap_s), latest_unix_s
        )
        wait_s = self._last_retry_unix_s - now_unix_s
        # At the maximum delay all callers would get the same time, so the jitter is wider there.
        jitter_s = wait_s * (0.5 if self._last_retry_unix_s >= latest_unix_s else JITTER)
        return now_unix_s + max(MIN_RETRY_AFTER_S, wait_s - jitter_s * random.random())
