"""A backend server whose behaviour a test scripts, byte for byte."""

import asyncio
import struct
from collections.abc import Awaitable, Callable
from socket import SO_LINGER, SOL_SOCKET
from typing import Self

from attrs import define, field, frozen

SEAL = "seal-of-the-server"
REQUEST_ID = "pomelobarrow-request-id"
# Tests send hundreds of requests at a time.
BACKLOG = 1_024


@frozen(kw_only=True)
class Received:
    """Represent a request as received."""

    line: str
    headers: dict[str, str]
    body: bytes


@define(kw_only=True)
class Exchange:
    """Represent one request and the connection to answer it on."""

    received: Received
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    server: "ScriptedServer"

    def write_head(self, status: int, **more: str) -> None:
        """Write the head of an answer with the id of the request and the seal."""
        fields = {
            "Pomelobarrow-Request-Id": self.received.headers["pomelobarrow-request-id"],
            "Pomelobarrow-Response-Seal": SEAL,
            **{name.replace("_", "-"): value for name, value in more.items()},
        }
        lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in fields.items())]
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())

    def write_chunk(self, data: bytes) -> None:
        """Write one chunk of a chunked body."""
        self.writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    def reset(self) -> None:
        """Reset the connection; without the linger option, closing would end it regularly."""
        socket = self.writer.get_extra_info("socket")
        socket.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


Script = Callable[[Exchange], Awaitable[None]]


@define(kw_only=True)
class ScriptedServer:
    """Listen, run the script for each request and record the requests."""

    name: str
    host: str
    script: Script
    received: list[Received] = field(factory=list)
    lost: asyncio.Event = field(factory=asyncio.Event)
    has_ended: bool = False
    # True if it resets the next connection and stops listening then.
    is_ending: bool = False
    # Treats all further connections in place of answering, as a proxy of an ended server does.
    on_connection: Callable[[asyncio.StreamWriter], None] | None = None
    # The start of its process, which its report states; 0 if it starts only once.
    born_unix_ms: int = 0
    states_born: bool = True
    _server: asyncio.Server | None = None
    _port: int = 0
    _writers: set[asyncio.StreamWriter] = field(factory=set)

    async def __aenter__(self) -> Self:
        await self.listen()
        return self

    async def __aexit__(self, *error: object) -> None:
        assert self._server is not None
        self._server.close()

    @property
    def address(self) -> str:
        """Return the listening address."""
        assert self._port
        return f"{self.host}:{self._port}"

    async def listen(self) -> None:
        """Accept connections, at the same address as before if it has listened already."""
        if self._server is not None:
            self._server.close()
        self._server = await asyncio.start_server(
            self._serve, self.host, self._port, backlog=BACKLOG
        )
        self._port = self._server.sockets[0].getsockname()[1]
        self.has_ended = False

    def stop_listening(self) -> None:
        """Refuse new connections."""
        assert self._server is not None
        self.has_ended = True
        self._server.close()

    def end(self) -> None:
        """Act like a crashed process: stop listening and close all connections."""
        self.stop_listening()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.is_ending:
            self.stop_listening()
            writer.transport.abort()
            return
        self._writers.add(writer)
        if self.on_connection is not None:
            self.on_connection(writer)
            return
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
        except asyncio.IncompleteReadError:
            # The relay connects to see whether a server accepts connections.
            writer.close()
            return
        line, *fields = head.strip().split("\r\n")
        headers = {name.lower(): value for name, value in (each.split(": ", 1) for each in fields)}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        received = Received(line=line, headers=headers, body=body)
        if headers.get("pomelobarrow-target-instance", self.name) != self.name:
            writer.write(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
            writer.close()
            return
        if "pomelobarrow-target-instance" in headers and not headers.get(REQUEST_ID):
            # A probe that names this server.
            if line.startswith("GET /report ") and self.states_born:
                report = b'{"Busy": false, "born": %d}' % self.born_unix_ms
                writer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(report))
                writer.write(report)
                writer.close()
                return
            writer.write(b"HTTP/1.1 400 X\r\nContent-Length: 0\r\n\r\n")
            writer.close()
            return
        self.received.append(received)
        await self.script(Exchange(received=received, reader=reader, writer=writer, server=self))
        self._writers.discard(writer)
        if not writer.transport.is_closing():
            writer.close()


def answers(status: int = 200, body: bytes = b"whole") -> Script:
    """Send a complete answer."""

    async def script(exchange: Exchange) -> None:
        exchange.write_head(status, Content_Length=str(len(body)))
        exchange.writer.write(body)

    return script


def refuses(status: int = 503) -> Script:
    """Refuse the request as not run."""

    async def script(exchange: Exchange) -> None:
        exchange.write_head(status, Pomelobarrow_Not_Executed="1", Content_Length="0")

    return script


def resets() -> Script:
    """Reset the connection without an answer."""

    async def script(exchange: Exchange) -> None:
        exchange.reset()

    return script


