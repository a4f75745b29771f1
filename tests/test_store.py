"""The store client against a store that pages, loses its history and fails."""

import base64
import json
from collections.abc import AsyncIterator
from typing import Any

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from attrs import define, field
from result import Err, Ok

from pomelobarrow.decision.published.keyspace import KeyspaceCopy
from pomelobarrow.decision.published.store_position import era_of, position, revision_of
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.platform.store import KeyspaceSource, Store
from pomelobarrow.published.store_reader import ReadFailure

PAGE_ITEMS = 2
KEYSPACE = "things"
SOURCE = KeyspaceSource(
    prefix="things/",
    key_of=lambda key: key.removeprefix("things/"),
    value_of=lambda key, value: value,
)


@define(slots=False)
class FakeStore:
    """Serve items, kept by key as (revision, value), with configurable failures."""

    items: dict[str, tuple[int, Any]] = field(factory=dict)
    revision: int = 1
    history_gone: bool = False
    status: int = 200
    # Set for a store that announces more pages than it has, or begins again with each page.
    has_more: bool = False
    ignores_after: bool = False
    # Headers of each answer.
    headers: dict[str, str] = field(factory=dict)
    # Called after each page of a listing.
    on_page_served: Any = None

    def put(self, key: str, value: Any) -> None:
        self.revision += 1
        self.items[f"things/{key}"] = (self.revision, value)

    def item(self, key: str) -> dict[str, Any]:
        revision, value = self.items[key]
        if value is None:
            return {"Key": key, "Revision": revision, "Tombstone": True}
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        return {"Key": key, "Revision": revision, "Value": encoded, "Created": 1, "Lease": 0}

    async def list_items(self, request: web.Request) -> web.Response:
        if self.status != 200:
            return web.Response(status=self.status)
        after = "" if self.ignores_after else request.query.get("after", "")
        keys = sorted(k for k, (_, value) in self.items.items() if value is not None and k > after)
        body = {
            "items": [self.item(key) for key in keys[:PAGE_ITEMS]],
            "HasMore": self.has_more or len(keys) > PAGE_ITEMS,
            "StoreRevision": self.revision,
        }
        if self.on_page_served:
            self.on_page_served()
        return web.json_response(body, headers=self.headers)

    async def watch(self, request: web.Request) -> web.Response:
        if self.history_gone:
            return web.Response(status=410)
        after = int(request.query["after"])
        keys = sorted((rev, key) for key, (rev, _) in self.items.items() if rev > after)
        events = [self.item(key) for _, key in keys]
        body = {"events": events, "StoreRevision": self.revision}
        return web.json_response(body, headers=self.headers)


@define
class Client:
    fake: FakeStore
    store: Store


@pytest.fixture
async def client() -> AsyncIterator[Client]:
    fake = FakeStore()
    app = web.Application()
    app.add_routes([web.get("/kv-range", fake.list_items), web.get("/kv-watch", fake.watch)])
    async with TestServer(app) as server:
        address = str(server.make_url("")).rstrip("/")
        store = Store(addresses=(address,), sources={KEYSPACE: SOURCE})
        yield Client(fake, store)
        await store.close()


async def read_into(copy: KeyspaceCopy, client: Client) -> None:
    page = (await client.store.read_all(KEYSPACE)).unwrap()
    copy.apply(page.changes, page.head_revision, after_revision=0)


async def test_listing_reads_all_pages(client: Client) -> None:
    for number in range(5):
        client.fake.put(f"k{number}", number)
    copy = KeyspaceCopy(KEYSPACE)
    await read_into(copy, client)
    assert dict(copy.values) == {f"k{number}": number for number in range(5)}


async def test_change_between_two_pages_arrives_through_the_watch(client: Client) -> None:
    """A key is deleted and another changed while a reader goes from page to page.

    If the pages were applied as one snapshot, the deleted key would stay for good and the changed
    one would be newer than the revision from which the watch continues.
    """
    for number in range(4):
        client.fake.put(f"k{number}", "old")

    def change_once() -> None:
        client.fake.on_page_served = None
        client.fake.put("k0", None)
        client.fake.put("k3", "new")

    client.fake.on_page_served = change_once
    copy = KeyspaceCopy(KEYSPACE)
    await read_into(copy, client)
    after = copy.observed_revision
    page = (await client.store.read_changes(KEYSPACE, after, now_unix_s())).unwrap()
    copy.apply(page.changes, page.head_revision, after_revision=after)
    assert dict(copy.values) == {"k1": "old", "k2": "old", "k3": "new"}


async def test_missing_history_is_its_own_failure(client: Client) -> None:
    client.fake.history_gone = True
    result = await client.store.read_changes(KEYSPACE, 1, now_unix_s())
    assert isinstance(result, Err)
    assert result.err_value.failure is ReadFailure.HISTORY_GONE


