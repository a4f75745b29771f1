"""Read the platform's store: list a prefix, then watch it from a revision."""

import base64
import random
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import aiohttp
import orjson
from attrs import define, field, frozen
from result import Err, Ok, Result

from pomelobarrow.backends.answer_buffers import read_limited
from pomelobarrow.backends.answer_limits import AnswerTooLargeError
from pomelobarrow.backends.sessions import bounded_connector
from pomelobarrow.decision.common.bounded import count_or_none
from pomelobarrow.decision.published.keyspace import Change
from pomelobarrow.decision.published.store_position import (
    MAX_ERA,
    MAX_REVISION,
    era_of,
    position,
    revision_of,
)
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.published.events import ItemUnreadable, StoreAnswerTooLong
from pomelobarrow.published.store_reader import Page, ReadError, ReadFailure, StoreReader

RANGE_PATH = "/kv-range"
WATCH_PATH = "/kv-watch"
HISTORY_GONE_STATUS = 410
# Rises by one each time that the store comes back from an older copy.
ERA_HEADER = "Store-Era"
MS_PER_S = 1_000.0
# The store answers within milliseconds; after this time, an answer counts as lost.
ANSWER_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 1.0
# A listing's page has about 1 MB, and one item more. A watch answers with all changes since a
# revision; if its answer is longer, a listing replaces it. A VM has 300 MB, and the decoded answer
# may take over twenty times its bytes.
MAX_ANSWER_BYTES = 4 << 20
# All pages of a listing.
MAX_LISTING_BYTES = 16 << 20
# A page has about 500 items. Each unreadable one is reported.
MAX_ITEMS_PER_ANSWER = 16_384
# A thousand pages are far more than any keyspace has; the limit stops an endless listing.
MAX_PAGES = 1_000
OLDER_PAGE = "a page of the listing is older than its first one"
RETURNED_MEANWHILE = "the store came back from an older copy during the listing"

# Errors raised by decoding another writer's bytes and by reading fields of unexpected types.
DECODE_ERRORS = (ArithmeticError, AttributeError, LookupError, TypeError, ValueError)


@frozen(kw_only=True)
class StoreAnswer:
    """A decoded answer of the store and the era that it states."""

    body: dict[str, Any]
    era: int
    body_bytes: int


@frozen(kw_only=True)
class KeyspaceSource:
    """Where the store holds a keyspace and how its items are translated."""

    prefix: str
    key_of: Callable[[str], str | None]
    value_of: Callable[[str, Any], Any]
    # Replaces an item that can't be decoded; None if the item's previous value is to stay.
    value_if_unreadable: Any | None = None


