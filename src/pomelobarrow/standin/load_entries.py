"""Store the entry list and the issued request ids that a caller receives from entry VMs."""

import asyncio
import time
from collections import deque
from collections.abc import Mapping
from typing import Any

import aiohttp
from attrs import define, field

from pomelobarrow.standin.load_results import parse_object

DISCOVERY_TIMEOUT = aiohttp.ClientTimeout(total=2.0)


class NoEntryError(ConnectionError):
    """Raised if no entry VM answered; start one or give another with --entry."""


@define(kw_only=True)
class EntryBook:
    """Cache of a class's entry VMs, best first, and of issued request ids, refreshed on expiry."""

    session: aiohttp.ClientSession
    class_name: str
    token: str
    known_addresses: tuple[str, ...]
    addresses: list[str] = field(factory=list)
    request_ids: deque[str] = field(factory=deque)
    good_until_unix_s: float = 0.0
    _refresh_lock: asyncio.Lock = field(factory=asyncio.Lock)

    async def best(self, needs_id: bool) -> tuple[str, str]:
        """Return the address of the best entry, and a request id if one is needed."""
        async with self._refresh_lock:
            if time.time() >= self.good_until_unix_s or (needs_id and not self.request_ids):
                await self._refresh()
        request_id = self.request_ids.popleft() if needs_id and self.request_ids else ""
        return self.addresses[0], request_id

    def drop(self, address: str) -> None:
        """Remove an entry that could not be reached."""
        self.addresses = [other for other in self.addresses if other != address]
        if not self.addresses:
            self.good_until_unix_s = 0.0

    async def _refresh(self) -> None:
        for address in dict.fromkeys((*self.addresses, *self.known_addresses)):
            if answer := await self._fetch_entries(address):
                self.addresses = [entry["address"] for entry in answer["entries"]] or [address]
                self.request_ids = deque(answer.get("request_ids", ()))
                self.good_until_unix_s = float(answer["good_until_unix_s"])
                return
        raise NoEntryError(f"no entry VM returned an entry list for class {self.class_name}")

    async def _fetch_entries(self, address: str) -> Mapping[str, Any]:
        url = f"http://{address}/v1/entries"
        try:
            async with self.session.get(
                url,
                params={"class": self.class_name},
                headers={"Authorization": f"Bearer {self.token}"},
                timeout=DISCOVERY_TIMEOUT,
            ) as response:
                return parse_object(await response.read()) if response.status == 200 else {}
        except (aiohttp.ClientError, TimeoutError, OSError):
            return {}
