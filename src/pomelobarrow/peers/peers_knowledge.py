"""Ask several VMs about a stream until what they know settles the question."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from attrs import evolve, frozen

from pomelobarrow.decision.streams.software_history import HistoryStatement
from pomelobarrow.kernel.clock import now_unix_s


@frozen(kw_only=True)
class PeersKnowledge:
    """What peers know of a stream: its software, if recorded, and else their histories."""

    software_key: int | None = None
    histories: tuple[HistoryStatement, ...] = ()
    # How many VMs were asked. A VM that answers states its history if it has no record.
    asked: int = 0

    def joined(self, other: "PeersKnowledge") -> "PeersKnowledge":
        """Return what both hold."""
        known = self.software_key if self.software_key is not None else other.software_key
        return PeersKnowledge(
            software_key=known,
            histories=self.histories + other.histories,
            asked=self.asked + other.asked,
        )


# Asks one VM.
Ask = Callable[[], Awaitable[PeersKnowledge]]


async def gather_knowledge(
    stages: Sequence[Sequence[Ask]],
    is_settled: Callable[[PeersKnowledge], bool],
    stage_s: float,
) -> PeersKnowledge:
    """Return what the VMs of the first stages know that settle the question, or what all know.

    The next stage begins once the VMs of the one before have answered or their time has passed;
    answers that come later still count.
    """
    pending: set[asyncio.Task[PeersKnowledge]] = set()
    found, asked = PeersKnowledge(), 0
    try:
        for number, stage in enumerate(stages, 1):
            pending |= {asyncio.ensure_future(ask()) for ask in stage}
            asked += len(stage)
            is_last = number == len(stages)
            until_unix_s = None if is_last else now_unix_s() + stage_s
            while pending and not is_settled(found):
                left_s = None if until_unix_s is None else until_unix_s - now_unix_s()
                if left_s is not None and left_s <= 0.0:
                    break
                done, pending = await asyncio.wait(
                    pending, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
                )
                for each in done:
                    found = found.joined(each.result())
            if is_settled(found):
                break
    finally:
        for each in pending:
            each.cancel()
    return evolve(found, asked=asked)
