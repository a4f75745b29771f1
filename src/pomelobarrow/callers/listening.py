"""Open listening sockets that accept a few connections at a time."""

import socket

from pomelobarrow.callers.client_connection import RECEIVE_BYTES

# Connections that wait in the kernel to be accepted.
BACKLOG = 1_024
# asyncio accepts as many in one step. More of them would take all descriptors before the first one
# is counted.
ACCEPTED_AT_ONCE = 16


def listening_socket(address: str, bounds_unread: bool) -> socket.socket:
    """Return a socket bound to an address; its connections may have a small receive buffer."""
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    opened = socket.socket(family, socket.SOCK_STREAM)
    try:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if bounds_unread:
            # Accepted connections inherit it, and the kernel then doesn't enlarge it.
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        opened.setblocking(False)
        opened.bind((host, int(port)))
    except BaseException:
        opened.close()
        raise
    return opened


def listen(opened: socket.socket) -> None:
    """Let connections wait to be accepted, also more than are accepted at once."""
    opened.listen(BACKLOG)
