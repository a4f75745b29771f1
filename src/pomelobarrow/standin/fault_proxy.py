"""Run a TCP proxy that injects delay and faults into connections."""

import asyncio
from typing import Any

from aiohttp import web
from attrs import define, field, frozen

from pomelobarrow.standin.fault_rules import Direction, parse_order
from pomelobarrow.standin.relay import ClientProtocol, Route
from pomelobarrow.standin.runtime import (
    LISTEN_BACKLOG,
    announce,
    format_address,
    json_response,
    parse_address,
    read_json,
    start_app,
    wait_for_stop,
)

DEFAULT_ROUTE = "default"


@frozen(kw_only=True)
class ProxyOptions:
    """Command-line options of the fault-injecting proxy."""

    listen: str = field(default="", metadata={"help": "Address of the route named default"})
    target: str = field(default="", metadata={"help": "Target of the route named default"})
    delay_s: float = field(default=0.0, metadata={"help": "One-way delay of the default route"})
    route: tuple[str, ...] = field(
        default=(), metadata={"help": "A further route, name=listen,target,delay"}
    )
    control: str = field(
        default="127.0.0.1:0", metadata={"help": "Address to take fault orders on"}
    )


@define
class Proxy:
    """TCP proxy with one listener per route."""

    routes: dict[str, Route] = field(factory=dict)
    _servers: list[asyncio.Server] = field(factory=list)

    async def open(self, route: Route, listen: str) -> Route:
        """Start to listen for a route; if the name exists, change only its target and delay."""
        if known := self.routes.get(route.name):
            known.target, known.delay_s = route.target, route.delay_s
            return known
        host, port = parse_address(listen)
        server = await asyncio.get_running_loop().create_server(
            lambda: ClientProtocol(route), host, port, backlog=LISTEN_BACKLOG
        )
        self._servers.append(server)
        route.listening = format_address(server.sockets[0].getsockname())
        self.routes[route.name] = route
        return route

    def addresses(self) -> dict[str, str]:
        """Return the listening address of each route."""
        return {name: route.listening for name, route in self.routes.items()}

    def close(self) -> None:
        """Close the listeners."""
        for server in self._servers:
            server.close()


def parse_route(text: str) -> tuple[Route, str]:
    """Parse `name=listen,target,delay`; the delay is optional."""
    name, _, rest = text.partition("=")
    listen, target, *delay = rest.split(",")
    return Route(name, target, float(delay[0]) if delay else 0.0), listen


def route_payload(route: Route) -> dict[str, Any]:
    """Build the status of a route with its connection and byte counts."""
    return {
        "listening": route.listening,
        "target": route.target,
        "delay_s": route.delay_s,
        "mode": route.fault.value,
        "accepted": route.accepted,
        "open": len(route.connections),
        "kept_by_client": sum(
            not connection.is_closed_by_client for connection in route.connections
        ),
        "bytes_to_target": route.delivered_bytes(Direction.TO_TARGET),
        "bytes_to_client": route.delivered_bytes(Direction.TO_CLIENT),
    }


def control_routes(proxy: Proxy) -> list[web.RouteDef]:
    """Return the routes of the control interface."""

    async def set_faults(request: web.Request) -> web.Response:
        try:
            order = parse_order(await read_json(request))
        except ValueError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        affected = [route for name, route in proxy.routes.items() if order.applies_to(name)]
        if not affected:
            raise web.HTTPNotFound(text=f"no such route; use one of {', '.join(proxy.routes)}")
        for route in affected:
            route.apply_order(order)
        return json_response({"routes": [route.name for route in affected]})

    async def show_faults(request: web.Request) -> web.Response:
        routes = {name: route_payload(route) for name, route in proxy.routes.items()}
        return json_response({"routes": routes})

    async def open_route(request: web.Request) -> web.Response:
        body = await read_json(request)
        route = Route(body["name"], body["target"], float(body.get("delay_s", 0.0)))
        opened = await proxy.open(route, body.get("listen", "127.0.0.1:0"))
        return json_response({"listening": opened.listening})

    return [
        web.post("/faults", set_faults),
        web.get("/faults", show_faults),
        web.post("/routes", open_route),
    ]


async def main(options: ProxyOptions) -> None:
    """Relay until the process is stopped."""
    proxy = Proxy()
    for route, listen in map(parse_route, options.route):
        await proxy.open(route, listen)
    if options.listen:
        default = Route(DEFAULT_ROUTE, options.target, options.delay_s)
        await proxy.open(default, options.listen)
    app = web.Application()
    app.add_routes(control_routes(proxy))
    runner, control = await start_app(app, options.control)
    addresses = proxy.addresses()
    listening = addresses.get(DEFAULT_ROUTE, next(iter(addresses.values()), control))
    announce(listening=listening, control=control, routes=addresses)
    await wait_for_stop()
    proxy.close()
    await runner.cleanup()
