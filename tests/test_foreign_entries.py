"""Malformed entries of another writer in the store list no server and affect no other entry."""

import base64
import json
import sys
from typing import Any

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from attrs import define, field
from hypothesis import given
from hypothesis import strategies as st
from result import Ok

from pomelobarrow.decision.published.keyspace import Change
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.operators.metrics import Metrics
from pomelobarrow.operators.plugin import Observer
from pomelobarrow.platform.records import platform_sources
from pomelobarrow.platform.store import Store, _change
from pomelobarrow.published.keyspaces import CONFIG, VMS, PublishedState
from pomelobarrow.published.vms import VmList

SOURCES = platform_sources({"hall-a": "tallinn"})
ENTRY: dict[str, Any] = {
    "Service": "p1",
    "Address": "10.128.0.9:8080",
    "Zone": "hall-a",
    "Version": "v1",
    "Slots": 96,
    "State": "ready",
    "ColdLeftMs": 0,
    "Sequence": 4,
    "born": 1_700_000_000_000,
}
UNUSABLE = {"role": "unusable"}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=8,
)


def encoded(value: Any) -> str:
    return base64.b64encode(json.dumps(value).encode()).decode()


def item(key: str, value: Any, revision: int = 5) -> dict[str, Any]:
    return {"Key": key, "Revision": revision, "Value": encoded(value)}


def read(entry: Any) -> Any:
    change = _change(SOURCES[VMS], item("servers/i-1", entry))
    assert change is not None
    return change.value


def is_server(value: Any) -> bool:
    unreadable: list[str] = []
    listed = VmList(on_unreadable=lambda key, error: unreadable.append(key))
    listed.update({"vms/i-1": value}, 1.0)
    # What the adapter has accepted, no later layer refuses.
    assert unreadable == []
    return bool(listed.servers)


def test_valid_entry_lists_a_server_with_its_start_time() -> None:
    value = read(ENTRY)
    assert is_server(value)
    assert value["born_unix_ms"] == 1_700_000_000_000


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("State", "paused"),
        ("State", 7),
        ("Zone", "hall-unknown"),
        ("Zone", ["hall-a"]),
        ("Address", "10.128.0.9"),
        ("Address", "10.128.0.9:port"),
        ("Address", 8080),
        ("Slots", "many"),
        ("Slots", 0),
        ("Slots", True),
        ("Slots", 1.5),
        ("Service", None),
        ("ColdLeftMs", "soon"),
        ("ColdLeftMs", -1),
        ("born", "yesterday"),
        ("born", 1.5),
        ("born", 2.0**70),
        ("Slots", sys.float_info.max),
        ("Slots", 2**63),
        ("ColdLeftMs", 2**70),
    ],
)
def test_field_with_an_invalid_value_lists_no_server(name: str, value: Any) -> None:
    assert read({**ENTRY, name: value}) == UNUSABLE


@pytest.mark.parametrize("name", ["Service", "Address", "Zone", "Slots", "State"])
def test_missing_field_lists_no_server(name: str) -> None:
    assert read({key: value for key, value in ENTRY.items() if key != name}) == UNUSABLE


@given(JSON)
def test_any_json_is_read_without_a_crash(entry: Any) -> None:
    assert not is_server(read(entry))


@given(st.dictionaries(st.sampled_from(sorted(ENTRY)), JSON))
def test_any_foreign_fields_are_read_without_a_crash(changed: dict[str, Any]) -> None:
    value = read({**ENTRY, **changed})
    assert value == UNUSABLE or is_server(value)


@given(st.binary())
def test_any_bytes_are_read_without_a_crash(data: bytes) -> None:
    text = base64.b64encode(data).decode()
    change = _change(SOURCES[VMS], {"Key": "servers/i-1", "Revision": 5, "Value": text})
    assert change is not None
    assert not is_server(change.value)


@given(st.text() | JSON)
def test_any_value_is_read_without_a_crash(value: Any) -> None:
    change = _change(SOURCES[VMS], {"Key": "servers/i-1", "Revision": 5, "Value": value})
    assert change is not None
    assert change.value == UNUSABLE


@given(JSON | st.fixed_dictionaries({"Key": JSON, "Revision": JSON, "Value": JSON}))
def test_any_item_is_read_without_a_crash(foreign: Any) -> None:
    change = _change(SOURCES[VMS], foreign)
    assert change is None or change.value in (None, UNUSABLE)


@given(JSON)
def test_malformed_configuration_leaves_the_last_one_in_force(value: Any) -> None:
    """Without a change from the store client, the previous configuration stays in force."""
    assert _change(SOURCES[CONFIG], item("op/config", value)) is None


@define(slots=False)
class ForeignStore:
    """Serve raw items, one page per call."""

    pages: list[list[Any]] = field(factory=list)
    requested_after: list[str] = field(factory=list)

    async def list_items(self, request: web.Request) -> web.Response:
        self.requested_after.append(request.query.get("after", ""))
        number = len(self.requested_after) - 1
        has_more = number + 1 < len(self.pages)
        body = {"items": self.pages[number], "HasMore": has_more, "StoreRevision": 9}
        return web.json_response(body)

    async def watch(self, request: web.Request) -> web.Response:
        return web.json_response({"events": self.pages[0], "StoreRevision": 9})


