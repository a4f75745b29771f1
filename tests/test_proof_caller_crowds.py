"""A daemon of a small VM beside callers of its own interface that don't behave."""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
import orjson
import pytest
from attrs import evolve, frozen
from callers import chat, chat_body
from client_crowd import (
    BODY_BYTES,
    DESCRIPTORS,
    MEMORY_BYTES,
    ORDINARY_TIMEOUT_S,
    ORDINARY_TRIES,
    RETRY_PAUSE_S,
    Blocks,
    Crowd,
    in_blocks,
    limit_process,
    peak_process_bytes,
    repeated,
)
from proof_report import Figure

from harness.deployments import RONDINELLA, token_of
from harness.fleet import HOST, EntryPlan, Fleet

pytestmark = [pytest.mark.proof, pytest.mark.crowd]

REGION, ACCOUNT = "milan", "paying-milan"
MODEL, CLASS = "note-small", "changelog-note"
BODIES_AHEAD, AHEAD_BYTES = 64, 400_000
DEPLOYMENT = evolve(
    RONDINELLA,
    regions=(REGION,),
    vms_per_region=1,
    pools=tuple(
        evolve(pool, servers_by_region={REGION: pool.servers_by_region[REGION]})
        for pool in RONDINELLA.pools
    ),
)


class SmallVms(Fleet):
    """Entry VMs whose settings state little memory and few descriptors."""

    def _settings(self, entry: EntryPlan) -> dict[str, Any]:
        resources = {"memory_bytes": MEMORY_BYTES, "descriptors": DESCRIPTORS}
        return super()._settings(entry) | {"resources": resources}


@asynccontextmanager
async def small_entry() -> AsyncIterator[tuple[SmallVms, str]]:
    """Run a deployment of one entry VM with limited resources."""
    async with SmallVms(DEPLOYMENT) as fleet:
        (vm,) = fleet.entries
        limit_process(fleet.processes.running[vm].pid)
        assert await is_chat_answered(fleet, vm)
        yield fleet, vm


async def is_chat_answered(fleet: Fleet, vm: str) -> bool:
    """Send one small request, again if it is refused."""
    timeout = aiohttp.ClientTimeout(total=ORDINARY_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        for _ in range(ORDINARY_TRIES):
            body = chat_body(MODEL)
            reply = await chat(fleet, fleet.direct(vm), ACCOUNT, CLASS, body, session=session)
            if reply.is_answered:
                return True
            await asyncio.sleep(RETRY_PAUSE_S)
    return False


def head(path: str, *lines: str) -> bytes:
    """Return the head of a request of a known account."""
    fields = (
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Authorization: Bearer {token_of(ACCOUNT)}",
        f"Pomelobarrow-Class: {CLASS}",
        "Content-Type: application/json",
        *lines,
    )
    return "\r\n".join((*fields, "", "")).encode()


def _chat_of_size(size_bytes: int) -> bytes:
    empty = orjson.dumps(chat_body(MODEL, text=""))
    return orjson.dumps(chat_body(MODEL, text="t" * (size_bytes - len(empty))))


CHAT = "/v1/chat/completions"
BODY = _chat_of_size(BODY_BYTES)
AHEAD_BODY = _chat_of_size(AHEAD_BYTES)


def whole_chat(number: int) -> Iterator[bytes]:
    yield head(CHAT, f"Content-Length: {len(BODY)}")
    yield from in_blocks(BODY)


def chat_short_of_a_byte(number: int) -> Iterator[bytes]:
    yield head(CHAT, f"Content-Length: {len(BODY)}")
    yield from in_blocks(BODY[:-1])


def chat_in_small_chunks(number: int) -> Iterator[bytes]:
    yield head(CHAT, "Transfer-Encoding: chunked")
    parts = (BODY[start : start + 64] for start in range(0, BODY_BYTES - 64, 64))
    yield from in_blocks(b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts))


def chats_sent_ahead(number: int) -> Iterator[bytes]:
    request = head(CHAT, f"Content-Length: {len(AHEAD_BODY)}")
    yield from repeated((request, AHEAD_BODY), BODIES_AHEAD)


@frozen
class Case:
    """What each caller of a crowd sends, and how many there are."""

    blocks: Blocks
    callers: int


CASES = (
    Case(whole_chat, 60),
    Case(chat_short_of_a_byte, 60),
    Case(chat_in_small_chunks, 60),
    Case(chats_sent_ahead, 30),
)


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.blocks.__name__)
async def test_crowd_of_callers_does_not_fill_the_memory_of_a_vm(
    case: Case, figure: Figure
) -> None:
    """A process ran out of memory by bodies of legal size that callers had left unfinished."""
    async with small_entry() as (fleet, vm):
        process = fleet.processes.running[vm]
        host, _, port = fleet.direct(vm).rpartition(":")
        crowd = Crowd((host, int(port)))
        await crowd.send_on_each(case.callers, case.blocks)
        is_answered = await is_chat_answered(fleet, vm)
        assert process.poll() is None
        peak_bytes = peak_process_bytes(process.pid)
        crowd.leave()
    figure("peak of a daemon, MB", peak_bytes // 1_000_000)
    assert peak_bytes < MEMORY_BYTES
    assert is_answered
