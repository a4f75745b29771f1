"""A worker of a plain service."""

import asyncio
import random
import re
import time
from dataclasses import dataclass, field
from typing import Any

from record import Record
from wire import Connection, Request


@dataclass
class Run:
    """One run of a request at a worker."""

    request_id: str
    body: str
    worker: str
    started: float
    ended: str = "runs"


@dataclass
class Worker:
    """A worker of a plain service: `slots` requests at a time, a short queue, then 503."""

    id: str
    service: str
    zone: str
    address: str
    record: Record
    slots: int = 6
    queue: int = 24
    work_s: float = 0.09
    # How many times as long work takes now.
    slowdown: float = 1.0
    # Loses the answer of each request for which this returns true: it resets the connection.
    loses: Any = None
    # Returns whether to spoil an answer, by its number.
    spoils: Any = None
    runs: list[Run] = field(default_factory=list)
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    listener: Any = None
    is_draining: bool = False
    has_exited: bool = False
    _connections: set[Connection] = field(default_factory=set)
    _waiting: int = 0
    _running: int = 0
    _answered: int = 0
    _free: asyncio.Condition = field(default_factory=asyncio.Condition)

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return the worker's entry in the store."""
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": state,
            "ColdLeftMs": 0,
            "Sequence": 1,
        }

    @property
    def key(self) -> str:
        """Return the key of the entry."""
        return f"servers/{self.id}"

    async def handle(self, request: Request, connection: Connection) -> None:
        """Answer one request."""
        self._connections.add(connection)
        try:
            await self._answer_request(request, connection)
        finally:
            self._connections.discard(connection)

    def exit(self) -> None:
        """End as a process does: accept nothing more and lose what is running."""
        self.has_exited = True
        self.listener.close()
        for connection in self._connections:
            connection.reset()

    async def _answer_request(self, request: Request, connection: Connection) -> None:
        request_id = request.headers.get("pomelobarrow-request-id", "")
        if request.target == "/health" and request.method == "GET":
            status = 503 if self.is_draining else 200
            await connection.send(status, {"Pomelobarrow-Instance-Id": self.id})
        elif request.headers.get("pomelobarrow-target-instance", self.id) != self.id:
            await connection.send(421, {"Pomelobarrow-Instance-Id": self.id})
        elif not request_id:
            await connection.send(400, {"Pomelobarrow-Not-Executed": "1"})
        else:
            await self._take(request, request_id, connection)

    async def _take(self, request: Request, request_id: str, connection: Connection) -> None:
        self.arrivals.append((time.monotonic(), request_id))
        self.record.note(f"request {request_id} reaches worker {self.id}")
        if self._waiting >= self.queue:
            await self._reject(request_id, connection)
            return
        gone = asyncio.create_task(connection.closed_by_peer())
        work = asyncio.create_task(self._work(request, request_id))
        await asyncio.wait({gone, work}, return_when=asyncio.FIRST_COMPLETED)
        gone.cancel()
        if work.done():
            await self._answer(request_id, work.result(), connection)
            return
        work.cancel()
        await asyncio.gather(work, return_exceptions=True)

    async def _reject(self, request_id: str, connection: Connection) -> None:
        self.record.note(f"worker {self.id} is full and rejects {request_id}")
        headers = {"Pomelobarrow-Not-Executed": "1", "Pomelobarrow-Request-Id": request_id}
        await connection.send(503, headers)

    async def _work(self, request: Request, request_id: str) -> Run:
        self._waiting += 1
        try:
            async with self._free:
                await self._free.wait_for(lambda: self._running < self.slots)
                self._running += 1
        finally:
            self._waiting -= 1
        run = Run(request_id, request.body.decode(), self.id, time.monotonic())
        self.runs.append(run)
        self.record.note(f"worker {self.id} runs {request_id} ({run.body})")
        try:
            await asyncio.sleep(self.work_s * self.slowdown)
            run.ended = "done"
            return run
        except asyncio.CancelledError:
            why = "the worker exited" if self.has_exited else "its connection was closed"
            run.ended = f"dropped, {why}"
            self.record.note(f"worker {self.id} drops {request_id}: {why}")
            raise
        finally:
            async with self._free:
                self._running -= 1
                self._free.notify()

    async def _answer(self, request_id: str, run: Run, connection: Connection) -> None:
        if self.loses is not None and self.loses(run):
            run.ended = "done, answer lost"
            took_ms = (time.monotonic() - run.started) * 1000
            self.record.note(
                f"worker {self.id} has run {request_id} for {took_ms:.0f} ms and loses its answer"
            )
            connection.reset()
            return
        self._answered += 1
        headers = {
            "Pomelobarrow-Request-Id": request_id,
            "Pomelobarrow-Response-Seal": f"seal-{request_id}",
            "Pomelobarrow-Server-Load": f"{self._running},{self._waiting},{self.slots}",
        }
        if self.spoils is not None and self.spoils(self._answered):
            headers = {name: spoiled(value) for name, value in headers.items()}
            self.record.note(f"worker {self.id} spoils its answer to {request_id}: {headers}")
        else:
            self.record.note(f"worker {self.id} answers {request_id}")
        if self.is_draining:
            headers["Connection"] = "close"
        await connection.send(200, headers, f"done {run.body}".encode())


def spoiled(text: str) -> str:
    """Return a text with each number replaced by another one of 64 bits."""
    return re.sub("[0-9]+", lambda _: str(random.getrandbits(64)), text)
