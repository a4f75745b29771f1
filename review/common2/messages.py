"""HTTP/1.1 messages of clients, workers and the store."""

import asyncio
import random

HOST = "desk.example"


async def read_head(reader):
    """Return the first line and the headers (lower case) of a message; None at the end."""
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader):
    """Yield the chunks of a chunked body; IncompleteReadError if it is cut."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_body(reader, headers):
    """Return the whole body of a request."""
    if "chunked" in headers.get("transfer-encoding", ""):
        return b"".join([chunk async for chunk in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", "0")))


def response(status, headers=(), body=b""):
    """Return the bytes of a complete answer."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def new_id():
    return f"{random.getrandbits(64):016x}"


def request_head(method, path, id_, deadline_ms, body_bytes=None, more=()):
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Pomelobarrow-Request-Id: {id_}",
        f"Pomelobarrow-Request-Deadline: {deadline_ms}",
        *more,
    ]
    if body_bytes is not None:
        lines.append(f"Content-Length: {body_bytes}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def read_answer(reader):
    """Return the status, headers and body of an answer; the body is None if it was cut."""
    first, headers = await read_head(reader)
    status = int(first.split(" ")[1])
    body = b""
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            async for chunk in read_chunks(reader):
                body += chunk
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return status, headers, None
    return status, headers, body
