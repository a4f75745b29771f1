"""An answer of which a server sends only the first bytes."""

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
class CutAnswer:
    """Cut the answer to one request; whoever asks again gets a whole one."""

    answer: bytes
    size_bytes: int
    is_reset: bool
    is_killed: bool = False
    _is_sent: bool = field(default=False, init=False)

    async def __call__(self, exchange: Exchange) -> None:
        """Answer one request."""
        if self._is_sent:
            await answers()(exchange)
            return
        self._is_sent = True
        if self.is_killed:
            exchange.server.stop_listening()
        exchange.writer.write(self.answer[: self.size_bytes])
        await exchange.writer.drain()
        if self.is_reset:
            exchange.reset()
