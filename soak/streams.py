"""Play streams in many forms: `python -m soak.streams --form comment --seeds 5 --seconds 20`."""

import argparse
import asyncio
import itertools
import json
import random
import socket
import sys
import time
from collections.abc import Iterable
from random import Random

from attrs import define, field

from soak.event_client import EventParser, read_body, read_head
from soak.faults import Faults
from soak.fleet import (
    HOST,
    REGIONS,
    ROOT_HOST,
    STREAMED,
    STREAMED_TOO,
    TIMEOUT_MS,
    Daemon,
    SoakFleet,
)
from soak.servers import REQUEST_ID
from soak.stream_records import Answer, Stream
from soak.stream_server import (
    ANYWHERE,
    BY_EVENT,
    BYTE_BY_BYTE,
    CHUNKED,
    FORMS,
    UNFRAMED,
    WRONG_STARTS,
)

DAEMONS_PER_REGION = 3
SERVERS_PER_REGION = 3
LARGE_PIECE_BYTES = 80_000
# How often streams, their clients and the connections of these have each property.
UNFRAMED_SHARE, LARGE_SHARE, BY_EVENT_SHARE, BYTE_BY_BYTE_SHARE = 0.2, 0.25, 0.3, 0.2
LEAVE_SHARE, SLOW_SHARE, HALF_CLOSED_SHARE, REUSE_SHARE, BOTH_SHARE = 0.25, 0.25, 0.05, 0.5, 0.2
MAX_ATTEMPTS = 5
PAUSE_S = (0.05, 0.2)
READ_BYTES, SLOW_READ_BYTES, SLOW_PAUSE_S = 1 << 16, 4_096, 0.005
SLOW_RECEIVE_BUFFER_BYTES = 8_192
CONNECT_TIMEOUT_S, ATTEMPT_TIMEOUT_S = 1.0, 8.0
REPLACE_EVERY_S = (0.5, 2.0)
# An entry lapses after three heartbeats, and at times only after the address has a new server.
UNLISTED_AFTER_S = 1.0
# Bounds without disrupted daemons: on streams that begin, and on those taken up that go on.
MIN_BEGUN_SHARE = 0.8
MIN_RESUMED_SHARE = 0.5
MIN_SAMPLE = 20
ATTEMPT_ERRORS = (asyncio.IncompleteReadError, OSError, TimeoutError)

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@define(kw_only=True, slots=False)
class StreamingServers:
    """Server processes that are killed and replaced, and clients of their streams."""

    fleet: SoakFleet
    random: Random
    forms: tuple[str, ...] = tuple(FORMS)
    unframed_share: float = UNFRAMED_SHARE
    streams: list[Stream] = field(factory=list)
    # The region, the service and the port of each server that runs.
    _running: dict[str, tuple[str, str, int]] = field(factory=dict)
    # When each server that was killed got the signal.
    _killed_s: dict[str, float] = field(factory=dict)
    _idle: dict[str, list[Connection]] = field(factory=dict)
    _serial: "itertools.count[int]" = field(factory=itertools.count)

    async def start(self) -> None:
        """Start and list all servers."""
        services = (STREAMED, STREAMED_TOO) if self.fleet.is_stream_route_split else (STREAMED,)
        places = itertools.product(REGIONS * SERVERS_PER_REGION, services)
        await asyncio.gather(*(self._start_one(region, service, 0) for region, service in places))

    async def send_until(self, until_s: float) -> None:
        """Send streams at random daemons while servers are killed and replaced."""
        replacing = asyncio.create_task(self._replace_until(until_s))
        receiving: set[asyncio.Task[None]] = set()
        while time.monotonic() < until_s:
            receiving.add(asyncio.create_task(self._receive()))
            await asyncio.sleep(self.random.uniform(*PAUSE_S))
        await asyncio.gather(replacing, *receiving)
        for _, writer in itertools.chain.from_iterable(self._idle.values()):
            writer.close()

    def find_violations(self) -> list[str]:
        """Return a line for each answer that isn't a part of its stream, with the stream's form."""
        return [
            f"{stream.label}: {fault}, {answer.request_id} after {answer.after!r}: {answer.items}"
            for stream in self.streams
            for answer in stream.answers
            if (fault := stream.fault(answer) or self._cut_short(stream, answer))
        ]

    def find_unserved(self) -> list[str]:
        """Return a line for each form of which too few streams began or went on."""
        found = []
        for form in self.forms:
            streams = [stream for stream in self.streams if stream.form == form]
            begun = [bool(stream.last_item) for stream in streams]
            resumed = [bool(a.items) for stream in streams for a in stream.answers if a.after]
            found += _below(form, "streams began", begun, MIN_BEGUN_SHARE)
            if form not in WRONG_STARTS:
                found += _below(form, "resumed streams went on", resumed, MIN_RESUMED_SHARE)
        return found

    def ended_with_process(self) -> list[Answer]:
        """Return unframed answers that look complete since their server's process was killed.

        The kernel closes the connections of a killed process as if it had ended its answers.
        """
        return [
            answer
            for stream in self.streams
            for answer in stream.answers
            if stream.is_cut_short(answer) and self._is_killed_unframed(stream, answer)
        ]

    def _cut_short(self, stream: Stream, answer: Answer) -> str:
        is_fault = stream.is_cut_short(answer) and not self._is_killed_unframed(stream, answer)
        return "looks complete too early" if is_fault else ""

    def _is_killed_unframed(self, stream: Stream, answer: Answer) -> bool:
        # The server of the last run is unknown if that brought no event.
        kills_s = self._killed_s.values()
        is_killed = any(answer.sent_s <= killed_s <= answer.ended_s for killed_s in kills_s)
        return stream.framing == UNFRAMED and is_killed

    async def _receive(self) -> None:
        """Receive a stream, and take it up again at any daemon until it is complete."""
        stream = self._draw()
        self.streams.append(stream)
        for number in range(MAX_ATTEMPTS):
            count = 2 if number and self.random.random() < BOTH_SHARE else 1
            daemons = self.random.sample(self.fleet.daemons, count)
            answers = [
                Answer(request_id=f"{stream.id}-{number}-{daemon.vm}", after=stream.last_event_id)
                for daemon in daemons
            ]
            stream.answers += answers
            pairs = zip(daemons, answers, strict=True)
            await asyncio.gather(*(self._attempt(stream, *pair) for pair in pairs))
            best = max(answers, key=lambda answer: answer.items[-1:])
            if best.items:
                stream.last_item, stream.last_event_id = best.items[-1], best.last_event_id
                stream.first_attempt = stream.first_attempt or best.request_id
                stream.service = stream.service or min(best.services)
            if best.is_whole or stream.fault(best) or not stream.may_go_on():
                return

    def _draw(self) -> Stream:
        is_large = self.random.random() < LARGE_SHARE
        draw = self.random.random()
        writes = BY_EVENT if draw < BY_EVENT_SHARE else ANYWHERE
        if not is_large and BY_EVENT_SHARE <= draw < BY_EVENT_SHARE + BYTE_BY_BYTE_SHARE:
            writes = BYTE_BY_BYTE
        return Stream(
            id=f"s{next(self._serial)}",
            form=self.random.choice(self.forms),
            framing=UNFRAMED if self.random.random() < self.unframed_share else CHUNKED,
            padding_bytes=LARGE_PIECE_BYTES if is_large else 0,
            writes=writes,
        )

    async def _attempt(self, stream: Stream, daemon: Daemon, answer: Answer) -> None:
        rng = self.random
        is_slow, is_half_closed = rng.random() < SLOW_SHARE, rng.random() < HALF_CLOSED_SHARE
        is_reused = rng.random() < REUSE_SHARE and not is_half_closed
        leaves_after = rng.randint(1, stream.items) if rng.random() < LEAVE_SHARE else stream.items
        connection, answer.sent_s = None, time.monotonic()
        try:
            async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
                connection = await self._connect(daemon, is_slow)
                reader, writer = connection
                writer.write(_request(stream, answer, not is_reused))
                if is_half_closed:
                    writer.write_eof()
                await _read_answer(reader, stream, answer, is_slow, leaves_after)
                if answer.is_whole and is_reused:
                    self._idle.setdefault(daemon.vm, []).append(connection)
                    connection = None
                elif answer.is_whole and (rest := await reader.read()):
                    answer.stray = f"goes on after its end with {rest[:80]!r}"
        except ATTEMPT_ERRORS:
            pass
        except ValueError as error:
            answer.stray = f"is garbled: {error}"
        finally:
            answer.ended_s = time.monotonic()
            if connection is not None:
                connection[1].close()

    async def _connect(self, daemon: Daemon, is_slow: bool) -> Connection:
        if (idle := self._idle.get(daemon.vm)) and not is_slow:
            return idle.pop()
        sock = socket.socket()
        if is_slow:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_RECEIVE_BUFFER_BYTES)
        sock.setblocking(False)
        host, port = self.fleet.front(daemon).split(":")
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        return await asyncio.open_connection(sock=sock, limit=SLOW_READ_BYTES)

    async def _replace_until(self, until_s: float) -> None:
        replacing: set[asyncio.Task[None]] = set()
        while time.monotonic() < until_s:
            await asyncio.sleep(self.random.uniform(*REPLACE_EVERY_S))
            if self._running:
                name = self.random.choice(sorted(self._running))
                replacing.add(asyncio.create_task(self._replace(name, self._running.pop(name))))
        await asyncio.gather(*replacing)

    async def _replace(self, name: str, place: tuple[str, str, int]) -> None:
        """Kill a server; start another one at its address before or after its entry lapses."""
        self._killed_s[name] = time.monotonic()
        self.fleet.processes.kill(name)
        unlisting = asyncio.create_task(self._unlist(name))
        if self.random.random() < 1 / 2:
            await unlisting
        await self._start_one(*place)
        await unlisting

    async def _unlist(self, name: str) -> None:
        await asyncio.sleep(UNLISTED_AFTER_S)
        self.fleet.store.put(f"servers/{name}", None)

    async def _start_one(self, region: str, service: str, port: int) -> None:
        name, seed = f"streaming-{region}-{next(self._serial)}", str(self.random.random())
        self.fleet.processes.start(name, ("soak.stream_server", name, service, str(port), seed))
        announced = await asyncio.to_thread(self.fleet.processes.announcement, name)
        self._running[name] = (region, service, announced["port"])
        self.fleet.list_address(name, region, f"{ROOT_HOST}:{announced['port']}", service)


