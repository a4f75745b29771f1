"""Ask several VMs about a stream until what they know settles the question."""

import asyncio
import math
from collections.abc import Awaitable, Callable, Collection, Mapping, Sequence

from attrs import evolve, frozen

from pomelobarrow.decision.streams.software_history import HistoryStatement
from pomelobarrow.kernel.clock import now_unix_s


@frozen(kw_only=True)
class PeersKnowledge:
    """What peers know of a stream: its software, if recorded, and else their histories."""

    software_key: int | None = None
    histories: tuple[HistoryStatement, ...] = ()
    # How many VMs were asked, with this one if it read the store. One that answers states its
    # history if it has no record.
    asked: int = 0

    def joined(self, other: "PeersKnowledge") -> "PeersKnowledge":
        """Return what both hold."""
        known = self.software_key if self.software_key is not None else other.software_key
        return evolve(self, software_key=known, histories=self.histories + other.histories)


# Asks one VM.
Ask = Callable[[], Awaitable[PeersKnowledge]]
# Returns how to ask the VMs of a stage, by name.
Stage = Callable[[], Mapping[str, Ask]]


async def gather_knowledge(
    stages: Sequence[Stage],
    is_settled: Callable[[PeersKnowledge], bool],
    stage_s: float,
    record_wait_s: float,
) -> PeersKnowledge:
    """Return what the VMs of the first stages know that settles the question, or what all know.

    The next stage begins once the VMs of the one before have answered or their time has passed;
    answers that come later still count. Asking a VM has a time limit of its own. What settles the
    question without a record is overruled by one that comes soon.
    """
    tasks: dict[str, asyncio.Task[PeersKnowledge]] = {}
    found = PeersKnowledge()
    try:
        for number, stage in enumerate(stages, 1):
            asks = {vm: ask for vm, ask in stage().items() if vm not in tasks}
            tasks |= {vm: asyncio.ensure_future(ask()) for vm, ask in asks.items()}
            is_last = number == len(stages)
            until_unix_s = math.inf if is_last else now_unix_s() + stage_s
            found = await _gather(tasks.values(), is_settled, until_unix_s)
            if is_settled(found):
                until_unix_s = now_unix_s() + record_wait_s
                found = await _gather(tasks.values(), has_record, until_unix_s)
                break
    finally:
        for task in tasks.values():
            task.cancel()
    return evolve(found, asked=len(tasks))


def has_record(found: PeersKnowledge) -> bool:
    """Return whether a VM has a record of the stream."""
    return found.software_key is not None


async def _gather(
    tasks: Collection[asyncio.Task[PeersKnowledge]],
    is_settled: Callable[[PeersKnowledge], bool],
    until_unix_s: float,
) -> PeersKnowledge:
    """Return what the tasks have found once that settles the question or the time has passed."""
    while True:
        done = [task for task in tasks if task.done()]
        found = PeersKnowledge()
        for task in done:
            found = found.joined(task.result())
        left_s = until_unix_s - now_unix_s()
        if len(done) == len(tasks) or is_settled(found) or left_s <= 0.0:
            return found
        timeout_s = left_s if math.isfinite(left_s) else None
        waiting = [task for task in tasks if not task.done()]
        await asyncio.wait(waiting, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
