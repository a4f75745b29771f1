"""A daemon beside a server whose answers have no end."""

import asyncio
import itertools
import json
import random
import resource
from collections import Counter
from collections.abc import AsyncIterator, Mapping
from contextlib import AsyncExitStack, asynccontextmanager

import aiohttp
import pytest
from attrs import frozen
from callers import wait_until
from client_crowd import peak_memory_bytes
from endless_answer import EndlessAnswer, chunk, head, raw
from proof_report import Figure
from scripted_server import Script, ScriptedServer, answers

from soak.fleet import POOL, ROOT_HOST, Daemon, SoakFleet

pytestmark = pytest.mark.proof

# Half of the memory of a VM.
MAX_DAEMON_BYTES = 150 << 20
# A daemon that needs more fails to allocate it, before it affects the machine of the test.
DATA_LIMIT_BYTES = 600 << 20
WAVES, REPEATABLE_PER_WAVE, ONCE_PER_WAVE = 4, 20, 12
ENDLESS = {
    "body": (head(), b"x" * 1_000),
    "chunked body": (head(Transfer_Encoding="chunked"), chunk(b"x" * 1_000)),
    "interim answers": (raw(b""), b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "chunk extension": (head(Transfer_Encoding="chunked"), b"1;" + b"e" * 1_000),
}


def unanswered(fleet: SoakFleet, daemon: Daemon) -> list[tuple[str, int, str]]:
    """Return status and reason of the repeatable requests of the waves that failed."""
    lines = [json.loads(line) for line in fleet.processes.log(daemon.vm).splitlines()]
    return [
        (line["request_id"], line["status"], line["detail"])
        for line in lines
        if line["event"] in ("relay ended", "relay attempt ended")
        and line["request_id"].startswith("plain-")
        and line["status"] != 200
    ]


def limit_memory(fleet: SoakFleet, daemon: Daemon) -> None:
    pid = fleet.processes.running[daemon.vm].pid
    resource.prlimit(pid, resource.RLIMIT_DATA, (DATA_LIMIT_BYTES, DATA_LIMIT_BYTES))


@frozen
class Wave:
    """Statuses of requests that were sent at the same time."""

    repeatable: list[int | None]
    once: list[int | None]


async def send_wave(fleet: SoakFleet, daemon: Daemon, number: int) -> Wave:
    """Send requests at the same time."""
    kinds = ["plain"] * REPEATABLE_PER_WAVE + ["once"] * ONCE_PER_WAVE
    async with aiohttp.ClientSession() as session:
        statuses = await asyncio.gather(
            *(
                fleet.send(session, daemon, kind, f"{kind}-{number}-{index}", b"")
                for index, kind in enumerate(kinds)
            )
        )
    return Wave(statuses[:REPEATABLE_PER_WAVE], statuses[REPEATABLE_PER_WAVE:])


async def wait_until_listed(
    fleet: SoakFleet, daemon: Daemon, servers: list[ScriptedServer]
) -> None:
    """Send requests until each server has got one."""
    numbers = itertools.count()

    async def has_reached_all() -> bool:
        await fleet.send(session, daemon, "plain", f"first-{next(numbers)}", b"")
        return all(server.received for server in servers)

    async with aiohttp.ClientSession() as session:
        await wait_until(has_reached_all)


@asynccontextmanager
async def daemon_with(scripts: Mapping[str, Script]) -> AsyncIterator[tuple[SoakFleet, Daemon]]:
    """Run a daemon of limited memory with servers that have each got a request."""
    async with AsyncExitStack() as stack:
        fleet = await stack.enter_async_context(
            SoakFleet(random=random.Random(1), daemons_per_region=1, servers_per_region=0)
        )
        daemon = fleet.daemons[0]
        await fleet.wait_ready(daemon)
        limit_memory(fleet, daemon)
        servers = [
            await stack.enter_async_context(
                ScriptedServer(name=name, host=ROOT_HOST, script=script)
            )
            for name, script in scripts.items()
        ]
        for server in servers:
            fleet.list_address(server.name, daemon.region, server.address, POOL)
        await wait_until_listed(fleet, daemon, servers)
        yield fleet, daemon


@pytest.mark.parametrize("name", ENDLESS)
async def test_requests_are_served_beside_endless_answers(name: str, figure: Figure) -> None:
    """Guards against one server in three that fills the memory of the VMs of its region."""
    endless = EndlessAnswer(start=ENDLESS[name][0], repeated=ENDLESS[name][1])
    async with daemon_with({"s1": endless, "s2": answers(), "s3": answers()}) as (fleet, daemon):
        waves = [await send_wave(fleet, daemon, number) for number in range(WAVES)]
        ended, peak_bytes = fleet.ended_daemons(), peak_memory_bytes(fleet, daemon)
        reasons = unanswered(fleet, daemon)
    figure("peak of a daemon, MiB", peak_bytes >> 20)
    figure("statuses", Counter(status for each in waves for status in each.repeatable + each.once))
    assert ended == []
    assert {status for wave in waves for status in wave.repeatable} == {200}, reasons
    assert {status for wave in waves for status in wave.once} <= {200, 502}
    assert peak_bytes < MAX_DAEMON_BYTES


async def test_memory_is_bounded_while_all_servers_give_endless_answers(figure: Figure) -> None:
    """Guards against many endless answers at a time, where no other server can be chosen."""
    start, repeated = ENDLESS["body"]
    scripts = {name: EndlessAnswer(start=start, repeated=repeated) for name in ("s1", "s2", "s3")}
    async with daemon_with(scripts) as (fleet, daemon):
        waves = [await send_wave(fleet, daemon, number) for number in range(WAVES)]
        ended, peak_bytes = fleet.ended_daemons(), peak_memory_bytes(fleet, daemon)
    figure("peak of a daemon, MiB", peak_bytes >> 20)
    figure("statuses", Counter(status for each in waves for status in each.repeatable + each.once))
    assert ended == []
    assert {status for wave in waves for status in wave.repeatable + wave.once} <= {502, 503, 504}
    assert peak_bytes < MAX_DAEMON_BYTES
