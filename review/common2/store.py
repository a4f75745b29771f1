"""A stand-in for the platform's store: items with revisions, ranges and watches."""

import asyncio
import base64
import contextlib
import json
import time
from urllib.parse import parse_qs, urlsplit

from messages import read_body, read_head, response


class Store:
    """The platform's store: items with revisions, ranges and watches."""

    def __init__(self, address, record):
        self.address, self.record = address, record
        self.revision, self.items, self.log = 7, {}, []
        self._changed = asyncio.Event()
        self._server = None

    async def start(self):
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def put(self, key, value):
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        created = self.items[key]["Created"] if key in self.items else self.revision
        item = {
            "Key": key,
            "Value": text,
            "Revision": self.revision,
            "Created": created,
            "Lease": 0,
        }
        self.items[key] = item
        self._append(item)

    def delete(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self._append({"Key": key, "Revision": self.revision, "Tombstone": True})

    def _append(self, event):
        self.log.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                await read_body(reader, headers)
                status, body = await self._answer(first.split(" ")[1])
                data = json.dumps(body).encode()
                writer.write(response(status, ("Content-Type: application/json",), data))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, target):

        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/kv-key":
            item = self.items.get(query["Key"])
            if item is None:
                return 404, {"StoreRevision": self.revision}
            return 200, item | {"StoreRevision": self.revision}
        if parts.path == "/kv-range":
            prefix, after = query.get("Prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            items = [self.items[k] for k in keys]
            return 200, {"items": items, "HasMore": False, "StoreRevision": self.revision}
        if parts.path == "/kv-watch":
            return 200, await self._watch(query)
        return 404, {}

    async def _watch(self, query):
        prefix, after = query.get("Prefix", ""), int(query.get("after", "0"))
        until = time.monotonic() + min(30000, int(query.get("WaitMs", "0"))) / 1000
        while True:
            events = [e for e in self.log if e["Revision"] > after and e["Key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return {"events": events, "StoreRevision": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)
