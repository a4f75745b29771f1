"""Backend servers of the soak: they answer requests, count runs and stream events."""

import asyncio
import time
from collections import Counter, defaultdict
from random import Random

from aiohttp import web
from attrs import define, field

EVENTS = 6
REQUEST_ID = "Pomelobarrow-Request-Id"


def whole_body(request_id: str) -> bytes:
    """Return the complete answer to a request."""
    return f"answer to {request_id}".encode()


def events_after(request_id: str, last: int) -> list[bytes]:
    """Return the events of a request's stream that follow a given event number."""
    numbers = range(last + 1, EVENTS + 1)
    return [f"id: {number}\ndata: {request_id}/{number}\n\n".encode() for number in numbers]


@define(slots=False)
class Runs:
    """Run counts by request id and arrivals by server, over all servers."""

    counts: Counter[str] = field(factory=Counter)
    # Request ids and their arrival times by the monotonic clock, by server.
    arrivals: defaultdict[str, list[tuple[str, float]]] = field(factory=lambda: defaultdict(list))


@define(slots=False)
class SoakServer:
    """Handler of one listed server that fails at random."""

    name: str
    region: str
    runs: Runs
    random: Random
    # Listed address; daemons reach it through the proxy.
    address: str = ""

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Run a request, unless it is meant for another server or refused."""
        request_id = request.headers.get(REQUEST_ID, "")
        if request.headers.get("Pomelobarrow-Target-Instance") != self.name:
            return web.Response(status=421)
        await request.read()
        self.runs.arrivals[self.name].append((request_id, time.monotonic()))
        if self.random.random() < 0.03:
            return web.Response(status=503, headers={"Pomelobarrow-Not-Executed": "1"})
        self.runs.counts[request_id] += 1
        headers = {REQUEST_ID: request_id, "Pomelobarrow-Response-Seal": self.name}
        if request.path.startswith("/stream") or request.path.startswith("/resumable"):
            try:
                return await self._stream(request, request_id, headers)
            except ConnectionError:
                # The daemon cancelled the request, as it should when its client disconnects.
                return web.Response(status=500)
        await asyncio.sleep(self.random.uniform(0.005, 0.06))
        if self.random.random() < 0.03:
            return web.Response(status=500, headers=headers)
        return web.Response(body=whole_body(request_id), headers=headers)

    async def _stream(
        self, request: web.BaseRequest, request_id: str, headers: dict[str, str]
    ) -> web.StreamResponse:
        last = int(request.headers.get("Last-Event-Id", "0"))
        response = web.StreamResponse(headers=headers | {"Content-Type": "text/event-stream"})
        await response.prepare(request)
        breaks_at = self.random.randint(1, EVENTS) if self.random.random() < 0.05 else None
        for number, event in enumerate(events_after(request_id, last), last + 1):
            await asyncio.sleep(self.random.uniform(0.005, 0.04))
            if number == breaks_at:
                await response.write(event[:7])
                if request.transport is not None:
                    request.transport.abort()
                return response
            await response.write(event)
        return response
