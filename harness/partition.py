"""Cut a daemon off from other VMs and from the store inside its process, as a partition does.

Nothing that is cut arrives and nothing is reset. What is sent on open connections arrives after the
cut, as far as these are still open; datagrams are lost. The kernel still answers TCP's own probes
of a connection, so that these don't close it.
"""

import contextlib
import errno
import json
import os
import selectors
import socket
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from attrs import asdict, define, field, frozen

MAX_WAKE_UP_BYTES = 16
EPOLL_BITS = {0: 0, 1: 1, 2: 4, 3: 5}


def _addresses(values: Iterable[str]) -> frozenset[str]:
    return frozenset(values)


@frozen(kw_only=True)
class Cut:
    """What a VM is cut off from: IP addresses of VMs, and IP address and port of the store."""

    # Nothing arrives from these on connections.
    unheard: frozenset[str] = field(default=(), converter=_addresses)
    # Nothing is sent to these on connections.
    withheld: frozenset[str] = field(default=(), converter=_addresses)
    # No connection to these is established.
    undialled: frozenset[str] = field(default=(), converter=_addresses)
    # Datagrams from these are lost.
    lost: frozenset[str] = field(default=(), converter=_addresses)

    def __or__(self, other: "Cut") -> "Cut":
        return Cut(
            unheard=self.unheard | other.unheard,
            withheld=self.withheld | other.withheld,
            undialled=self.undialled | other.undialled,
            lost=self.lost | other.lost,
        )


NONE = Cut()


@frozen
class CutOrders:
    """Files by which one daemon is told what it is cut off from."""

    folder: Path
    vm: str

    @property
    def wake_up_path(self) -> Path:
        """Return the path of the socket that tells the daemon of a new order."""
        return self.folder / f"{self.vm}.wake"

    def give(self, cut: Cut) -> None:
        """Write an order, which also holds for a daemon that starts later."""
        written = self._path.with_suffix(".new")
        written.write_text(json.dumps({k: sorted(v) for k, v in asdict(cut).items()}))
        os.replace(written, self._path)
        # The daemon may not run.
        with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as waking:
            waking.setblocking(False)
            with contextlib.suppress(OSError):
                waking.sendto(b"", str(self.wake_up_path))

    def read(self) -> Cut:
        """Return the present order."""
        return Cut(**json.loads(self._path.read_text())) if self._path.exists() else NONE

    @property
    def _path(self) -> Path:
        return self.folder / f"{self.vm}.cut"


@define
class Ends:
    """The open connections of a process and what it is cut off from."""

    own_ip: str
    vm_ips: frozenset[str]
    cut: Cut = NONE
    # By descriptor: the other end's IP address, and that with its port.
    _remotes: dict[int, frozenset[str]] = field(factory=dict)
    # Connections that are established once the cut has ended.
    _waiting: dict[int, tuple[socket.socket, Any]] = field(factory=dict)

    def note(self, descriptor: int, address: Any) -> frozenset[str]:
        """Record the other end of a connection."""
        remote = frozenset({address[0], f"{address[0]}:{address[1]}"})
        self._remotes[descriptor] = remote
        return remote

    def forget(self, descriptor: int) -> None:
        """Drop a connection that is closed."""
        self._remotes.pop(descriptor, None)
        self._waiting.pop(descriptor, None)

    def hidden_events(self, descriptor: int) -> int:
        """Return the events of a descriptor that a cut hides."""
        remote = self._remotes.get(descriptor)
        if remote is None:
            return 0
        if descriptor in self._waiting:
            return selectors.EVENT_READ | selectors.EVENT_WRITE
        hides_read, hides_write = remote & self.cut.unheard, remote & self.cut.withheld
        read = selectors.EVENT_READ if hides_read else 0
        return read | (selectors.EVENT_WRITE if hides_write else 0)

    def is_undialled(self, opened: socket.socket, address: Any) -> bool:
        """Return whether a connection has to wait for the end of a cut."""
        if self.note(opened.fileno(), address).isdisjoint(self.cut.undialled):
            return False
        self._waiting[opened.fileno()] = (opened, address)
        return True

    def dial_again(self) -> None:
        """Establish the connections whose cut has ended."""
        for descriptor, (opened, address) in tuple(self._waiting.items()):
            if self._remotes[descriptor].isdisjoint(self.cut.undialled):
                del self._waiting[descriptor]
                # It reports its error when it is asked.
                with contextlib.suppress(OSError):
                    opened.connect(address)


