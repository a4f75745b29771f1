"""In-process key-value store for daemons, with revisions, listings and watches."""

import asyncio
import base64
import contextlib
from typing import Any

import orjson
from aiohttp import web
from attrs import define, field

MS_PER_S = 1_000.0
ERA_HEADER = "Store-Era"
GONE_STATUS = 410


@define
class StoreCopy:
    """The state of a store at one time."""

    items: dict[str, tuple[int, Any]]
    revision: int


@define(slots=False)
class SoakStore:
    """Items by key as (revision, value); the value of a deleted key is None."""

    items: dict[str, tuple[int, Any]] = field(factory=dict)
    revision: int = 1
    era: int = 1
    # The keys written in this era.
    written: set[str] = field(factory=set)
    changed: asyncio.Event = field(factory=asyncio.Event)

    def put(self, key: str, value: Any) -> None:
        """Write a key, or delete it if the value is None, and wake the watches."""
        self.written.add(key)
        self.revision += 1
        self.items[key] = (self.revision, value)
        self._notify()

    def copy(self) -> "StoreCopy":
        """Return a copy of the present state, to come back from."""
        return StoreCopy(dict(self.items), self.revision)

    def come_back(self, copy: "StoreCopy") -> dict[str, Any]:
        """Lose all that was written after a copy and give its revisions out again.

        Return the lost values, which their writers will write again.
        """
        lost = {k: v for k, (_, v) in self.items.items() if self.items[k] != copy.items.get(k)}
        self.items, self.revision = dict(copy.items), copy.revision
        self.era += 1
        self.written.clear()
        self._notify()
        return lost

    def write_again(self, lost: dict[str, Any], era: int) -> None:
        """Write lost values again, unless they were written since or were lost once more."""
        for key, value in lost.items():
            if era == self.era and key not in self.written:
                self.put(key, value)

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def routes(self) -> list[web.RouteDef]:
        """Return the routes that daemons call."""
        return [web.get("/kv-range", self._list), web.get("/kv-watch", self._watch)]

    async def _list(self, request: web.Request) -> web.Response:
        prefix = request.query["Prefix"]
        keys = [k for k, (_, v) in self.items.items() if k.startswith(prefix) and v is not None]
        items = [self._item(key) for key in sorted(keys)]
        body = {"items": items, "HasMore": False, "StoreRevision": self.revision}
        return self._answer(body)

    async def _watch(self, request: web.Request) -> web.Response:
        prefix, after, era = request.query["Prefix"], int(request.query["after"]), self.era
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(request.query["WaitMs"]) / MS_PER_S):
                while self._has(after, era) and not self._events(prefix, after):
                    await self.changed.wait()
        if not self._has(after, era):
            return self._answer({}, GONE_STATUS)
        # A key may have been written in the moment in which the time ended.
        events = self._events(prefix, after)
        return self._answer({"events": events, "StoreRevision": self.revision})

    def _has(self, revision: int, era: int) -> bool:
        """Return whether a watch that began in an era may go on from a revision."""
        return era == self.era and revision <= self.revision

    def _answer(self, body: dict[str, Any], status: int = 200) -> web.Response:
        return web.json_response(body, status=status, headers={ERA_HEADER: str(self.era)})

    def _events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        changed_keys = sorted(
            (revision, key)
            for key, (revision, _) in self.items.items()
            if revision > after and key.startswith(prefix)
        )
        return [self._item(key) for _, key in changed_keys]

    def _item(self, key: str) -> dict[str, Any]:
        revision, value = self.items[key]
        if value is None:
            return {"Key": key, "Revision": revision, "Tombstone": True}
        return {
            "Key": key,
            "Revision": revision,
            "Value": base64.b64encode(orjson.dumps(value)).decode(),
        }
