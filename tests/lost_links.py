"""Addresses that act like a lost link: connections to them are refused or never established."""

import enum
import socket
from collections.abc import Iterator
from contextlib import contextmanager

HOST = "127.0.0.1"
# The kernel queues one connection more than the backlog and drops further SYN packets.
QUEUED_CONNECTIONS = 2


class Loss(enum.Enum):
    """Ways in which new connections fail."""

    REFUSED = "refused"
    SILENT = "silent"


@contextmanager
def lost_address(loss: Loss) -> Iterator[str]:
    """Return an address to which no connection is ever established."""
    with socket.socket() as listener:
        listener.bind((HOST, 0))
        address = listener.getsockname()
        if loss is Loss.SILENT:
            listener.listen(0)
        queued = [socket.socket() for _ in range(QUEUED_CONNECTIONS)]
        if loss is Loss.SILENT:
            for each in queued:
                each.setblocking(False)
                each.connect_ex(address)
        yield f"{address[0]}:{address[1]}"
        for each in queued:
            each.close()
