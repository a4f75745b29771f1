"""Servers that reject requests and ask a VM to send nothing for a while."""

from relay_harness import RelayVm, ask, relay_fleet, route
from scripted_server import Exchange, Script, answers

from pomelobarrow.decision.routing import RouteKind

ROUTES = (route(RouteKind.IDEMPOTENT, max_attempts=2),)
REQUESTS = 12


def rejects(retry_after: str) -> Script:
    """Reject each request unrun, and ask for a pause."""

    async def script(exchange: Exchange) -> None:
        exchange.write_head(
            503, Pomelobarrow_Not_Executed="1", Retry_After=retry_after, Content_Length="0"
        )

    return script


async def ask_many(vm: RelayVm) -> list[int]:
    headers = [{"Pomelobarrow-Request-Id": f"r{number}"} for number in range(REQUESTS)]
    return [(await ask(vm, "/idempotent/", headers=each)).status for each in headers]


async def test_server_that_asks_for_a_pause_gets_no_requests_in_it() -> None:
    """A server that rejected everything had the least load, so that it got every next request."""
    async with relay_fleet(ROUTES, {"a": {"s1": rejects("30"), "s2": answers()}}) as fleet:
        statuses = await ask_many(fleet.vms["a"])
        arrived = len(fleet.servers["s1"].received)
    assert statuses == [200] * REQUESTS
    assert arrived <= 1
