"""Test publishing, waiting reads, counters and fault modes of the simulated platform."""

import asyncio
import base64
import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import aiohttp
import pytest
from standin_harness import Answer, Standin, call, running_standins, wait_until

SEED = {
    "config": {"deployment": {"objective": "cost"}},
    "vms": {
        "vms/e1": {"role": "entry", "region": "milan", "caller_address": "127.0.0.1:1"},
        "vms/b1": {"role": "backend_server", "region": "milan", "address": "127.0.0.1:2"},
    },
}


@pytest.fixture
def seed_file(tmp_path: Path) -> str:
    path = tmp_path / "seed.json"
    path.write_text(json.dumps(SEED))
    return str(path)


@pytest.fixture
def platform(seed_file: str) -> Iterator[Standin]:
    with running_standins() as start:
        yield start("platform", "--seed-file", seed_file)


async def read(platform: Standin, after: int, wait_s: float = 0, name: str = "config") -> Answer:
    """List the keyspace, or watch it from a revision; return both in the same form."""
    wait_ms = round(wait_s * 1000)
    path = f"/kv-watch?Prefix={name}/&after={after}&WaitMs={wait_ms}"
    if not after:
        path = f"/kv-range?Prefix={name}/"
    answer = await call("GET", platform.listening, path)
    if answer.status != 200:
        return answer
    items = answer.body.get("items", answer.body.get("events"))
    changes = [change_of(name, item) for item in items]
    body = {"head_revision": answer.body["StoreRevision"], "changes": changes}
    return Answer(answer.status, body)


def change_of(name: str, item: dict[str, Any]) -> dict[str, Any]:
    key = item["Key"].removeprefix("config/")
    is_deleted = item.get("Tombstone", False)
    value = None if is_deleted else json.loads(base64.b64decode(item["Value"]))
    return {"revision": item["Revision"], "key": key, "value": value}


async def publish(platform: Standin, changes: dict[str, Any], keyspace: str = "config") -> int:
    body = {"keyspace": keyspace, "changes": changes}
    return (await call("POST", platform.listening, "/admin/publish", body)).body["revision"]


async def set_mode(platform: Standin, mode: str, **fields: Any) -> None:
    await call("POST", platform.listening, "/admin/mode", {"mode": mode, **fields})


async def counters(platform: Standin) -> dict[str, int]:
    return (await call("GET", platform.listening, "/admin/counters")).body


async def start_waiting_read(platform: Standin, after: int) -> "asyncio.Task[Answer]":
    reading = asyncio.create_task(read(platform, after, wait_s=60))
    await wait_until(lambda: counters(platform), lambda counted: counted["waiting"] == 1)
    return reading


async def test_seed_is_revision_one(platform: Standin) -> None:
    change = {"revision": 1, "key": "deployment", "value": {"objective": "cost"}}
    answer = await read(platform, 0)
    assert answer.body == {"head_revision": 1, "changes": [change]}


async def test_directory_lists_entry_vms_only(platform: Standin) -> None:
    vm = {"name": "e1", "region": "milan", "caller_address": "127.0.0.1:1"}
    assert (await call("GET", platform.listening, "/v1/directory")).body == {"vms": [vm]}


async def test_waiting_read_is_answered_by_the_next_revision(platform: Standin) -> None:
    reading = await start_waiting_read(platform, 1)
    assert await publish(platform, {"classes/draft": {"x": 1}, "deployment": None}) == 2
    changes = (await reading).body["changes"]
    assert [change["value"] for change in changes] == [{"x": 1}, None]


async def test_waiting_read_ends_after_its_wait_time(platform: Standin) -> None:
    answer = await read(platform, 1, wait_s=0.01)
    assert answer.body == {"head_revision": 1, "changes": []}


async def test_down_platform_refuses_new_and_waiting_reads(platform: Standin) -> None:
    reading = await start_waiting_read(platform, 1)
    await set_mode(platform, "down")
    assert [(await reading).status, (await read(platform, 0)).status] == [503, 503]
    await set_mode(platform, "up")
    assert (await read(platform, 0)).status == 200


async def test_stale_platform_hides_later_revisions_until_it_is_up(platform: Standin) -> None:
    await set_mode(platform, "stale")
    assert await publish(platform, {"a": 1}) == 2
    assert (await read(platform, 0)).body["head_revision"] == 1
    reading = await start_waiting_read(platform, 1)
    await set_mode(platform, "up")
    assert (await reading).body["head_revision"] == 2


async def test_reverted_platform_publishes_on_from_the_old_revision(platform: Standin) -> None:
    for value in (1, 2):
        await publish(platform, {"a": value})
    await set_mode(platform, "revert", revision=2)
    assert (await read(platform, 3)).body["head_revision"] == 2
    assert await publish(platform, {"a": 9}) == 3


async def test_slow_platform_delays_reads(platform: Standin) -> None:
    await set_mode(platform, "slow", delay_s=3600)
    reading = asyncio.create_task(read(platform, 0))
    await wait_until(lambda: counters(platform), lambda counted: counted["reads"] == 1)
    assert not reading.done()
    reading.cancel()


async def test_reads_beyond_the_limit_are_refused_and_counted(seed_file: str) -> None:
    with running_standins() as start:
        platform = start("platform", "--seed-file", seed_file, "--max-reads-per-s", "5")
        answers = await asyncio.gather(*(read(platform, 0) for _ in range(40)))
        refused = sum(answer.status == 429 for answer in answers)
        assert refused
        assert await counters(platform) == {"reads": 40, "refused": refused, "waiting": 0}


async def test_vm_list_lags_behind_while_the_configuration_does_not(seed_file: str) -> None:
    with running_standins() as start:
        platform = start("platform", "--seed-file", seed_file, "--vms-lag-s", "3600")
        await publish(platform, {"vms/e2": {"role": "entry"}}, keyspace="vms")
        await publish(platform, {"a": 1})
        reading = await start_waiting_read(platform, 2)
        assert (await read(platform, 0, name="vms")).body["head_revision"] == 1
        assert (await read(platform, 0)).body["head_revision"] == 2
        reading.cancel()


async def test_return_begins_an_era_and_ends_watches_from_lost_revisions(platform: Standin) -> None:
    for number in range(3):
        await publish(platform, {"deployment": {"number": number}})
    watching = await start_waiting_read(platform, 4)
    order = {"mode": "return", "keyspace": "config", "revision": 2}
    await call("POST", platform.listening, "/admin/mode", order)
    assert (await watching).status == 410
    assert (await read(platform, 4)).status == 410
    assert (await read(platform, 0)).body["head_revision"] == 2
    assert await publish(platform, {"deployment": {"number": 9}}) == 3
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{platform.listening}/kv-range?Prefix=config/") as response,
    ):
        assert response.headers["Store-Era"] == "2"
