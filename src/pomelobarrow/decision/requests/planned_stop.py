"""Decide which requests a planned stop waits for, and until when."""

import math

from attrs import define

# A busy VM may handle the stop signal this much later than it was sent.
SIGNAL_LAG_S = 0.5
# After the last deadline that is served in full, answers may still be on their way for this long.
LAST_ANSWERS_S = 0.4


@define(kw_only=True)
class PlannedStop:
    """Decide by the deadline of a request whether it may go on during a planned stop.

    Clients that looked up this VM before the stop are still served. A request that arrives later
    may still be running when the process ends, and its answer would be truncated although another
    VM could complete it. Requests that may last longer than the stop are refused unrun.

    A request counts as arrived once its body is read whole: until then it has not run, and its
    client can be refused. From then on it gets an answer. A part of a head is no request yet.
    """

    has_begun: bool = False
    selective_from_unix_s: float = math.inf
    finish_by_unix_s: float = math.inf

    def begin(self, late_clients_until_unix_s: float, finish_by_unix_s: float) -> None:
        """Set the time until which late clients are served in full, and the end of the stop."""
        self.has_begun = True
        full_service_until_unix_s = min(late_clients_until_unix_s, finish_by_unix_s)
        self.selective_from_unix_s = full_service_until_unix_s - SIGNAL_LAG_S
        self.finish_by_unix_s = finish_by_unix_s

    @property
    def answer_by_unix_s(self) -> float:
        """Return when requests that still run get their final answer."""
        return self.finish_by_unix_s + LAST_ANSWERS_S

    def can_finish(self, deadline_unix_s: float, now_unix_s: float) -> bool:
        """Return whether a request that starts now, or whose body arrives, ends before the stop."""
        return now_unix_s < self.selective_from_unix_s or deadline_unix_s <= self.finish_by_unix_s
