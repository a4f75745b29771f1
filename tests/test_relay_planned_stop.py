"""What clients get whose requests meet a planned stop of their VM, over real sockets."""

import asyncio
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest
from relay_harness import HOST, RelayVm, relay_fleet, route
from scripted_server import Exchange, Script, answers, hangs

from pomelobarrow.backends.reach_monitor import ReachMonitor
from pomelobarrow.decision.published.routing import RouteKind
from pomelobarrow.relay import plugin
from pomelobarrow.relay.hop import FROM_HEADER
from pomelobarrow.relay.listeners import RelayListeners
from pomelobarrow.relay.plugin import PlannedStop
from pomelobarrow.relay.relay import Relay

# Late clients are served for this long after the stop has begun.
LATE_CLIENTS_S = 0.5
ONCE = route(RouteKind.NON_IDEMPOTENT, timeout_s=60.0)
BODY = b"b" * 1_000
LENGTH = {"Content-Length": str(len(BODY))}
CHUNKED = {"Transfer-Encoding": "chunked"}
PARTS = {
    "length": (LENGTH, BODY[:-1], BODY[-1:]),
    "chunks": (CHUNKED, b"3e7\r\n" + BODY[:-1] + b"\r\n", b"1\r\nb\r\n0\r\n\r\n"),
}
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


async def connect(vm: RelayVm, door: str = "clients") -> Connection:
    port = vm.front_port if door == "clients" else vm.relay.hop_port
    return await asyncio.open_connection(vm.host, port)


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, bytes, bytes]:
    """Return the status, the head and the whole body of the next answer."""
    lines = await reader.readuntil(b"\r\n\r\n")
    length = int(lines.lower().partition(b"content-length: ")[2].partition(b"\r")[0])
    return int(lines.split()[1]), lines, await reader.readexactly(length)


def answers_after(pause_s: float) -> Script:
    async def script(exchange: Exchange) -> None:
        await asyncio.sleep(pause_s)
        await answers()(exchange)

    return script


@pytest.mark.parametrize("door", ["clients", "peers"])
@pytest.mark.parametrize("form", PARTS)
async def test_body_that_arrives_during_a_planned_stop_is_answered(form: str, door: str) -> None:
    """Guards against stops that drop bodies on their way and close their connections."""
    framing, first, rest = PARTS[form]
    fields = framing if door == "clients" else {**framing, FROM_HEADER: "vm-z"}
    async with relay_fleet((ONCE,), {"a": {"s1": answers()}}) as fleet:
        vm = fleet.vms["a"]
        reader, writer = await connect(vm, door)
        writer.write(head(4.0, **fields) + first)
        stopping = asyncio.create_task(stop(vm, 6.0))
        await asyncio.sleep(LATE_CLIENTS_S + 1.0)
        writer.write(rest)
        status, lines, _ = await read_answer(reader)
        await stopping
        received = [each.body for each in fleet.servers["s1"].received]
        writer.close()
    assert (status, received) == (200, [BODY])
    assert b"connection: close" in lines.lower()


@pytest.mark.parametrize("door", ["clients", "peers"])
@pytest.mark.parametrize("form", PARTS)
async def test_body_too_late_for_a_planned_stop_is_refused(form: str, door: str) -> None:
    """Guards against stops that close the connection of a client that still sends."""
    framing, first, _ = PARTS[form]
    fields = framing if door == "clients" else {**framing, FROM_HEADER: "vm-z"}
    async with relay_fleet((ONCE,), {"a": {"s1": answers()}}) as fleet:
        vm = fleet.vms["a"]
        reader, writer = await connect(vm, door)
        writer.write(head(30.0, **fields) + first)
        stopping = asyncio.create_task(stop(vm, 4.0))
        status, lines, body = await read_answer(reader)
        assert await reader.read() == b""
        writer.close()
        await stopping
        received = fleet.servers["s1"].received
    assert (status, received) == (503, [])
    assert b"connection: close" in lines.lower()
    assert b'"draining"' in body
    assert b'"run":"no"' in body


async def test_client_that_reads_late_gets_the_refusal_of_its_body() -> None:
    """Guards against a reset of clients that send all of a body before they read an answer."""
    async with relay_fleet((ONCE,), {"a": {"s1": answers()}}) as fleet:
        vm = fleet.vms["a"]
        reader, writer = await connect(vm)
        writer.write(head(30.0, **LENGTH))
        stopping = asyncio.create_task(stop(vm, 8.0))
        for _ in range(20):
            writer.write(BODY[:50])
            await writer.drain()
            await asyncio.sleep(0.15)
        status, _, body = await read_answer(reader)
        await stopping
        writer.close()
    assert status == 503
    assert b'"draining"' in body
    assert b'"run":"no"' in body


async def test_body_that_stalls_during_a_planned_stop_is_refused_at_its_deadline() -> None:
    """Guards against stalled bodies that hold a stop up, and that get no answer."""
    async with relay_fleet((ONCE,), {"a": {"s1": answers()}}) as fleet:
        vm = fleet.vms["a"]
        reader, writer = await connect(vm)
        writer.write(head(2.0, **LENGTH) + BODY[:-1])
        stopping = asyncio.create_task(stop(vm, 4.0))
        status, lines, body = await read_answer(reader)
        await stopping
        writer.close()
    assert status == 408
    assert b"connection: close" in lines.lower()
    assert b'"run":"no"' in body


class SlowAccess:
    """Take a while to charge a request, as when an allowance comes from another VM."""

    def __init__(self, vm: RelayVm, pause_s: float) -> None:
        self._access, self._pause_s = vm.front.access, pause_s
        self.check = self._access.check

    async def charge(self, *arguments: Any) -> Any:
        await asyncio.sleep(self._pause_s)
        return await self._access.charge(*arguments)


async def test_request_that_is_being_admitted_when_listeners_close_is_answered() -> None:
    """Guards against requests that are passed on to a server and cut by the stop."""
    async with relay_fleet((ONCE,), {"a": {"s1": answers_after(2.0)}}) as fleet:
        vm = fleet.vms["a"]
        vm.front.access = SlowAccess(vm, LATE_CLIENTS_S + 0.6)  # type: ignore[assignment]
        reader, writer = await connect(vm)
        writer.write(head(5.0, **LENGTH) + BODY)
        stopping = asyncio.create_task(stop(vm, 8.0))
        status, _, _ = await read_answer(reader)
        await stopping
        writer.close()
    assert status == 200


async def test_requests_sent_ahead_are_all_answered_during_a_planned_stop() -> None:
    """Guards against a close after the first answer, though the next request was read whole."""
    async with relay_fleet((ONCE,), {"a": {"s1": answers_after(0.5)}}) as fleet:
        vm = fleet.vms["a"]
        reader, writer = await connect(vm)
        writer.write(2 * (head(4.0, **LENGTH) + BODY))
        stopping = asyncio.create_task(stop(vm, 8.0))
        first, second = await read_answer(reader), await read_answer(reader)
        assert await reader.read() == b""
        await stopping
        writer.close()
    assert (first[0], second[0]) == (200, 200)
    assert b"connection: close" not in first[1].lower()
    assert b"connection: close" in second[1].lower()


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