def _below(form: str, name: str, outcomes: list[bool], min_share: float) -> list[str]:
    """Return a line if too few of the outcomes are true, none for few outcomes."""
    if len(outcomes) < MIN_SAMPLE or sum(outcomes) >= min_share * len(outcomes):
        return []
    return [f"{form}: only {sum(outcomes)} of {len(outcomes)} {name}"]


async def _read_answer(
    reader: asyncio.StreamReader, stream: Stream, answer: Answer, is_slow: bool, leaves_after: int
) -> None:
    """Record the events of an answer until it ends or the client has as many as it wants."""
    parser = EventParser(last_event_id=answer.after, id=answer.after)
    head = await read_head(reader)
    answer.status = head.status
    async for data in read_body(reader, head, SLOW_READ_BYTES if is_slow else READ_BYTES):
        for event in parser.feed(data) if head.status == 200 else ():
            item, label, _ = event.data.split()
            stream_id, _, service = label.partition("@")
            if stream_id != stream.id:
                raise ValueError(f"an event belongs to {stream_id}")
            answer.items.append(int(item))
            answer.services.add(service)
            answer.last_event_id = event.last_event_id
        if leaves_after < stream.items and answer.items[-1:] >= [leaves_after]:
            return
        if is_slow:
            await asyncio.sleep(SLOW_PAUSE_S)
    answer.is_whole = True


