"""What clients get of answers whose status HTTP does not have."""

import pytest
from relay_harness import ask, relay_fleet, route
from scripted_server import Exchange, Script, ScriptedServer, answers

from pomelobarrow.decision.published.routing import RouteKind

ONCE = route(RouteKind.NON_IDEMPOTENT)
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
STATUSES = ("000", "099", "600", "999")


def answers_with(status: str, interim: bytes = b"") -> Script:
    async def script(exchange: Exchange) -> None:
        exchange.writer.write(interim)
        exchange.write_head(status, Content_Length="5")  # type: ignore[arg-type]
        exchange.writer.write(b"whole")

    return script


@pytest.mark.parametrize("interim", [b"", INTERIM], ids=["first", "after an interim answer"])
@pytest.mark.parametrize("status", STATUSES)
async def test_answer_with_an_impossible_status_of_a_server_is_not_passed_on(
    status: str, interim: bytes
) -> None:
    """Clients got the answer of a server in trouble with the status 600 or 999."""
    script = answers_with(status, interim)
    async with relay_fleet((ONCE,), {"a": {"s1": script}}) as fleet:
        assert (await ask(fleet.vms["a"], "/non_idempotent/")).status == 502


@pytest.mark.parametrize("status", STATUSES)
async def test_answer_with_an_impossible_status_of_a_peer_is_not_passed_on(status: str) -> None:
    """The hop between VMs passed on such a status, too."""
    bound = route(RouteKind.NON_IDEMPOTENT, home_regions=("b",))
    servers: dict[str, dict[str, Script]] = {"a": {}, "b": {"s1": answers()}}
    async with relay_fleet((bound,), servers) as fleet:
        entry, peer = fleet.vms["a"], fleet.vms["b"]
        script = answers_with(status)
        async with ScriptedServer(name="", host=peer.host, script=script) as hop:
            entry.dial[f"{peer.host}:{entry.relay.hop_port}"] = hop.address
            answer = await ask(entry, "/non_idempotent/")
            assert len(hop.received) == 1
    assert answer.status == 502


async def test_request_is_tried_on_another_server_after_an_impossible_status() -> None:
    """Guards against an impossible status that ends a request which may be repeated."""
    asked = route(RouteKind.IDEMPOTENT, max_attempts=2)
    scripts = iter((answers_with("600"), answers()))

    async def run_next(exchange: Exchange) -> None:
        await next(scripts)(exchange)

    async with relay_fleet((asked,), {"a": {"s1": run_next, "s2": run_next}}) as fleet:
        answer = await ask(fleet.vms["a"], "/idempotent/")
    assert (answer.status, answer.body) == (200, b"whole")
