"""Servers that state with their answers that they leave."""

import pytest
from relay_harness import RelayVm, ask, relay_fleet, route
from scripted_server import Exchange, Script, answers, event

from pomelobarrow.decision.routing import RouteKind

ROUTES = (
    route(RouteKind.IDEMPOTENT, max_attempts=2),
    route(RouteKind.STREAM, max_attempts=2),
)
REQUESTS = 12


def leaves(status: int = 200, **more: str) -> Script:
    """Answer each request, and state that the server leaves."""

    async def script(exchange: Exchange) -> None:
        exchange.write_head(status, Server_Leaving="1", Content_Length="0", **more)

    return script


def streams_once(**more: str) -> Script:
    """Stream one event."""

    async def script(exchange: Exchange) -> None:
        body = event(1)
        exchange.write_head(200, Content_Length=str(len(body)), **more)
        exchange.writer.write(body)

    return script


async def ask_many(vm: RelayVm, path: str) -> list[int]:
    headers = [{"Pomelobarrow-Request-Id": f"r{number}"} for number in range(REQUESTS)]
    return [(await ask(vm, path, headers=each)).status for each in headers]


@pytest.mark.parametrize(
    ("script", "other", "kind"),
    [
        (leaves(), answers(), RouteKind.IDEMPOTENT),
        (leaves(500), answers(), RouteKind.IDEMPOTENT),
        (leaves(503, Pomelobarrow_Not_Executed="1"), answers(), RouteKind.IDEMPOTENT),
        (streams_once(Server_Leaving="1"), streams_once(), RouteKind.STREAM),
    ],
    ids=["answer", "failure", "rejection", "stream"],
)
async def test_server_that_states_that_it_leaves_gets_no_more_requests(
    script: Script, other: Script, kind: RouteKind
) -> None:
    """The list still showed a server as ready whose answers stated that it leaves."""
    async with relay_fleet(ROUTES, {"a": {"s1": script, "s2": other}}) as fleet:
        statuses = await ask_many(fleet.vms["a"], f"/{kind.value}/")
        arrived = len(fleet.servers["s1"].received)
    assert statuses == [200] * REQUESTS
    assert arrived <= 1