def crashes_on(body: bytes, otherwise: Script) -> Script:
    """End the server under a request with the given body."""

    async def script(exchange: Exchange) -> None:
        if exchange.received.body != body:
            await otherwise(exchange)
            return
        # A stream sends its head and one event before the server ends.
        if exchange.received.line.split()[1].startswith("/stream/"):
            last = int(exchange.received.headers.get("last-event-id", "0"))
            await streams(9, breaks_after=last + 1)(exchange)
        exchange.server.end()

    return script


def crashes_on_part(part: str, otherwise: Script, events: int = 0) -> Script:
    """End the server under a prompt with a part, after so many events of a stream."""

    async def script(exchange: Exchange) -> None:
        if part not in exchange.received.headers.get("pomelobarrow-prompt-prefix", ""):
            await otherwise(exchange)
            return
        if events:
            last = int(exchange.received.headers.get("last-event-id", "0"))
            await streams(9, breaks_after=last + events, half=b"id: ")(exchange)
        exchange.server.end()

    return script


def ends_unframed(body: bytes) -> Script:
    """Answer without length and chunks, and end the server together with the connection."""

    async def script(exchange: Exchange) -> None:
        exchange.write_head(200, Content_Type="text/event-stream", Connection="close")
        exchange.writer.write(body)
        await exchange.writer.drain()
        exchange.writer.close()
        await exchange.writer.wait_closed()
        exchange.server.end()

    return script


def writes_unframed(body: bytes) -> Script:
    """Answer without length and chunks."""

    async def script(exchange: Exchange) -> None:
        exchange.write_head(200, Content_Type="text/event-stream", Connection="close")
        exchange.writer.write(body)

    return script


def is_killed_slowly_after(body: bytes) -> Script:
    """Answer like a killed process that closes its listening socket after its connections."""

    async def script(exchange: Exchange) -> None:
        exchange.write_head(200, Content_Type="text/event-stream", Connection="close")
        exchange.writer.write(body)
        await exchange.writer.drain()
        exchange.server.is_ending = True
        exchange.writer.close()

    return script


def is_killed_after(body: bytes, **more: str) -> Script:
    """Answer without length and chunks, and end like a killed process: all its sockets close."""

    async def script(exchange: Exchange) -> None:
        exchange.write_head(200, Content_Type="text/event-stream", Connection="close", **more)
        exchange.writer.write(body)
        await exchange.writer.drain()
        exchange.server.stop_listening()
        exchange.writer.close()

    return script


def is_replaced_after(data: bytes) -> Script:
    """Send an unframed answer that ends with its process; the next one listens at its address."""

    async def script(exchange: Exchange) -> None:
        exchange.write_head(200)
        exchange.writer.write(data)
        exchange.server.name = "next"

    return script


def starts_again_after(data: bytes) -> Script:
    """Send an unframed answer that ends with its process; the next one has the same name."""

    async def script(exchange: Exchange) -> None:
        exchange.write_head(200)
        exchange.writer.write(data)
        exchange.server.born_unix_ms += 60_000

    return script


def is_killed_behind_a_proxy(
    body: bytes, on_connection: Callable[[asyncio.StreamWriter], None]
) -> Script:
    """Answer without length and chunks, and end; a proxy still accepts connections."""

    async def script(exchange: Exchange) -> None:
        exchange.write_head(200, Content_Type="text/event-stream", Connection="close")
        exchange.writer.write(body)
        await exchange.writer.drain()
        exchange.server.on_connection = on_connection
        exchange.writer.close()

    return script


def resets_connection(writer: asyncio.StreamWriter) -> None:
    """Treat a connection like a proxy that reaches no server."""
    writer.transport.abort()


def keeps_connection_silent(writer: asyncio.StreamWriter) -> None:
    """Treat a connection like a proxy whose server has vanished."""


def event(number: int) -> bytes:
    """Return an event of a stream."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def streams(last: int, breaks_after: int | None = None, half: bytes = b"") -> Script:
    """Stream the events after the requested one; optionally break off within the next event."""

    async def script(exchange: Exchange) -> None:
        first = int(exchange.received.headers.get("last-event-id", "0")) + 1
        exchange.write_head(200, Content_Type="text/event-stream", Transfer_Encoding="chunked")
        for number in range(first, last + 1):
            exchange.write_chunk(event(number))
            await exchange.writer.drain()
            if number == breaks_after:
                if half:
                    exchange.write_chunk(half)
                await exchange.writer.drain()
                await asyncio.sleep(0)
                # A reset would drop data that the reader has not read yet. Closing without the last
                # chunk leaves the body incomplete as well.
                exchange.writer.close()
                return
        exchange.writer.write(b"0\r\n\r\n")

    return script


def writes(*chunks: bytes, is_whole: bool = True) -> Script:
    """Stream these bytes, each in a chunk of its own; break off after them unless it is whole."""

    async def script(exchange: Exchange) -> None:
        exchange.write_head(200, Content_Type="text/event-stream", Transfer_Encoding="chunked")
        for chunk in chunks:
            exchange.write_chunk(chunk)
        if is_whole:
            exchange.writer.write(b"0\r\n\r\n")
        await exchange.writer.drain()

    return script


def hangs() -> Script:
    """Send no answer until the connection is lost."""

    async def script(exchange: Exchange) -> None:
        await exchange.reader.read()
        exchange.server.lost.set()

    return script
