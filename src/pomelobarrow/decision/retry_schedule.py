"""Tell refused callers when to come back, each a later time than the one before."""

from random import Random

from attrs import define

MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 60.0
# The part of the queue's pace that is kept for those who come back; new callers take the rest.
PART_FOR_RETURNING = 0.2
JITTER = 0.2


@define
class RetrySchedule:
    """Hold the time up to which returning callers are expected.

    Told the same wait, all that were refused in an overload would come back together and be refused
    again. In a line they come back no faster than the queue can take them on top of its new work.
    """

    _end_unix_s: float = 0.0

    def book(
        self, expected_wait_s: float, taken_per_s: float, now_unix_s: float, random: Random
    ) -> float:
        """Return when the next refused caller should come back."""
        earliest_unix_s = now_unix_s + max(MIN_RETRY_AFTER_S, expected_wait_s)
        gap_s = 1.0 / max(PART_FOR_RETURNING * taken_per_s, 1.0)
        latest_unix_s = now_unix_s + MAX_RETRY_AFTER_S
        self._end_unix_s = min(max(earliest_unix_s, self._end_unix_s + gap_s), latest_unix_s)
        wait_s = self._end_unix_s - now_unix_s
        # At the line's bound all would be told the same time again.
        jitter_s = wait_s * (0.5 if self._end_unix_s >= latest_unix_s else JITTER)
        return now_unix_s + max(MIN_RETRY_AFTER_S, wait_s - jitter_s * random.random())
