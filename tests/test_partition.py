"""Connections and datagrams that are cut inside a process."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable, Iterator
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import pytest
from attrs import define, evolve, field

from harness.partition import NONE, Cut, CutOrders, Ends, selector_class, socket_class
from pomelobarrow.kernel.sparing_selector import SparingSelector
from soak.partitions import Partition, cut_of

HERE, THERE, ELSEWHERE = "127.0.1.1", "127.0.1.2", "127.0.1.3"
STORE = "127.0.0.1:9"
IPS = {"here": HERE, "there": THERE, "elsewhere": ELSEWHERE}
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
WAIT_S = 10.0


@define
class _Received(asyncio.Protocol, asyncio.DatagramProtocol):
    data: bytes = b""
    ends: list[Exception | None] = field(factory=list)

    def data_received(self, data: bytes) -> None:
        self.data += data

    def datagram_received(self, data: bytes, addr: object) -> None:
        self.data += data

    def connection_lost(self, exc: Exception | None) -> None:
        self.ends.append(exc)


@define(slots=False)
class _Process:
    """What a daemon's process has: sockets, and a loop that follows orders."""

    orders: CutOrders
    stack: ExitStack
    ends: Ends = field(factory=lambda: Ends(own_ip=HERE, vm_ips=frozenset(IPS.values())))

    def run(self, play: Callable[[], Awaitable[None]]) -> None:
        selector = selector_class(SparingSelector, self.ends, self.orders)
        loop = asyncio.SelectorEventLoop(selector())
        with asyncio.Runner(loop_factory=lambda: loop) as runner:
            runner.run(play())

    async def cut(self, cut: Cut) -> None:
        self.orders.give(cut)
        await wait_until(lambda: self.ends.cut == cut)

    def own(self, **options: Any) -> socket.socket:
        return self.stack.enter_context(socket_class(self.ends)(**options))

    def remote(self, ip: str, **options: Any) -> socket.socket:
        """Return a socket of another VM."""
        opened = self.stack.enter_context(socket.socket(**options))
        opened.bind((ip, 0))
        opened.settimeout(WAIT_S)
        return opened

    async def accepted(self, ip: str) -> tuple[socket.socket, _Received, asyncio.Transport]:
        """Return a connection that another VM has dialled: its end, and this one's."""
        listener, remote = self.own(), self.remote(ip)
        listener.bind((HERE, 0))
        listener.listen()
        remote.connect(listener.getsockname())
        opened, _ = listener.accept()
        opened.setblocking(False)
        loop = asyncio.get_running_loop()
        transport, received = await loop.connect_accepted_socket(_Received, opened)
        return remote, received, transport


async def wait_until(holds: Callable[[], bool]) -> None:
    async with asyncio.timeout(WAIT_S):
        while not holds():
            await asyncio.sleep(0.001)


@pytest.fixture
def process(tmp_path: Path) -> Iterator[_Process]:
    with ExitStack() as stack:
        yield _Process(CutOrders(tmp_path, "vm"), stack)


def test_bytes_arrive_after_the_cut(process: _Process) -> None:
    async def play() -> None:
        cut, received, _ = await process.accepted(THERE)
        other, heard_too, _ = await process.accepted(ELSEWHERE)
        await process.cut(Cut(unheard={THERE}))
        cut.sendall(b"cut")
        other.sendall(b"other")
        await wait_until(lambda: heard_too.data == b"other")
        assert received.data == b""
        await process.cut(NONE)
        await wait_until(lambda: received.data == b"cut")

    process.run(play)


def test_bytes_are_sent_after_the_cut(process: _Process) -> None:
    async def play() -> None:
        cut, _, transport = await process.accepted(THERE)
        other, _, other_transport = await process.accepted(ELSEWHERE)
        cut.setblocking(False)
        await process.cut(Cut(withheld={THERE}))
        transport.write(b"cut")
        other_transport.write(b"other")
        assert other.recv(9) == b"other"
        with pytest.raises(BlockingIOError):
            cut.recv(9)
        await process.cut(NONE)
        cut.settimeout(WAIT_S)
        assert await asyncio.to_thread(cut.recv, 9) == b"cut"

    process.run(play)