def _request(stream: Stream, answer: Answer, closes: bool) -> bytes:
    plan = {
        "stream": stream.id,
        "form": stream.form,
        "framing": stream.framing,
        "padding_bytes": stream.padding_bytes,
        "writes": stream.writes,
    }
    body = json.dumps(plan)
    headers = {
        "Host": HOST,
        REQUEST_ID: answer.request_id,
        "Pomelobarrow-Request-Deadline": str(TIMEOUT_MS),
        "Content-Length": str(len(body)),
        "Connection": "close" if closes else "keep-alive",
    }
    if answer.after:
        headers |= {"Last-Event-Id": answer.after, "Resumes": stream.first_attempt}
    fields = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"POST /{STREAMED}/x HTTP/1.1\r\n{fields}\r\n{body}".encode()


async def play(
    seed: int,
    duration_s: float,
    forms: Iterable[str] = FORMS,
    is_disrupted: bool = False,
    unframed_share: float = UNFRAMED_SHARE,
    is_split: bool = False,
) -> tuple[StreamingServers, list[str]]:
    """Play streams of some forms; return them and a line for each violated guarantee."""
    rng = Random(seed)
    fleet = SoakFleet(
        random=Random(rng.random()),
        daemons_per_region=DAEMONS_PER_REGION,
        servers_per_region=0,
        is_stream_route_split=is_split,
    )
    async with fleet:
        await asyncio.gather(*(fleet.wait_ready(daemon) for daemon in fleet.daemons))
        faults = Faults(fleet=fleet, random=Random(rng.random()))
        servers = StreamingServers(
            fleet=fleet,
            random=Random(rng.random()),
            forms=tuple(forms),
            unframed_share=unframed_share,
        )
        await servers.start()
        sending = asyncio.create_task(servers.send_until(time.monotonic() + duration_s))
        if is_disrupted:
            await faults.disrupt_daemons(duration_s)
        await sending
        found = servers.find_violations() + fleet.ended_daemons()
        return servers, found + (servers.find_unserved() if not is_disrupted else [])


def main() -> int:
    """Play the requested seeds and print the result of each."""
    parser = argparse.ArgumentParser(prog="soak.streams")
    parser.add_argument("--form", action="append", choices=FORMS, help="a form; all without")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds")
    parser.add_argument("--first", type=int, default=None, help="first seed; fresh ones without")
    parser.add_argument("--seconds", type=float, default=20.0, help="how long streams are sent")
    parser.add_argument("--split", action="store_true", help="split the route over two services")
    parser.add_argument("--disrupt", action="store_true", help="kill, pause and stop daemons")
    options = parser.parse_args()
    first = random.SystemRandom().randrange(10**6) if options.first is None else options.first
    failed = 0
    for seed in range(first, first + options.seeds):
        forms = options.form or FORMS
        servers, found = asyncio.run(
            play(seed, options.seconds, forms, options.disrupt, is_split=options.split)
        )
        failed += bool(found)
        print(
            f"seed {seed}: {len(servers.streams)} streams, {len(found)} violations, "
            f"{len(servers.ended_with_process())} ended with their process; "
            f"logs are in {servers.fleet.processes.folder}",
            flush=True,
        )
        for line in found:
            print(f"  {line}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
