"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 421: "Misdirected Request"}


@dataclass
class Request:
    """A request as it arrived; `headers` has lower-case names."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    arrived: float


@dataclass
class Answer:
    """What a client got: the status is 0 if the connection ended without a complete answer."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    detail: str = ""


class Connection:
    """The server's end of one connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    async def send(self, status: int, headers: dict[str, str], body: bytes = b"") -> None:
        """Send a complete answer."""
        lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        self.writer.write("\r\n".join(lines).encode() + body)
        await self.writer.drain()

    def reset(self) -> None:
        """Close the connection without an answer."""
        self.writer.transport.abort()

    async def closed_by_peer(self) -> None:
        """Return once the other end has closed the connection."""
        with contextlib.suppress(ConnectionError):
            while await self.reader.read(1 << 16):
                pass


Handler = Callable[[Request, Connection], Awaitable[None]]


async def serve(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Listen on an address and pass each request to the handler."""

    async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(reader, writer)
        try:
            while (request := await read_request(reader)) is not None:
                await handler(request, connection)
                if request.headers.get("connection", "").lower() == "close":
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # Cancelled at the end of the run.
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, host, port, backlog=512)


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request; return None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    line, headers = _parse_head(head)
    method, target, _ = line.split(" ", 2)
    body = await _read_body(reader, headers)
    return Request(method, target, headers, body, time.monotonic())


def _parse_head(head: bytes) -> tuple[str, dict[str, str]]:
    first, *rest = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in rest if line)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def _read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return await _read_chunks(reader)
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readuntil(b"\r\n")
    return body


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Answer:
    """Send a request on a new connection and return the answer, or how it failed."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in ({"Host": host} | headers).items()]
            if body or method not in ("GET", "HEAD"):
                lines.append(f"Content-Length: {len(body)}")
            lines += ["Connection: close", "", ""]
            writer.write("\r\n".join(lines).encode() + body)
            line, answered = _parse_head(await reader.readuntil(b"\r\n\r\n"))
            status = int(line.split(" ")[1])
            return Answer(status, answered, await _read_body(reader, answered))
    except TimeoutError:
        return Answer(0, detail="no answer in time")
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        return Answer(0, detail=type(error).__name__)
    finally:
        if writer is not None:
            writer.close()
