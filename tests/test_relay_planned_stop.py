"""What clients get whose requests meet a planned stop of their VM, over real sockets."""

import asyncio
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest
from relay_harness import HOST, RelayVm, relay_fleet, route
from scripted_server import hangs

from pomelobarrow.backends.reach_monitor import ReachMonitor
from pomelobarrow.decision.published.routing import RouteKind
from pomelobarrow.relay import plugin
from pomelobarrow.relay.listeners import RelayListeners
from pomelobarrow.relay.plugin import PlannedStop
from pomelobarrow.relay.relay import Relay

# Late clients are served for this long after the stop has begun.
LATE_CLIENTS_S = 0.5
ONCE = route(RouteKind.NON_IDEMPOTENT, timeout_s=60.0)
BODY = b"b" * 1_000
LENGTH = {"Content-Length": str(len(BODY))}
Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@pytest.fixture(autouse=True)
def _short_stop(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(plugin, "LATE_CLIENTS_S", LATE_CLIENTS_S)


async def stop(vm: RelayVm, timeout_s: float) -> None:
    """Stop a VM like its daemon does."""
    parts: dict[type, Any] = {
        PlannedStop: vm.planned_stop,
        Relay: vm.relay,
        RelayListeners: vm.listeners,
        ReachMonitor: vm.relay.reach,
    }
    settings = SimpleNamespace(relay=SimpleNamespace(stop_timeout_s=timeout_s))
    context: Any = SimpleNamespace(settings=settings, get=parts.__getitem__)
    await plugin.drain(context)
    await plugin.close(context)


def head(deadline_s: float, **more: str) -> bytes:
    fields = {
        "Host": HOST,
        "Pomelobarrow-Request-Id": "r1",
        "Pomelobarrow-Request-Deadline": str(round(deadline_s * 1_000)),
        **more,
    }
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"POST /non_idempotent/ HTTP/1.1\r\n{lines}\r\n".encode()


async def connect(vm: RelayVm) -> Connection:
    return await asyncio.open_connection(vm.host, vm.front_port)


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, bytes, bytes]:
    """Return the status, the head and the whole body of the next answer."""
    lines = await reader.readuntil(b"\r\n\r\n")
    length = int(lines.lower().partition(b"content-length: ")[2].partition(b"\r")[0])
    return int(lines.split()[1]), lines, await reader.readexactly(length)


class EndlessWaits:
    """Never find a place for a request."""

    def __init__(self) -> None:
        self.has_begun = asyncio.Event()

    async def before_placement(self, progress: object) -> None:
        self.has_begun.set()
        await asyncio.Event().wait()


def wait_endlessly(vm: RelayVm) -> Callable[[], Any]:
    waits = EndlessWaits()
    vm.relay.waits = waits  # type: ignore[assignment]
    return waits.has_begun.wait


@pytest.mark.parametrize(
    ("is_passed_on", "status", "kind", "run"),
    [(False, 503, b"draining", b"no"), (True, 502, b"outcome_unknown", b"unknown")],
)
async def test_request_still_in_progress_at_the_end_of_a_planned_stop_gets_an_answer(
    is_passed_on: bool, status: int, kind: bytes, run: bytes
) -> None:
    """Guards against requests that the end of the process cuts, whether they have run or not."""
    async with relay_fleet((ONCE,), {"a": {"s1": hangs()}}) as fleet:
        vm = fleet.vms["a"]
        reader, writer = await connect(vm)
        has_begun = None if is_passed_on else wait_endlessly(vm)
        writer.write(head(30.0, **LENGTH) + BODY)
        if has_begun is not None:
            await has_begun()
        while is_passed_on and not fleet.servers["s1"].received:
            await asyncio.sleep(0.01)
        stopping = asyncio.create_task(stop(vm, 2.0))
        answer = await read_answer(reader)
        await stopping
        writer.close()
    assert answer[0] == status
    assert b'"kind":"%s"' % kind in answer[2]
    assert b'"run":"%s"' % run in answer[2]
