"""Answers that have no body end with their head."""

import aiohttp
import pytest
from relay_harness import HOST, relay_fleet, route
from scripted_server import Script, is_killed_after, writes_unframed

from pomelobarrow.decision.published.routing import Route, RouteKind
from pomelobarrow.operators.event_fields import event_fields
from pomelobarrow.relay.events import RelayAttemptEnded

ONCE = route(RouteKind.NON_IDEMPOTENT)


async def head_status(asked: Route, script: Script) -> tuple[int, list[str]]:
    """Return the status that a client gets, and what marked the ends of the server's answers."""
    fields = {"Host": HOST, "Pomelobarrow-Request-Id": "r1"}
    async with (
        relay_fleet((asked,), {"a": {"s1": script}}) as fleet,
        aiohttp.ClientSession() as session,
        session.head(f"{fleet.vms['a'].url}{asked.path_prefix}", headers=fields) as response,
    ):
        log = [each for each in fleet.vms["a"].events if isinstance(each, RelayAttemptEnded)]
        return response.status, [str(event_fields(each)["answer_end"]) for each in log]


@pytest.mark.parametrize("script", [writes_unframed(b""), is_killed_after(b"")])
async def test_answer_to_head_is_complete_without_a_length(script: Script) -> None:
    """It was taken for one that its connection ends, and lost if the server had ended since."""
    assert await head_status(ONCE, script) == (200, ["head"])


async def test_head_request_for_a_stream_is_answered() -> None:
    """It was refused after its run, since its answer brought no event."""
    asked = route(RouteKind.STREAM, is_resumable=True)
    assert await head_status(asked, writes_unframed(b"")) == (200, ["head"])
