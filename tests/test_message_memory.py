"""Senders of long messages are held back while the memory for these is taken."""

import asyncio

from pomelobarrow.decision.common.byte_budget import ByteBudget
from pomelobarrow.peers.message_memory import MessageMemory


def memory() -> MessageMemory:
    return MessageMemory(budget=ByteBudget(limit_bytes=10, connection_limit_bytes=10))


async def test_message_waits_until_another_one_has_been_read() -> None:
    held = memory()
    await held.hold("a", "connection-1", 8)
    waiting = asyncio.create_task(held.hold("b", "connection-2", 8))
    await asyncio.sleep(0)
    assert not waiting.done()
    held.give_back("a")
    await waiting
    assert held.budget.held_bytes == 8


async def test_reader_that_gave_up_waiting_does_not_block_the_others() -> None:
    """Guards against memory that goes to a reader which is gone."""
    held = memory()
    await held.hold("a", "connection-1", 8)
    first = asyncio.create_task(held.hold("b", "connection-2", 8))
    second = asyncio.create_task(held.hold("c", "connection-3", 8))
    await asyncio.sleep(0)
    first.cancel()
    held.give_back("a")
    await second
    assert held.budget.held_bytes == 8