@pytest.mark.parametrize("status", [429, 503])
async def test_refused_call_is_reported_with_its_status(client: Client, status: int) -> None:
    client.fake.status = status
    result = await client.store.read_all(KEYSPACE)
    assert isinstance(result, Err)
    assert result.err_value.failure is ReadFailure.REFUSED
    assert result.err_value.detail == f"status {status}"


async def test_undecodable_item_is_ignored_and_the_others_are_read(client: Client) -> None:
    client.fake.put("k1", "fine")
    client.fake.put("k2", "x")
    broken = client.fake.item("things/k2") | {"Value": "no base64!"}
    item = client.fake.item
    client.fake.item = lambda key: broken if key == "things/k2" else item(key)  # type: ignore
    copy = KeyspaceCopy(KEYSPACE)
    await read_into(copy, client)
    assert dict(copy.values) == {"k1": "fine"}


async def test_address_that_answers_is_used(client: Client) -> None:
    client.fake.put("k1", 1)
    [address] = client.store.addresses
    store = Store(addresses=("http://127.0.0.1:9", address), sources={KEYSPACE: SOURCE})
    assert isinstance(await store.read_all(KEYSPACE), Ok)
    await store.close()


async def test_revisions_are_ordered_by_the_era_of_the_answer(client: Client) -> None:
    client.fake.put("k1", 1)
    heads = []
    for era in ("0", "3", "4"):
        client.fake.headers = {"Store-Era": era}
        page = (await client.store.read_all(KEYSPACE)).unwrap()
        assert page.changes[0].revision <= page.head_revision
        heads.append(page.head_revision)
    assert heads == sorted(heads)
    assert {revision_of(head) for head in heads} == {client.fake.revision}
    assert [era_of(head) for head in heads] == [1, 4, 5]


@pytest.mark.parametrize("text", [None, "", "-1", "two", "1.5", "\u0663", "9" * 12])
async def test_answer_without_a_valid_era_is_of_the_last_one(
    client: Client, text: str | None
) -> None:
    client.fake.headers = {"Store-Era": "2"}
    before = (await client.store.read_all(KEYSPACE)).unwrap().head_revision
    client.fake.headers = {} if text is None else {"Store-Era": text}
    assert (await client.store.read_all(KEYSPACE)).unwrap().head_revision == before


async def test_watch_that_a_later_era_answers_reports_its_history_gone(client: Client) -> None:
    """The store came back, and has passed the revision asked for again."""
    client.fake.headers = {"Store-Era": "2"}
    for number in range(4):
        client.fake.put(f"k{number}", number)
    result = await client.store.read_changes(KEYSPACE, position(2, 2), now_unix_s())
    assert isinstance(result, Err)
    assert result.err_value.failure is ReadFailure.HISTORY_GONE
    assert isinstance(await client.store.read_changes(KEYSPACE, position(3, 2), now_unix_s()), Ok)


async def test_listing_over_two_eras_is_given_up(client: Client) -> None:
    for number in range(4):
        client.fake.put(f"k{number}", number)
    client.fake.headers = {"Store-Era": "2"}

    pages = []

    def come_back() -> None:
        pages.append(None)
        client.fake.headers = {"Store-Era": str(1 + len(pages))}

    client.fake.on_page_served = come_back
    result = await client.store.read_all(KEYSPACE)
    assert isinstance(result, Err)
    assert result.err_value.detail == "the store came back from an older copy during the listing"


async def test_listing_that_ends_before_its_last_page_is_given_up(client: Client) -> None:
    """An empty page counted as the end although the store announced more; the rest was dropped."""
    for number in range(5):
        client.fake.put(f"k{number}", number)

    def withhold_items() -> None:
        client.fake.items = {}
        client.fake.has_more = True

    client.fake.on_page_served = withhold_items
    result = await client.store.read_all(KEYSPACE)
    assert result.unwrap_err().failure is ReadFailure.MALFORMED


async def test_listing_of_too_many_pages_is_given_up(
    client: Client, monkeypatch: pytest.MonkeyPatch
) -> None:
    """After the largest number of pages, what had come counted as the whole."""
    monkeypatch.setattr("pomelobarrow.platform.store.MAX_PAGES", 3)
    client.fake.put("k1", 1)
    client.fake.has_more = True
    client.fake.ignores_after = True
    result = await client.store.read_all(KEYSPACE)
    assert result.unwrap_err().failure is ReadFailure.MALFORMED


async def test_listing_with_an_older_page_is_given_up(client: Client) -> None:
    """Keys that were published after the older page would be missing for good."""
    for number in range(5):
        client.fake.put(f"k{number}", number)

    def go_back() -> None:
        client.fake.revision = 2

    client.fake.on_page_served = go_back
    result = await client.store.read_all(KEYSPACE)
    assert result.unwrap_err().failure is ReadFailure.MALFORMED
