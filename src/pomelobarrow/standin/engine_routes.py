"""Provide the HTTP handlers of the simulated engine."""

import time

from aiohttp import web

from pomelobarrow.standin import answer
from pomelobarrow.standin.engine_state import Engine
from pomelobarrow.standin.jobs import Job, wait_until_ended, wait_until_started
from pomelobarrow.standin.load_report import LaggingReport
from pomelobarrow.standin.room import NO_ROOM
from pomelobarrow.standin.run_log import RunState, runs_payload
from pomelobarrow.standin.runtime import (
    crash_if_body_contains,
    json_response,
    read_json,
    refused_unrun,
)

CANCELLED = {"error": {"type": "cancelled", "message": "the request was cancelled while it ran"}}


async def send_events(response: web.StreamResponse, job: Job, start: int) -> int:
    """Send the available events from an index on; return the index of the next event."""
    end = job.sequence.output_tokens
    if end <= start:
        return start
    await response.write(b"".join(job.event(index) for index in range(start, end)))
    return end


async def stream_answer(request: web.Request, job: Job, offset: int = 0) -> web.StreamResponse:
    """Stream a job's events from an offset on; the status line is sent once the job starts."""
    with job.reading() as reader:
        await wait_until_started(job, reader)
        if job.sequence.state is RunState.NOT_RUN:
            return refused_unrun("cancelled")
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        sent = offset
        while not job.sequence.ended:
            sent = await send_events(response, job, sent)
            await reader.wait()
            reader.clear()
        await send_events(response, job, sent)
        is_whole = job.sequence.state is RunState.FINISHED
        await response.write(answer.DONE_EVENT if is_whole else answer.event(CANCELLED))
        await response.write_eof()
        return response


async def send_completion(request: web.Request, job: Job) -> web.StreamResponse:
    """Send a job's answer without streaming."""
    with job.reading() as reader:
        await wait_until_ended(job, reader)
    if job.sequence.state is RunState.NOT_RUN:
        return refused_unrun("cancelled")
    if job.sequence.state is RunState.CANCELLED:
        return json_response(CANCELLED, status=500)
    return json_response(job.completion())


def routes(engine: Engine, report: LaggingReport) -> list[web.RouteDef]:
    """Return the routes of the engine."""

    async def complete(request: web.Request) -> web.StreamResponse:
        body = await read_json(request)
        if reason := engine.refusal_reason(request.headers.get("X-Request-Id", "")):
            return refused_unrun(reason)
        if engine.has_no_room():
            return refused_unrun(NO_ROOM)
        await crash_if_body_contains(request, engine.crash_on)
        job = engine.accept(request.headers, body)
        send = stream_answer if body.get("stream") else send_completion
        try:
            return await send(request, job)
        finally:
            engine.release(job)

    async def resume(request: web.Request) -> web.StreamResponse:
        job = engine.find_job(request.match_info["id"])
        if job is None:
            raise web.HTTPNotFound(
                text="the request is not stored; send it again if it may be repeated"
            )
        try:
            return await stream_answer(request, job, int(request.query.get("offset", "0")))
        finally:
            engine.release(job)

    async def cancel(request: web.Request) -> web.Response:
        outcome = engine.cancel(request.match_info["id"])
        return json_response({"outcome": outcome, "uptime_s": engine.uptime_s()})

    async def load(request: web.Request) -> web.Response:
        return json_response(report.published())

    async def cache_events(request: web.Request) -> web.Response:
        after = int(request.query.get("after", "0"))
        return json_response(engine.cache.events_after(after, time.time()))

    async def accept_order(request: web.Request) -> web.Response:
        is_accepted = engine.orders.record(await read_json(request))
        payload = {"accepted": is_accepted, "fencing": engine.orders.fencing}
        return json_response(payload, status=200 if is_accepted else 409)

    async def list_orders(request: web.Request) -> web.Response:
        return json_response({"orders": engine.orders.log})

    async def runs(request: web.Request) -> web.Response:
        return json_response(runs_payload(engine.runs))

    async def set_mode(request: web.Request) -> web.Response:
        body = await read_json(request)
        engine.leaving = body.get("leaving", engine.leaving)
        engine.refuse = body.get("refuse", engine.refuse)
        engine.crash_on = body.get("crash_on", engine.crash_on)
        engine.announcements.update(body)
        engine.room.update(body)
        engine.step_s = body.get("step_s", engine.step_s)
        engine.set_frozen(body.get("frozen", not engine.gate.opened.is_set()))
        if "silent_s" in body:
            engine.fall_silent(body["silent_s"])
        return json_response({"leaving": engine.leaving, "refuse": engine.refuse})

    return [
        web.post("/v1/chat/completions", complete),
        web.get("/v1/requests/{id}/events", resume),
        web.delete("/v1/requests/{id}", cancel),
        web.get("/v1/load", load),
        web.get("/v1/cache/events", cache_events),
        web.post("/v1/orders", accept_order),
        web.get("/admin/orders", list_orders),
        web.get("/admin/runs", runs),
        web.post("/admin/mode", set_mode),
    ]
