"""In-process key-value store for daemons, with revisions, listings and watches."""

import asyncio
import base64
from typing import Any

import orjson
from aiohttp import web
from attrs import define, field

MS_PER_S = 1_000.0


@define(slots=False)
class SoakStore:
    """Items by key as (revision, value); the value of a deleted key is None."""

    items: dict[str, tuple[int, Any]] = field(factory=dict)
    revision: int = 1
    changed: asyncio.Event = field(factory=asyncio.Event)

    def put(self, key: str, value: Any) -> None:
        """Write a key, or delete it if the value is None, and wake the watches."""
        self.revision += 1
        self.items[key] = (self.revision, value)
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
        return web.json_response(body)

    async def _watch(self, request: web.Request) -> web.Response:
        prefix, after = request.query["Prefix"], int(request.query["after"])
        try:
            async with asyncio.timeout(int(request.query["WaitMs"]) / MS_PER_S):
                while not (events := self._events(prefix, after)):
                    await self.changed.wait()
        except TimeoutError:
            events = []
        return web.json_response({"events": events, "StoreRevision": self.revision})

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