async def client(store: ForeignStore) -> tuple[Store, TestServer]:
    app = web.Application()
    app.router.add_get("/kv-range", store.list_items)
    app.router.add_get("/kv-watch", store.watch)
    server = TestServer(app)
    await server.start_server()
    address = f"http://{server.host}:{server.port}"
    return Store(addresses=(address,), sources=SOURCES), server


MALFORMED_ITEMS = [
    {"Value": "no key"},
    "no item",
    {"Key": "servers/i-3", "Revision": "four"},
    {"Key": 5},
]


async def test_listing_skips_items_without_key_or_revision() -> None:
    """The store lists a valid entry, four malformed items of another writer and another page.

    If one bad item made the whole page fail, no server at all would be listed.
    """
    foreign = ForeignStore(
        pages=[[item("servers/i-1", ENTRY), *MALFORMED_ITEMS], [item("servers/i-9", ENTRY)]]
    )
    store, server = await client(foreign)
    page = await store.read_all(VMS)
    await store.close()
    await server.close()
    assert isinstance(page, Ok)
    assert [change.key for change in page.ok_value.changes] == ["vms/i-1", "vms/i-9"]
    assert foreign.requested_after == ["", "servers/i-1"]


async def test_watch_continues_after_undecodable_items() -> None:
    bad = {"Key": "servers/i-1", "Revision": 6, "Value": "%%%"}
    foreign = ForeignStore(pages=[[*MALFORMED_ITEMS, bad, item("servers/i-2", ENTRY, revision=7)]])
    store, server = await client(foreign)
    page = await store.read_changes(VMS, 5, now_unix_s() + 1.0)
    await store.close()
    await server.close()
    assert isinstance(page, Ok)
    first, second = page.ok_value.changes
    assert first == Change(revision=6, key="vms/i-1", value=UNUSABLE)
    assert (second.key, second.value["role"]) == ("vms/i-2", "backend_server")


LARGE = (sys.float_info.max, 1e300, 2**64, 2**70, 10**400)
FOREIGN = [{**ENTRY, name: number} for name in ("Slots", "born", "ColdLeftMs") for number in LARGE]
DRAINING = {**ENTRY, "State": "draining"}


async def published_after(pages: list[list[Any]], is_watch: bool) -> PublishedState:
    """Return what a daemon has in force after a listing, or after a sound listing and a watch."""
    observed: list[object] = []
    published = PublishedState(observe=observed.append)
    published.apply(VMS, (), 4, after_revision=0, source="test")
    store, server = await client(ForeignStore(pages=pages))
    if is_watch:
        page = await store.read_changes(VMS, 4, now_unix_s() + 1.0)
    else:
        published = PublishedState(observe=observed.append)
        page = await store.read_all(VMS)
    await store.close()
    await server.close()
    head, after = page.unwrap().head_revision, 4 if is_watch else 0
    published.apply(VMS, page.unwrap().changes, head, after_revision=after, source="store")
    return published


@pytest.mark.parametrize("is_watch", [False, True], ids=["listing", "watch"])
@pytest.mark.parametrize("foreign", FOREIGN, ids=lambda entry: repr(entry)[-60:])
async def test_entry_with_a_large_number_hides_no_other_entry(
    foreign: dict[str, Any], is_watch: bool
) -> None:
    """Guards against requests to servers that left, as each later read is refused as well."""
    items = [
        item("servers/i-other", foreign, revision=5),
        item("servers/i-1", DRAINING, revision=6),
        item("servers/i-2", ENTRY, revision=7),
    ]
    published = await published_after([items], is_watch)
    servers = published.backend_servers
    assert {name: server.leaving for name, server in servers.items()} == {"i-1": True, "i-2": False}


@pytest.mark.parametrize("revision", [2**36, 2**64, 1e300, -1, "5", True])
async def test_item_with_an_invalid_revision_hides_no_other_item(revision: Any) -> None:
    """Guards against a revision that counts as one of another era of the store."""
    items = [{**item("servers/i-other", ENTRY), "Revision": revision}, item("servers/i-2", ENTRY)]
    published = await published_after([items], is_watch=True)
    assert list(published.backend_servers) == ["i-2"]
    assert published.copies[VMS].observed_revision == 9


@given(st.dictionaries(st.sampled_from(sorted(ENTRY)), JSON))
def test_any_foreign_entry_leaves_the_others_in_force(changed: dict[str, Any]) -> None:
    """Guards against a value that one layer accepts and a later one refuses with its batch."""
    published = PublishedState(observe=lambda event: None)
    pairs = (("servers/i-other", {**ENTRY, **changed}), ("servers/i-2", ENTRY))
    changes = [_change(SOURCES[VMS], item(key, value)) for key, value in pairs]
    published.apply(VMS, [each for each in changes if each], 5, after_revision=0, source="store")
    assert "i-2" in published.backend_servers


async def test_unreadable_item_is_reported_with_its_key(capsys: pytest.CaptureFixture[str]) -> None:
    metrics = Metrics()
    foreign = ForeignStore(pages=[[item("servers/i-other", FOREIGN[0])]])
    store, server = await client(foreign)
    store.observe = Observer(metrics).observe
    await store.read_all(VMS)
    await store.close()
    await server.close()
    content, _ = metrics.render()
    assert 'pomelobarrow_unreadable_items_total{keyspace="vms"} 1' in content.decode()
    assert "servers/i-other" in capsys.readouterr().out
