"""Stand-ins for the platform's store and the backend servers that the daemon uses."""

import asyncio
from typing import Any

from aiohttp import web
from attrs import define, field, frozen

from soak.store import SoakStore

HOST = "shop.example"
REQUEST_ID = "Pomelobarrow-Request-Id"
SEAL = "Pomelobarrow-Response-Seal"
LOAD = "Pomelobarrow-Server-Load"
ENGINES = "engines"
PLAIN = "plain"
SLOTS = {ENGINES: 12, PLAIN: 6}
ANSWER = b"x" * 800
# Response time of a small service.
PLAIN_ANSWER_S = 0.02
EVENT = b"id: %d\ndata: " + b"y" * 60 + b"\n\n"
EVENT_EVERY_S = 0.02
TIMEOUT_MS = 6_000
TARGET_MS = 800
PAUSE_TARGET_MS = 400


@frozen(kw_only=True)
class Server:
    """A backend server and its address."""

    name: str
    pool: str
    failure_domain: str
    address: str


@define(kw_only=True, slots=False)
class Backends:
    """HTTP servers for the platform's store and the backend servers of the daemon's region."""

    store: SoakStore = field(factory=SoakStore)
    servers: list[Server] = field(factory=list)
    connections: int = 0
    _runners: list[web.BaseRunner] = field(factory=list)

    async def listen(self, runner: web.BaseRunner, host: str) -> str:
        """Start a server on a free port and return its address."""
        await runner.setup()
        site = web.TCPSite(runner, host, 0)
        await site.start()
        self._runners.append(runner)
        return f"{host}:{runner.addresses[0][1]}"

    async def listen_for_store(self) -> str:
        """Serve the store and return its address."""
        app = web.Application()
        app.add_routes(self.store.routes())
        return await self.listen(web.AppRunner(app), "127.0.0.1")

    async def listen_for_requests(self, servers: list[tuple[str, str, str]]) -> None:
        """Serve all backend servers, given by name, pool and failure domain."""
        for number, (name, pool, domain) in enumerate(servers, start=1):
            runner = web.ServerRunner(web.Server(answer, access_log=None))
            address = await self.listen(runner, f"127.9.0.{number}")
            server = Server(name=name, pool=pool, failure_domain=domain, address=address)
            self.servers.append(server)
            self.store.put(f"servers/{name}", _entry(server))

    def publish_routes(self) -> None:
        """Publish one route of each kind."""
        routes = [_route("plain", "idempotent", PLAIN), _route("stream", "stream", ENGINES)]
        services = [{"Name": PLAIN}, {"Name": ENGINES, "Engine": {"KvTokens": 300_000}}]
        config = {"Version": 1, "Routes": routes, "Services": services, "Limits": {}}
        self.store.put("op/config", config)

    async def close(self) -> None:
        """Close all servers."""
        for runner in self._runners:
            await runner.cleanup()


async def answer(request: web.BaseRequest) -> web.StreamResponse:
    """Answer as a backend server; the last part of the path is a stream's number of events."""
    await request.read()
    headers = {REQUEST_ID: request.headers[REQUEST_ID], SEAL: "1.2.3", LOAD: "3,0,12"}
    if request.path.startswith("/plain"):
        await asyncio.sleep(PLAIN_ANSWER_S)
        return web.Response(body=ANSWER, headers=headers)
    response = web.StreamResponse(headers=headers | {"Content-Type": "text/event-stream"})
    await response.prepare(request)
    for number in range(int(request.path.rpartition("/")[2])):
        await asyncio.sleep(EVENT_EVERY_S)
        await response.write(EVENT % number)
    return response


def _route(name: str, kind: str, pool: str) -> dict[str, Any]:
    return {
        "Name": name,
        "Host": HOST,
        "Prefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": TIMEOUT_MS,
        "GoalMs": TARGET_MS,
        "GapGoalMs": PAUSE_TARGET_MS,
        "Service": pool,
        "Attempts": 2,
    }


def _entry(server: Server) -> dict[str, Any]:
    return {
        "Service": server.pool,
        "Address": server.address,
        "Zone": server.failure_domain,
        "Slots": SLOTS[server.pool],
        "State": "ready",
        "ColdLeftMs": 0,
    }