@pytest.mark.parametrize("listens", [True, False])
def test_connection_is_established_after_the_cut(process: _Process, listens: bool) -> None:
    async def play() -> None:
        remote, opened = process.remote(THERE), process.own()
        remote.listen()
        opened.setblocking(False)
        await process.cut(Cut(undialled={THERE}))
        loop = asyncio.get_running_loop()
        dialling = asyncio.create_task(loop.sock_connect(opened, remote.getsockname()))
        await asyncio.sleep(0)
        remote.settimeout(0.0)
        with pytest.raises(BlockingIOError):
            remote.accept()
        assert not dialling.done()
        if not listens:
            remote.close()
        await process.cut(NONE)
        if not listens:
            with pytest.raises(ConnectionRefusedError):
                await dialling
            return
        await dialling
        _, address = remote.accept()
        assert address[0] == HERE

    process.run(play)


def test_reset_arrives_after_the_cut(process: _Process) -> None:
    async def play() -> None:
        cut, received, transport = await process.accepted(THERE)
        other, heard_too, _ = await process.accepted(ELSEWHERE)
        await process.cut(Cut(unheard={THERE}))
        cut.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        cut.close()
        for _ in range(3):
            transport.write(b"lost")
        other.close()
        await wait_until(lambda: bool(heard_too.ends))
        assert received.ends == []
        await process.cut(NONE)
        await wait_until(lambda: bool(received.ends))

    process.run(play)


def test_datagrams_are_lost(process: _Process) -> None:
    async def play() -> None:
        opened = process.own(type=socket.SOCK_DGRAM)
        opened.bind((HERE, 0))
        opened.setblocking(False)
        loop = asyncio.get_running_loop()
        transport, received = await loop.create_datagram_endpoint(_Received, sock=opened)
        cut = process.remote(THERE, type=socket.SOCK_DGRAM)
        other = process.remote(ELSEWHERE, type=socket.SOCK_DGRAM)
        await process.cut(Cut(lost={THERE}))
        cut.sendto(b"lost", opened.getsockname())
        other.sendto(b"other", opened.getsockname())
        await wait_until(lambda: received.data == b"other")
        await process.cut(NONE)
        cut.sendto(b", arrives", opened.getsockname())
        await wait_until(lambda: received.data == b"other, arrives")
        transport.close()

    process.run(play)


def test_order_holds_for_a_process_that_starts_during_a_cut(process: _Process) -> None:
    async def play() -> None:
        assert process.ends.cut == Cut(unheard={THERE})

    process.orders.give(Cut(unheard={THERE}))
    process.run(play)


BOTH_WAYS = Partition(vms={"here"})
INCOMING = Partition(vms={"here"}, cuts_outgoing=False)
OUTGOING = Partition(vms={"here"}, cuts_incoming=False)
OTHERS = {THERE, ELSEWHERE}


@pytest.mark.parametrize(
    ("partition", "inside", "outside"),
    [
        (
            BOTH_WAYS,
            Cut(
                unheard=OTHERS | {STORE},
                undialled=OTHERS | {STORE},
                lost=OTHERS,
                withheld={STORE},
            ),
            Cut(unheard={HERE}, undialled={HERE}, lost={HERE}),
        ),
        (
            INCOMING,
            Cut(unheard=OTHERS | {STORE}, undialled=OTHERS | {STORE}, lost=OTHERS),
            Cut(undialled={HERE}),
        ),
        (
            OUTGOING,
            Cut(undialled=OTHERS | {STORE}, withheld={STORE}),
            Cut(unheard={HERE}, undialled={HERE}, lost={HERE}),
        ),
        (
            evolve(BOTH_WAYS, cuts_datagrams=False, cuts_store=False),
            Cut(unheard=OTHERS, undialled=OTHERS),
            Cut(unheard={HERE}, undialled={HERE}),
        ),
        (
            evolve(BOTH_WAYS, cuts_connections=False, cuts_store=False),
            Cut(lost=OTHERS),
            Cut(lost={HERE}),
        ),
        (
            Partition(vms={"here", "there"}, cuts_store=False),
            Cut(unheard={ELSEWHERE}, undialled={ELSEWHERE}, lost={ELSEWHERE}),
            Cut(unheard={HERE, THERE}, undialled={HERE, THERE}, lost={HERE, THERE}),
        ),
    ],
)
def test_each_way_is_cut_by_itself(partition: Partition, inside: Cut, outside: Cut) -> None:
    assert cut_of("here", [partition], IPS, STORE) == inside
    assert cut_of("elsewhere", [partition], IPS, STORE) == outside


def test_partitions_overlap() -> None:
    both = cut_of("there", [BOTH_WAYS, Partition(vms={"elsewhere"})], IPS, STORE)
    assert both.lost == {HERE, ELSEWHERE}
