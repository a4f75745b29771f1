"""The soak's store keeps the platform's promises on watches."""

import asyncio

import orjson
from aiohttp.test_utils import make_mocked_request

from soak.store import SoakStore


async def test_watch_that_times_out_during_a_write_skips_no_change() -> None:
    """A watch whose time ends while a key is written must not state the write's revision alone."""
    store = SoakStore()
    path = f"/kv-watch?Prefix=op/&after={store.revision}&WaitMs=0"
    watch = asyncio.create_task(store._watch(make_mocked_request("GET", path)))
    # The watch now waits, and its time ends in the next iteration of the loop.
    await asyncio.sleep(0)
    store.put("op/config", {"Version": 1})
    body = (await watch).body
    assert isinstance(body, bytes)
    answer = orjson.loads(body)
    written_revision = store.revision
    is_listed = [item["Key"] for item in answer["events"]] == ["op/config"]
    assert is_listed or answer["StoreRevision"] < written_revision
