"""Add up what processes sent and received on their TCP sockets, by the role of the port."""

import re
import subprocess
from collections.abc import Iterable, Mapping

from attrs import frozen

ROLE_OF_PORT_NAME = {"peer": "peer", "platform": "platform", "engine": "backend"}
_PID = re.compile(r"pid=(\d+)")
_COUNTER = re.compile(r"\b(bytes_sent|bytes_received|data_segs_out):(\d+)")


@frozen
class SocketTotals:
    """Hold payload bytes both ways and data segments sent, one of which holds one message."""

    bytes: int = 0
    messages_sent: int = 0

    def plus(self, other: "SocketTotals") -> "SocketTotals":
        """Return the sum."""
        return SocketTotals(self.bytes + other.bytes, self.messages_sent + other.messages_sent)

    def minus(self, other: "SocketTotals") -> "SocketTotals":
        """Return the difference."""
        return SocketTotals(self.bytes - other.bytes, self.messages_sent - other.messages_sent)


@frozen
class SocketId:
    """Name one socket of a process and the role of its port."""

    role: str
    local: str
    remote: str


def read_sockets(
    pids: Iterable[int], port_names: Mapping[int, str]
) -> dict[SocketId, SocketTotals]:
    """Return the counters of these processes' established sockets."""
    command = ["ss", "-tinpHO", "state", "established"]
    text = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    return parse_sockets(text, frozenset(pids), port_names)


def parse_sockets(
    text: str, pids: frozenset[int], port_names: Mapping[int, str]
) -> dict[SocketId, SocketTotals]:
    """Return the counters in the lines that `ss` printed."""
    found: dict[SocketId, SocketTotals] = {}
    for line in text.splitlines():
        pid = _PID.search(line)
        if pid is None or int(pid.group(1)) not in pids:
            continue
        local, remote = line.split()[2:4]
        role = _role(local, port_names) or _role(remote, port_names)
        if role is None:
            continue
        counters = {name: int(count) for name, count in _COUNTER.findall(line)}
        sent, received = counters.get("bytes_sent", 0), counters.get("bytes_received", 0)
        totals = SocketTotals(sent + received, counters.get("data_segs_out", 0))
        found[SocketId(role, local, remote)] = totals
    return found


def growth(
    before: Mapping[SocketId, SocketTotals], after: Mapping[SocketId, SocketTotals], role: str
) -> SocketTotals:
    """Return what passed between two readings; a socket closed in between is left out."""
    total = SocketTotals()
    for socket, totals in after.items():
        if socket.role == role:
            total = total.plus(totals.minus(before.get(socket, SocketTotals())))
    return total


def _role(address: str, port_names: Mapping[int, str]) -> str | None:
    name = port_names.get(int(address.rpartition(":")[2]), "")
    return ROLE_OF_PORT_NAME.get(name)