@define(kw_only=True)
class Store:
    """Read keyspaces from the store's addresses over one HTTP session."""

    addresses: Sequence[str]
    sources: Mapping[str, KeyspaceSource]
    observe: Callable[[object], None] = lambda event: None
    max_answer_bytes: int = MAX_ANSWER_BYTES
    max_listing_bytes: int = MAX_LISTING_BYTES
    _random: random.Random = field(factory=random.Random)
    _session: aiohttp.ClientSession | None = field(default=None, init=False)
    # The last era that the store stated; it counts for answers that state none.
    _era: int = field(default=0, init=False)

    def reader(self) -> StoreReader:
        """Return the functions with which the watcher reads the store."""
        return StoreReader(read_all=self.read_all, read_changes=self.read_changes, close=self.close)

    async def read_all(self, keyspace: str) -> Result[Page, ReadError]:
        """Return all items as of the first page's revision.

        The pages are not one snapshot. Changes after the first page are left out here and arrive
        through the watch, which continues from that page's revision.
        """
        source = self.sources[keyspace]
        changes: list[Change] = []
        head_revision, era, last_key, read_bytes = 0, None, "", 0
        for _ in range(MAX_PAGES):
            params = {"Prefix": source.prefix} | ({"after": last_key} if last_key else {})
            answer = await self._call(RANGE_PATH, params, ANSWER_TIMEOUT_S)
            if isinstance(answer, Err):
                return answer
            read_bytes += answer.ok_value.body_bytes
            if read_bytes > self.max_listing_bytes:
                return self._too_long(RANGE_PATH, self.max_listing_bytes)
            era = answer.ok_value.era if era is None else era
            if answer.ok_value.era != era:
                return Err(ReadError(failure=ReadFailure.REFUSED, detail=RETURNED_MEANWHILE))
            try:
                page = answer.ok_value.body
                page_revision = position(era, _store_revision(page))
                if page_revision < head_revision:
                    return _malformed(OLDER_PAGE)
                head_revision = head_revision or page_revision
                items = page["items"]
                changes += self._changes(keyspace, items, era)
                if not page["HasMore"]:
                    break
                last_key = _last_key(items)
            except (*DECODE_ERRORS, StopIteration) as error:
                return _malformed(repr(error))
            # The next page is decoded before these names are bound again.
            del answer, page, items
        else:
            return _malformed(f"the listing has more than {MAX_PAGES} pages")
        listed = tuple(change for change in changes if change.revision <= head_revision)
        return Ok(Page(changes=listed, head_revision=head_revision))

    async def read_changes(
        self, keyspace: str, after_revision: int, until_unix_s: float
    ) -> Result[Page, ReadError]:
        """Return the changes after a revision, waiting for one until the given time."""
        prefix = self.sources[keyspace].prefix
        wait_s = max(0.0, until_unix_s - now_unix_s())
        params = {
            "Prefix": prefix,
            "after": str(revision_of(after_revision)),
            "WaitMs": str(int(wait_s * MS_PER_S)),
        }
        answer = await self._call(WATCH_PATH, params, wait_s + ANSWER_TIMEOUT_S)
        if isinstance(answer, Err):
            is_too_long = answer.err_value.failure is ReadFailure.TOO_LONG
            return Err(ReadError(failure=ReadFailure.HISTORY_GONE)) if is_too_long else answer
        body, era = answer.ok_value.body, answer.ok_value.era
        if era != era_of(after_revision):
            # The number means another revision there, also if the store has it again.
            return Err(ReadError(failure=ReadFailure.HISTORY_GONE))
        try:
            changes = tuple(self._changes(keyspace, body["events"], era))
            head = position(era, _store_revision(body))
        except DECODE_ERRORS as error:
            return Err(ReadError(failure=ReadFailure.MALFORMED, detail=repr(error)))
        return Ok(Page(changes=changes, head_revision=head))

    def _changes(self, keyspace: str, items: Sequence[Any], era: int) -> list[Change]:
        """Return the changes that items hold, each item read by itself."""

        def on_unreadable(key: str, error: str) -> None:
            self.observe(ItemUnreadable(keyspace=keyspace, key=key, error=error))

        source = self.sources[keyspace]
        if len(items) > MAX_ITEMS_PER_ANSWER:
            raise ValueError(f"the answer has more than {MAX_ITEMS_PER_ANSWER} items")
        read = [_change(source, item, era, on_unreadable) for item in items]
        return [change for change in read if change is not None]

    async def close(self) -> None:
        """Close the session."""
        if self._session is not None:
            await self._session.close()

    async def _call(
        self, path: str, params: Mapping[str, str], timeout_s: float
    ) -> Result[StoreAnswer, ReadError]:
        """Call the addresses in random order until one answers."""
        result: Result[StoreAnswer, ReadError] = Err(ReadError(failure=ReadFailure.UNREACHABLE))
        for address in self._random.sample(self.addresses, len(self.addresses)):
            result = await self._call_one(f"{address}{path}", params, timeout_s)
            if not isinstance(result, Err):
                return result
            if result.err_value.failure is ReadFailure.HISTORY_GONE:
                return result
        return result

    async def _call_one(
        self, url: str, params: Mapping[str, str], timeout_s: float
    ) -> Result[StoreAnswer, ReadError]:
        # A connection on which an answer was lost stays silent for good, so none is reused.
        if self._session is None:
            connector = bounded_connector(force_close=True)
            self._session = aiohttp.ClientSession(connector=connector)
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        try:
            async with self._session.get(url, params=params, timeout=timeout) as response:
                body = await read_limited(response.content, self.max_answer_bytes)
                self._era = _stated_era(response.headers.get(ERA_HEADER, ""), self._era)
                if response.status == HISTORY_GONE_STATUS:
                    return Err(ReadError(failure=ReadFailure.HISTORY_GONE))
                if response.status != 200:
                    detail = f"status {response.status}"
                    return Err(ReadError(failure=ReadFailure.REFUSED, detail=detail))
                answer = orjson.loads(body)
                return Ok(StoreAnswer(body=answer, era=self._era, body_bytes=len(body)))
        except AnswerTooLargeError:
            return self._too_long(url, self.max_answer_bytes)
        except ValueError as error:
            return Err(ReadError(failure=ReadFailure.MALFORMED, detail=repr(error)))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Err(ReadError(failure=ReadFailure.UNREACHABLE, detail=repr(error)))

    def _too_long(self, path: str, max_bytes: int) -> Err[ReadError]:
        self.observe(StoreAnswerTooLong(path=path, max_bytes=max_bytes))
        detail = f"{path} answers with more than {max_bytes} bytes"
        return Err(ReadError(failure=ReadFailure.TOO_LONG, detail=detail))


def _malformed(detail: str) -> Err[ReadError]:
    return Err(ReadError(failure=ReadFailure.MALFORMED, detail=detail))


def _last_key(items: Sequence[Any]) -> str:
    """Return the last key of a page; items of other writers may have no key."""
    return next(item["Key"] for item in reversed(items) if _is_keyed(item))


def _is_keyed(item: Any) -> bool:
    if not isinstance(item, Mapping) or not isinstance(item.get("Key"), str):
        return False
    return bool(count_or_none(item.get("Revision"), MAX_REVISION))


def _store_revision(body: Mapping[str, Any]) -> int:
    """Return the revision up to which an answer holds changes."""
    revision = count_or_none(body["StoreRevision"], MAX_REVISION)
    if revision is None:
        raise ValueError(f"StoreRevision: {body['StoreRevision']!r} is no revision")
    return revision


def _stated_era(text: str, known_era: int) -> int:
    """Return the era that an answer states, counted from 1; the known one if it states none."""
    if not text.isascii() or not text.isdecimal() or int(text) >= MAX_ERA:
        return known_era
    return int(text) + 1


def _change(
    source: KeyspaceSource,
    item: Any,
    era: int = 0,
    on_unreadable: Callable[[str, str], None] = lambda key, error: None,
) -> Change | None:
    if not _is_keyed(item):
        # The value may hold the keys of accounts.
        fields = sorted(map(str, item)) if isinstance(item, Mapping) else type(item).__name__
        on_unreadable("", f"it has no key or no revision, only {fields}")
        return None
    stored_key, revision = item["Key"], position(era, int(item["Revision"]))
    key = source.key_of(stored_key)
    if key is None:
        return None
    if item.get("Tombstone"):
        return Change(revision=revision, key=key, value=None)
    try:
        decoded = orjson.loads(base64.b64decode(item["Value"], validate=True))
        value = source.value_of(stored_key, decoded)
    except DECODE_ERRORS as error:
        # One undecodable item must not prevent all others from being read.
        on_unreadable(stored_key, repr(error))
        value = source.value_if_unreadable
    return None if value is None else Change(revision=revision, key=key, value=value)
