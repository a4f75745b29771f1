"""Listed servers that can end as a crashed process does, and start again on the same port."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web
from attrs import define, field

from soak.fleet import ROOT_HOST, SoakFleet

# A crashed server is unlisted after three heartbeats and later listed again under a new name.
UNLISTED_AFTER_S = 1.0
RESTART_AFTER_S = 2.0

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


@define(kw_only=True, slots=False)
class CrashingServers:
    """Servers of one pool, without the proxy, which would hide a crash from daemons."""

    fleet: SoakFleet
    pool: str
    _runners: dict[str, web.ServerRunner] = field(factory=dict)

    async def start(
        self, name: str, region: str, handler: Handler, port: int = 0, version: str = ""
    ) -> None:
        """Listen and list a server."""
        runner = self._runners[name] = web.ServerRunner(web.Server(handler))
        await runner.setup()
        await web.TCPSite(runner, ROOT_HOST, port, reuse_address=True).start()
        self.fleet.list_address(name, region, self.address(name), self.pool, version=version)

    def address(self, name: str) -> str:
        """Return the address that a running server listens on."""
        return f"{ROOT_HOST}:{self._runners[name].addresses[0][1]}"

    async def crash(self, name: str) -> int | None:
        """Close the listening socket and all connections; return the port, None if it is down."""
        runner = self._runners.pop(name, None)
        if runner is None:
            return None
        port = int(runner.addresses[0][1])
        for site in list(runner.sites):
            await site.stop()
        assert runner.server is not None
        for connection in list(runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        return port

    async def wait_until_unlisted(self, name: str) -> None:
        """Wait for the restart of a crashed server; its entry lapses meanwhile."""
        await asyncio.sleep(UNLISTED_AFTER_S)
        self.fleet.store.put(f"servers/{name}", None)
        await asyncio.sleep(RESTART_AFTER_S - UNLISTED_AFTER_S)

    async def stop(self) -> None:
        """Stop all servers."""
        await asyncio.gather(*(runner.cleanup() for runner in self._runners.values()))
