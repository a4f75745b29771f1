"""Run a backend server whose streams come in forms that clients choose and end at any byte."""

import argparse
import asyncio
import json
import socket
import struct
from collections.abc import Callable, Iterator
from random import Random

from attrs import define

PIECES = 12
# How many runs end early, and how long a whole one takes.
BREAK_SHARE = 1 / 3
DURATION_S = (0.1, 1.0)
# Chunks and writes are cut at random places, if the client doesn't want them by event.
MEAN_CHUNK_BYTES = 60
SLICES = 12
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CHUNKED, UNFRAMED = "chunked", "unframed"
BYTE_BY_BYTE, BY_EVENT, ANYWHERE = "byte by byte", "by event", "cut anywhere"

# Published ids only increase; an event may stand for several tokens.
UNEVEN_IDS = (1, 5, 7, 9, 10, 11, 14, 16, 18, 25, 26, 27)

# Return the lines of a piece from its id, its text, and the text of an event that may follow it.
Lines = Callable[[int, str, str], list[str]]


def _plain(id_: int, text: str, _: str) -> list[str]:
    return [f"id: {id_}", f"data: {text}", ""]


FORMS: dict[str, Lines] = {
    "plain": _plain,
    "data first": lambda id_, text, _: [f"data: {text}", f"id: {id_}", ""],
    "no space": lambda id_, text, _: [f"id:{id_}", f"data:{text}", ""],
    "text id": lambda id_, text, _: [f"id: p-{id_}", f"data: {text}", ""],
    "uneven ids": lambda id_, text, _: [f"id: {UNEVEN_IDS[id_ - 1]}", f"data: {text}", ""],
    "lines": lambda id_, text, _: [
        "event: token",
        f"id: {id_}",
        *(f"data: {part}" for part in text.split()),
        "",
    ],
    "crlf": _plain,
    "cr": _plain,
    "comment": lambda id_, text, _: [*_plain(id_, text, ""), ": keep-alive", ""],
    "extra": lambda id_, text, extra: [*_plain(id_, text, ""), f"data: {extra}", ""],
    "empty id": lambda id_, text, extra: [*_plain(id_, text, ""), "id:", f"data: {extra}", ""],
    "no id": lambda _, text, __: [f"data: {text}", ""],
    "bytes after the end": _plain,
    "restarts": _plain,
    "repeats": _plain,
    "skips": _plain,
}
LINE_ENDS = {"crlf": "\r\n", "cr": "\r"}
# Forms with an event without an id of its own after each piece.
WITH_EXTRA_EVENTS = frozenset({"extra", "empty id"})
# Where servers that don't continue after the last id begin instead.
WRONG_STARTS: dict[str, Callable[[int], int]] = {
    "restarts": lambda last: 1,
    "repeats": lambda last: last,
    "skips": lambda last: last + 2,
}
TAILS = {"bytes after the end": b"id: 99\ndata: 99 x x\n\n"}


def items_per_piece(form: str) -> int:
    """Return how many events a piece consists of."""
    return 1 + (form in WITH_EXTRA_EVENTS)


def piece_of(form: str, event_id: str) -> int:
    """Return the number of the piece with an id; 0 without an id."""
    number = int(event_id.rpartition("-")[2] or 0)
    return 1 + UNEVEN_IDS.index(number) if form == "uneven ids" and number else number


def first_item(form: str, last_event_id: str) -> int:
    """Return the number of the event that follows an id, counting all events of a form."""
    piece = piece_of(form, last_event_id)
    if not piece:
        return 1
    return 2 * piece if form in WITH_EXTRA_EVENTS else piece + 1