def socket_class(ends: Ends) -> type[socket.socket]:
    """Return a class of sockets whose connections and datagrams can be cut."""

    class CuttableSocket(socket.socket):
        """Note the other end of each connection, and lose what a cut keeps from it."""

        failed = 0

        def accept(self) -> tuple[socket.socket, Any]:
            descriptor, address = self._accept()
            accepted = CuttableSocket(self.family, self.type, self.proto, fileno=descriptor)
            if self.family == socket.AF_INET:
                ends.note(descriptor, address)
            return accepted, address

        def connect(self, address: Any) -> None:
            if self.family != socket.AF_INET or self.type != socket.SOCK_STREAM:
                return super().connect(address)
            # The other end tells VMs apart by their addresses.
            if address[0] in ends.vm_ips and self.getsockname()[1] == 0:
                self.bind((ends.own_ip, 0))
            if ends.is_undialled(self, address):
                raise BlockingIOError(errno.EINPROGRESS, "cut off")
            code = super().connect_ex(address)
            if code == errno.EINPROGRESS:
                raise BlockingIOError(code, os.strerror(code))
            # A connection that had to wait is asked for its error afterwards.
            self.failed = code
            if code:
                raise OSError(code, os.strerror(code))
            return None

        def getsockopt(self, level: int, option: int, *buffer: int) -> Any:
            if option == socket.SO_ERROR and level == socket.SOL_SOCKET and self.failed:
                return self.failed
            return super().getsockopt(level, option, *buffer)

        def send(self, data: Any, *flags: int) -> int:
            hidden = ends.hidden_events(self.fileno())
            if hidden & selectors.EVENT_WRITE:
                raise BlockingIOError(errno.EAGAIN, "cut off")
            try:
                return super().send(data, *flags)
            except ConnectionError:
                # The other end's reset doesn't arrive.
                if hidden & selectors.EVENT_READ:
                    return memoryview(data).nbytes
                raise

        def recvfrom(self, *sizes: int) -> tuple[bytes, Any]:
            while True:
                data, address = super().recvfrom(*sizes)
                if self.family != socket.AF_INET or address[0] not in ends.cut.lost:
                    return data, address

        def close(self) -> None:
            ends.forget(self.fileno())
            super().close()

        def detach(self) -> int:
            ends.forget(self.fileno())
            return super().detach()

    return CuttableSocket


def selector_class(
    base: type[selectors.EpollSelector], ends: Ends, orders: CutOrders
) -> type[selectors.EpollSelector]:
    """Return a class of selectors that hide what is cut."""

    class CuttableSelector(base):  # type: ignore[misc, valid-type]
        """Hide the events of connections that are cut, and follow orders."""

        def __init__(self) -> None:
            super().__init__()
            # The kernel reports errors of all descriptors that it watches.
            self._unwatched: set[int] = set()
            orders.wake_up_path.unlink(missing_ok=True)
            self._waking = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
            self._waking.setblocking(False)
            self._waking.bind(str(orders.wake_up_path))
            self._selector.register(self._waking.fileno(), EPOLL_BITS[selectors.EVENT_READ])
            ends.cut = orders.read()

        def register(self, fileobj: Any, events: int, data: Any = None) -> Any:
            key = super().register(fileobj, events, data)
            if ends.hidden_events(key.fd):
                self._watch(key.fd)
            return key

        def modify(self, fileobj: Any, events: int, data: Any = None) -> Any:
            descriptor = self._fileobj_lookup(fileobj)
            if descriptor in self._unwatched:
                self._selector.register(descriptor, 0)
                self._unwatched.discard(descriptor)
            key = super().modify(fileobj, events, data)
            self._watch(descriptor)
            return key

        def unregister(self, fileobj: Any) -> Any:
            key = super().unregister(fileobj)
            self._unwatched.discard(key.fd)
            return key

        def select(self, timeout: float | None = None) -> list[tuple[Any, int]]:
            ready = super().select(timeout)
            self._follow_orders()
            shown = ((key, events & ~ends.hidden_events(key.fd)) for key, events in ready)
            return [(key, events) for key, events in shown if events]

        def _follow_orders(self) -> None:
            has_order = False
            with contextlib.suppress(BlockingIOError):
                while True:
                    self._waking.recv(MAX_WAKE_UP_BYTES)
                    has_order = True
            if has_order:
                ends.cut = orders.read()
                ends.dial_again()
                for descriptor in tuple(self._fd_to_key):
                    self._watch(descriptor)

        def _watch(self, descriptor: int) -> None:
            events = self._fd_to_key[descriptor].events & ~ends.hidden_events(descriptor)
            if not events and descriptor not in self._unwatched:
                self._unwatched.add(descriptor)
                self._selector.unregister(descriptor)
            elif events and descriptor in self._unwatched:
                self._unwatched.discard(descriptor)
                self._selector.register(descriptor, EPOLL_BITS[events])
            elif events:
                self._selector.modify(descriptor, EPOLL_BITS[events])

    return CuttableSelector


def make_cuttable(own_ip: str, vm_ips: Iterable[str], orders: CutOrders) -> None:
    """Let this process follow orders about what it is cut off from, before its loop exists."""
    from pomelobarrow.kernel import sparing_selector

    ends = Ends(own_ip=own_ip, vm_ips=frozenset(vm_ips))
    sparing_selector.SparingSelector = selector_class(
        sparing_selector.SparingSelector, ends, orders
    )
    socket.socket = socket_class(ends)
