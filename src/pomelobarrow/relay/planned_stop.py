"""Take only what can be finished once a planned stop is under way for a while."""

import math

from attrs import define

from pomelobarrow.decision.work import Work

# The signal may be handled this much later than it was sent, on a VM that is busy.
SIGNAL_LAG_S = 0.5


@define(kw_only=True)
class PlannedStop:
    """Hold from when this VM is choosy, and by when its answers have to be out.

    Clients that learned of this VM before the stop are still served. Those that come later may
    bring work that would still run when the process is ended: their answer would be cut off in its
    middle, although another VM could have given it whole. Work that may last longer is refused
    unrun.
    """

    selective_from_unix_s: float = math.inf
    finish_by_unix_s: float = math.inf

    def begin(self, late_clients_until_unix_s: float, finish_by_unix_s: float) -> None:
        """Note when a planned stop no longer owes late clients its service, and when it ends."""
        self.selective_from_unix_s = late_clients_until_unix_s - SIGNAL_LAG_S
        self.finish_by_unix_s = finish_by_unix_s

    def can_finish(self, work: Work, now_unix_s: float) -> bool:
        """Say whether work that is taken now has come to its end when this process ends."""
        return (
            now_unix_s < self.selective_from_unix_s or work.deadline_unix_s <= self.finish_by_unix_s
        )