def content(form: str, label: str, padding_bytes: int, last_event_id: str) -> list[bytes]:
    """Return the pieces of a stream that follow an id; each text is its number and a label."""
    piece, size = piece_of(form, last_event_id), items_per_piece(form)
    padding, pieces = "x" * max(1, padding_bytes), []
    # An event without an id of its own that follows the last id is sent again.
    if piece and form in WITH_EXTRA_EVENTS:
        pieces.append(FORMS[form](piece, "", f"{size * piece} {label} x")[3:])
    start = WRONG_STARTS[form](piece) if piece and form in WRONG_STARTS else piece + 1
    for id_ in range(start, PIECES + 1):
        item = size * (id_ - 1) + 1
        pieces.append(FORMS[form](id_, f"{item} {label} {padding}", f"{item + 1} {label} x"))
    line_end = LINE_ENDS.get(form, "\n")
    return ["".join(line + line_end for line in lines).encode() for lines in pieces]


def cut(data: bytes, mean_bytes: int, rng: Random) -> Iterator[bytes]:
    """Yield data cut at random places."""
    while data:
        length = rng.randint(1, 2 * mean_bytes)
        yield data[:length]
        data = data[length:]


@define(kw_only=True)
class StreamServer:
    """Answer requests that name this server with the stream that their body describes."""

    name: str
    service: str
    random: Random

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one request and close its connection."""
        try:
            await self._answer(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            # The daemon cancelled the request, as it should when its client disconnects.
            pass
        finally:
            writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")[1:]
        fields = (line.partition(":") for line in lines)
        headers = {name.lower(): value.strip() for name, _, value in fields}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        if headers.get("pomelobarrow-target-instance") != self.name:
            writer.write(b"HTTP/1.1 421 x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            return
        if "pomelobarrow-request-id" not in headers:
            writer.write(b"HTTP/1.1 400 x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            return
        plan, rng = json.loads(body), self.random
        is_chunked = plan["framing"] == CHUNKED
        last_event_id = headers.get("last-event-id", "")
        label = f"{plan['stream']}@{self.service}"
        pieces = content(plan["form"], label, plan["padding_bytes"], last_event_id)
        writes = _writes(pieces, plan["writes"], is_chunked, rng)
        if is_chunked:
            writes.append(TAILS.get(plan["form"], b""))
        is_broken = rng.random() < BREAK_SHARE
        if is_broken:
            del writes[rng.randrange(len(writes) + 1) :]
            if writes and plan["writes"] != BY_EVENT:
                writes[-1] = writes[-1][: rng.randrange(len(writes[-1]) + 1)]
        writer.write(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"Pomelobarrow-Request-Id: {headers['pomelobarrow-request-id']}\r\n"
            f"Pomelobarrow-Response-Seal: {self.name}\r\nConnection: close\r\n"
            f"{'Transfer-Encoding: chunked' if is_chunked else 'X-Framing: none'}\r\n\r\n".encode()
        )
        pause_s = rng.uniform(*DURATION_S) / (len(writes) + 1)
        for each in writes:
            await asyncio.sleep(pause_s)
            writer.write(each)
            await writer.drain()
        # An answer without chunks that a running server ends with FIN is a complete one.
        if is_broken and (not is_chunked or rng.random() < 1 / 2):
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()


def _writes(pieces: list[bytes], mode: str, is_chunked: bool, rng: Random) -> list[bytes]:
    """Return what a run writes at a time."""
    data = b"".join(pieces)
    if is_chunked:
        mean_bytes = MEAN_CHUNK_BYTES + len(data) // SLICES
        chunks = pieces if mode == BY_EVENT else list(cut(data, mean_bytes, rng))
        pieces = [b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks]
        data = b"".join(pieces)
    end = [b"0\r\n\r\n"] if is_chunked else []
    if mode == BY_EVENT:
        return pieces + end
    return list(cut(data, 1 if mode == BYTE_BY_BYTE else 1 + len(data) // SLICES, rng)) + end


async def _main(name: str, service: str, port: int, seed: str) -> None:
    server = StreamServer(name=name, service=service, random=Random(seed))
    listening = await asyncio.start_server(server.serve, "127.0.0.1", port, reuse_address=True)
    print(json.dumps({"port": listening.sockets[0].getsockname()[1]}), flush=True)
    await listening.serve_forever()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("name")
    parser.add_argument("service")
    parser.add_argument("port", type=int)
    parser.add_argument("seed")
    options = parser.parse_args()
    asyncio.run(_main(options.name, options.service, options.port, options.seed))
