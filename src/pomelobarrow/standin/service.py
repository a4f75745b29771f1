"""Simulate a plain service that answers any method and path and logs each run."""

import asyncio
import time
from collections import deque
from typing import Any

from aiohttp import web
from attrs import define, field, frozen

from pomelobarrow.standin.load_report import LaggingReport
from pomelobarrow.standin.room import NO_ROOM, Room
from pomelobarrow.standin.run_log import MAX_LOGGED_RUNS, Run, RunState, header_int, runs_payload
from pomelobarrow.standin.runtime import (
    MAX_BODY_BYTES,
    Announcements,
    RequestGate,
    crash_if_body_contains,
    gate_middleware,
    json_response,
    read_json,
    refused_unrun,
    serve_app,
)


@frozen(kw_only=True)
class ServiceOptions:
    """Command-line options of the simulated service."""

    listen: str = field(metadata={"help": "Address to listen on, host:port"})
    name: str = field(default="service", metadata={"help": "Name in load reports"})
    latency_s: float = field(default=0.0, metadata={"help": "Seconds each call takes"})
    slots: int = field(default=64, metadata={"help": "Calls run at the same time"})
    report_lag_s: float = field(default=0.2, metadata={"help": "Age of load reports"})


@define
class Service:
    """Simulated plain service: run log, load and fault settings."""

    name: str
    latency_s: float
    slots: asyncio.Semaphore
    runs: deque[Run] = field(factory=lambda: deque(maxlen=MAX_LOGGED_RUNS))
    gate: RequestGate = field(factory=RequestGate)
    running: int = 0
    waiting: int = 0
    leaving: bool = False
    refuse: bool = False
    # A call whose body contains this text ends the process, as a crash would.
    crash_on: str = ""
    announcements: Announcements = field(factory=Announcements)
    room: Room = field(kw_only=True)

    def measure(self) -> dict[str, Any]:
        """Return a load report for the current moment."""
        return {
            "server": self.name,
            "measured_unix_s": time.time(),
            "running": self.running,
            "waiting": self.waiting,
            "kv_tokens_used": 0,
            "queued_prefill_tokens": 0,
            "leaving": self.leaving,
            "fencing": 0,
        }

    def refusal_reason(self) -> str | None:
        """Return why a new call is refused, or None if it is accepted."""
        reasons = {"leaving": self.leaving, "refused": self.refuse}
        return next((reason for reason, applies in reasons.items() if applies), None)

    async def run(self, run: Run) -> None:
        """Run one call to its end, even if the caller disconnects."""
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            self.running += 1
            run.start(time.time())
            self.runs.append(run)
            await asyncio.sleep(self.latency_s)
            run.end(RunState.FINISHED, time.time())
            self.running -= 1


def new_run(request: web.Request) -> Run:
    """Build the log entry of a call."""
    headers = request.headers
    return Run(
        request_id=headers.get("X-Request-Id", ""),
        attempt=header_int(headers, "X-Attempt"),
        marker=headers.get("X-Marker", ""),
        class_name=headers.get("Pomelobarrow-Class", ""),
        priority=header_int(headers, "X-Priority"),
    )


def routes(service: Service, report: LaggingReport) -> list[web.RouteDef]:
    """Return the routes of the service."""

    async def call(request: web.Request) -> web.Response:
        body = await request.read()
        if reason := service.refusal_reason():
            return refused_unrun(reason)
        if service.room.rejects(service.running + service.waiting):
            return refused_unrun(NO_ROOM)
        await crash_if_body_contains(request, service.crash_on)
        run = new_run(request)
        await service.run(run)
        if body:
            return web.Response(body=body, content_type=request.content_type)
        return json_response(
            {
                "service": service.name,
                "method": request.method,
                "path": request.path_qs,
                "marker": run.marker,
            }
        )

    async def load(request: web.Request) -> web.Response:
        return json_response(report.published())

    async def runs(request: web.Request) -> web.Response:
        return json_response(runs_payload(service.runs))

    async def set_mode(request: web.Request) -> web.Response:
        body = await read_json(request)
        service.leaving = body.get("leaving", service.leaving)
        service.refuse = body.get("refuse", service.refuse)
        service.crash_on = body.get("crash_on", service.crash_on)
        service.announcements.update(body)
        service.room.update(body)
        service.latency_s = body.get("latency_s", service.latency_s)
        service.gate.set_frozen(body.get("frozen", not service.gate.opened.is_set()))
        if "silent_s" in body:
            service.gate.fall_silent(body["silent_s"])
        return json_response({"leaving": service.leaving, "refuse": service.refuse})

    return [
        web.get("/v1/load", load),
        web.get("/admin/runs", runs),
        web.post("/admin/mode", set_mode),
        web.route("*", "/{path:.*}", call),
    ]


async def main(options: ServiceOptions) -> None:
    """Serve the plain service until the process is stopped."""
    service = Service(
        options.name,
        options.latency_s,
        asyncio.Semaphore(options.slots),
        room=Room(slots=options.slots),
    )
    report = LaggingReport(service.measure, options.report_lag_s)
    app = web.Application(
        middlewares=[gate_middleware(service.gate)], client_max_size=MAX_BODY_BYTES
    )
    app.on_response_prepare.append(service.announcements.add_headers)
    app.on_response_prepare.append(service.room.add_header)
    app.add_routes(routes(service, report))
    async with asyncio.TaskGroup() as tasks:
        measuring = tasks.create_task(report.keep_measuring())
        await serve_app(app, options.listen)
        measuring.cancel()
