"""The platform's store, as far as daemons read it."""

import asyncio
import base64
import json
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

from record import Record
from wire import Connection, Request


class Store:
    """The platform's store, as far as daemons read it."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._revision = 1
        # By key: the revision of the last change, that of the creation, and the value.
        self._items: dict[str, tuple[int, int, Any]] = {}
        self._changed = asyncio.Event()
        self.acknowledged: dict[str, float] = {}

    def put(self, key: str, value: Any, why: str = "") -> None:
        """Write an item; None removes it. The acknowledgement is at once."""
        self._revision += 1
        old = self._items.get(key)
        created = old[1] if old and old[2] is not None else self._revision
        self._items[key] = (self._revision, created, value)
        self.acknowledged[key] = time.monotonic()
        if why:
            self._record.note(f"store acknowledges {key}: {why}")
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request: Request, connection: Connection) -> None:
        """Answer a call of a daemon."""
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/kv-range":
            await self._send(connection, self._range(query))
        elif url.path == "/kv-watch":
            await self._send(connection, await self._watch(query))
        elif url.path == "/kv-key" and self._is_present(query.get("Key", "")):
            found = self._item(query["Key"]) | {"StoreRevision": self._revision}
            await self._send(connection, found)
        else:
            await connection.send(404, {})

    def _is_present(self, key: str) -> bool:
        return key in self._items and self._items[key][2] is not None

    async def _send(self, connection: Connection, body: dict[str, Any]) -> None:
        await connection.send(200, {"Content-Type": "application/json"}, json.dumps(body).encode())

    def _range(self, query: dict[str, str]) -> dict[str, Any]:
        prefix, after = query.get("Prefix", ""), query.get("after", "")
        keys = sorted(
            key
            for key, (_, _, value) in self._items.items()
            if key.startswith(prefix) and key > after and value is not None
        )
        return {
            "items": [self._item(key) for key in keys[:500]],
            "HasMore": len(keys) > 500,
            "StoreRevision": self._revision,
        }

    async def _watch(self, query: dict[str, str]) -> dict[str, Any]:
        prefix, after = query.get("Prefix", ""), int(query["after"])
        try:
            async with asyncio.timeout(int(query.get("WaitMs", "0")) / 1000):
                while not self._events(prefix, after):
                    await self._changed.wait()
        except TimeoutError:
            pass
        return {"events": self._events(prefix, after), "StoreRevision": self._revision}

    def _events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        found = sorted(
            (revision, key)
            for key, (revision, _, _) in self._items.items()
            if revision > after and key.startswith(prefix)
        )
        return [self._item(key) for _, key in found]

    def _item(self, key: str) -> dict[str, Any]:
        revision, created, value = self._items[key]
        if value is None:
            return {"Key": key, "Revision": revision, "Tombstone": True}
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        return {
            "Key": key,
            "Value": encoded,
            "Revision": revision,
            "Created": created,
            "Lease": 0,
        }
