"""An answer of which a server sends only the first bytes."""

import asyncio

from aiohttp import http_parser
from attrs import define, field
from scripted_server import SEAL, Exchange, answers

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
# The parser in C is missing where it could not be built.
PARSERS = {
    name: getattr(http_parser, name)
    for name in ("HttpResponseParserC", "HttpResponseParserPy")
    if hasattr(http_parser, name)
}


@define(kw_only=True)
class CutAnswers:
    """Cut the answers to so many requests after the bytes that each states, once all have come.

    All connections end together then, and the process too if it is killed. A request that comes
    again gets a whole answer.
    """

    answer: bytes
    requests: int
    is_reset: bool
    is_killed: bool = False
    arrived: set[bytes] = field(factory=set, init=False)
    _all_arrived: asyncio.Event = field(factory=asyncio.Event, init=False)

    async def __call__(self, exchange: Exchange) -> None:
        """Answer one request."""
        stated = exchange.received.body
        if stated in self.arrived:
            await answers()(exchange)
            return
        self.arrived.add(stated)
        if len(self.arrived) == self.requests:
            if self.is_killed:
                exchange.server.stop_listening()
            self._all_arrived.set()
        await self._all_arrived.wait()
        exchange.writer.write(self.answer[: int(stated)])
        await exchange.writer.drain()
        if self.is_reset:
            exchange.reset()
