"""Addresses that act like a lost link."""

import enum
import socket
from collections.abc import Iterator
from contextlib import contextmanager

HOST = "127.0.0.1"
# The kernel queues one connection more than the backlog and drops further SYN packets.
QUEUED_CONNECTIONS = 2
UNANSWERED_CONNECTIONS = 100


class Loss(enum.Enum):
    """Ways in which new connections fail."""

    REFUSED = "refused"
    SILENT = "silent"
    # They are established, and nothing sent on them is answered.
    UNANSWERED = "unanswered"


@contextmanager
def lost_address(loss: Loss) -> Iterator[str]:
    """Return an address at which no request is ever answered."""
    with socket.socket() as listener:
        listener.bind((HOST, 0))
        address = listener.getsockname()
        if loss is not Loss.REFUSED:
            listener.listen(UNANSWERED_CONNECTIONS if loss is Loss.UNANSWERED else 0)
        queued = [socket.socket() for _ in range(QUEUED_CONNECTIONS)]
        if loss is Loss.SILENT:
            for each in queued:
                each.setblocking(False)
                each.connect_ex(address)
        yield f"{address[0]}:{address[1]}"
        for each in queued:
            each.close()
