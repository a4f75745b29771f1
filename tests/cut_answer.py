"""An answer of which a server sends only the first bytes."""

import asyncio
import itertools
from collections.abc import Iterator
from contextlib import suppress

from aiohttp import http_parser
from attrs import define, frozen
from scripted_server import SEAL, Exchange

STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
FIELDS = b"Pomelobarrow-Request-Id: r1\r\nPomelobarrow-Response-Seal: %b\r\n" % SEAL.encode()
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
BODY = b"a whole body"
LENGTH = b"Content-Length: %d\r\n" % len(BODY)
CHUNKED = b"Transfer-Encoding: chunked\r\n"
# All heads of an answer to the same request. A truncated length is a shorter one.
HEADS = {
    "length": STATUS_LINE + FIELDS + LENGTH + b"\r\n",
    "length first": STATUS_LINE + LENGTH + FIELDS + b"\r\n",
    "chunks": STATUS_LINE + FIELDS + CHUNKED + b"\r\n",
    "chunks first": STATUS_LINE + CHUNKED + FIELDS + b"\r\n",
    "no framing": STATUS_LINE + FIELDS + b"Connection: close\r\n\r\n",
    "interim answers": INTERIM + STATUS_LINE + FIELDS + LENGTH + b"\r\n",
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\n" + FIELDS + b"\r\n",
    "without a body": b"HTTP/1.1 204 No Content\r\n" + FIELDS + b"\r\n",
}
PARSERS = {
    "C": http_parser.HttpResponseParserC,
    "Python": http_parser.HttpResponseParserPy,
}


@frozen(kw_only=True)
class Cut:
    """Where an answer is cut, and how its connection ends."""

    size_bytes: int
    is_reset: bool = False
    is_killed: bool = False


def cuts(size_bytes: int, kills: bool = False) -> Iterator[Cut]:
    """Yield all cuts before a size, with both ends of a connection and of the process."""
    ends = itertools.product((False, True), (False, True) if kills else (False,))
    for is_reset, is_killed in ends:
        for cut_bytes in range(size_bytes):
            yield Cut(size_bytes=cut_bytes, is_reset=is_reset, is_killed=is_killed)


@define(kw_only=True)
class CutAnswer:
    """Send the first bytes of an answer, and end the connection and maybe the process."""

    answer: bytes
    cut: Cut

    async def __call__(self, exchange: Exchange) -> None:
        """Answer one request."""
        if self.cut.is_killed:
            exchange.server.stop_listening()
        with suppress(ConnectionError):
            exchange.writer.write(self.answer[: self.cut.size_bytes])
            await exchange.writer.drain()
            # Bytes that have not been read yet are lost with a reset.
            await asyncio.sleep(0)
            if self.cut.is_reset:
                exchange.reset()
