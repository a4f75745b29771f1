"""Hold back the senders of long messages while the memory for these is taken."""

import asyncio
from collections.abc import Hashable

from attrs import define, field

from pomelobarrow.decision.common.byte_budget import ByteBudget
from pomelobarrow.peers.peer_limits import MAX_MESSAGE_BYTES, MESSAGES_BYTES


def _budget() -> ByteBudget:
    return ByteBudget(limit_bytes=MESSAGES_BYTES, connection_limit_bytes=MAX_MESSAGE_BYTES)


@define(eq=False)
class MessageMemory:
    """Grant memory to the streams on which long messages arrive."""

    budget: ByteBudget = field(factory=_budget)
    _waiting: list["asyncio.Future[None]"] = field(factory=list, init=False)

    async def hold(self, stream: Hashable, connection: Hashable, size_bytes: int) -> None:
        """Wait until a message of this size may be read."""
        while not self.budget.try_hold(stream, connection, size_bytes):
            freed = asyncio.get_running_loop().create_future()
            self._waiting.append(freed)
            await freed

    def give_back(self, stream: Hashable) -> None:
        """Free the memory of a message, and let those that wait try again."""
        if not self.budget.give_back(stream):
            return
        waiting, self._waiting = self._waiting, []
        for freed in waiting:
            if not freed.done():
                freed.set_result(None)
