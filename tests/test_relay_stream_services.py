"""At which service a stream goes on where routes are split or change."""

from collections.abc import Callable

import aiohttp
import pytest
from attrs import evolve
from relay_harness import HOST, Answer, RelayFleet, ask, relay_fleet, route
from scripted_server import event, streams

from pomelobarrow.decision.published.routing import PoolShare, Route, RouteKind, Routing
from pomelobarrow.kernel.clock import now_unix_s

LAST = 4
OLD, NEW = PoolShare(pool="old"), PoolShare(pool="new")
ROUTE = route(RouteKind.STREAM, is_resumable=True, max_attempts=4, pools=(OLD,))
POOL_BY_SERVER = {"s1": "old", "s2": "new"}
SERVERS = {"a": {"s1": streams(LAST, breaks_after=2), "s2": streams(LAST)}}
TAKE_UPS = 12

Change = Callable[[Route], tuple[Route, ...]]
CHANGES: dict[str, Change] = {
    "moved": lambda before: (evolve(before, pools=(NEW,)),),
    "split": lambda before: (evolve(before, pools=(OLD, evolve(NEW, weight=9.0))),),
    "longer prefix": lambda before: (
        before,
        evolve(before, name="longer", path_prefix="/stream/x/", pools=(NEW,)),
    ),
    "replaced": lambda before: (evolve(before, name="next", pools=(NEW,)),),
}


async def _begin(fleet: RelayFleet, key: str, request_id: str) -> bytes:
    """Receive a stream that breaks off, and return what arrived."""
    headers, body = {"Host": HOST, "Pomelobarrow-Request-Id": request_id}, b""
    async with (
        aiohttp.ClientSession() as session,
        session.post(f"{fleet.vms[key].url}/stream/x/", headers=headers) as response,
    ):
        try:
            async for data in response.content.iter_any():
                body += data
        except aiohttp.ClientPayloadError:
            return body
    return body


async def _take_up(fleet: RelayFleet, key: str, number: int) -> Answer:
    headers = {
        "Pomelobarrow-Request-Id": f"t{number}",
        "Last-Event-Id": "2",
        "Resumes": "r1",
    }
    return await ask(fleet.vms[key], "/stream/x/", headers=headers)


def _put_in_force(fleet: RelayFleet, routes: tuple[Route, ...]) -> None:
    """Publish other routes to all VMs."""
    routing = Routing(version=2, routes=routes, needs_account=False)
    for vm in fleet.vms.values():
        vm.front.routing = vm.front.access.routing = lambda: routing
        vm.relay.joins.streams.observe_routing(routing, now_unix_s())


@pytest.mark.parametrize("key", ["a", "a-2"])
@pytest.mark.parametrize("change", CHANGES.values(), ids=CHANGES)
async def test_stream_does_not_go_on_at_another_service_after_its_route_has_changed(
    change: Change, key: str
) -> None:
    """A VM without a record took the service of the present route for that of the stream."""
    async with relay_fleet(
        (ROUTE,), SERVERS, pool_by_server=POOL_BY_SERVER, vms_per_region=2
    ) as fleet:
        assert await _begin(fleet, "a", "r1") == event(1) + event(2)
        _put_in_force(fleet, change(ROUTE))
        for number in range(TAKE_UPS):
            await _take_up(fleet, key, number)
        assert fleet.servers["s2"].received == []


@pytest.mark.parametrize("key", ["a", "a-2"])
async def test_stream_of_a_split_route_does_not_go_on_at_its_other_service(key: str) -> None:
    """A VM without a record chose the service of each take-up anew."""
    split = evolve(ROUTE, pools=(OLD, NEW))
    breaks = streams(LAST, breaks_after=2)
    async with relay_fleet(
        (split,),
        {"a": {"s1": breaks, "s2": breaks}},
        pool_by_server=POOL_BY_SERVER,
        vms_per_region=2,
    ) as fleet:
        assert await _begin(fleet, "a", "r1") == event(1) + event(2)
        [other] = [server for server in fleet.servers.values() if not server.received]
        for number in range(TAKE_UPS):
            await _take_up(fleet, key, number)
        assert other.received == []
