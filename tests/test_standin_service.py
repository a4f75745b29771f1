"""Test that the simulated service answers any request and logs the runs."""

import asyncio
from collections.abc import Iterator
from typing import Any

import aiohttp
import pytest
from standin_harness import Standin, call, running_standins, wait_until


@pytest.fixture
def service() -> Iterator[Standin]:
    with running_standins() as start:
        yield start("service", "--name", "hooks")


async def runs(service: Standin) -> list[tuple[Any, ...]]:
    logged = (await call("GET", service.listening, "/admin/runs")).body["runs"]
    return [(run["request_id"], run["marker"], run["state"]) for run in logged]


@pytest.mark.parametrize("method", ["GET", "DELETE", "PATCH"])
async def test_any_method_is_answered_and_logged(service: Standin, method: str) -> None:
    answer = await call(method, service.listening, "/a?b=1", headers={"X-Marker": "m1"})
    expected = {"service": "hooks", "method": method, "path": "/a?b=1", "marker": "m1"}
    assert answer.body == expected
    assert await runs(service) == [("", "m1", "finished")]


async def test_body_is_echoed(service: Standin) -> None:
    assert (await call("POST", service.listening, "/", {"ping": 1})).body == {"ping": 1}


async def test_call_finishes_after_the_caller_disconnects(service: Standin) -> None:
    await call("POST", service.listening, "/admin/mode", {"latency_s": 0.2})
    calling = asyncio.create_task(call("GET", service.listening, "/", None, {"X-Request-Id": "r"}))
    await wait_until(lambda: runs(service), lambda seen: seen == [("r", "", "running")])
    calling.cancel()
    await wait_until(lambda: runs(service), lambda seen: seen == [("r", "", "finished")])


@pytest.mark.parametrize(("mode", "reason"), [("leaving", "leaving"), ("refuse", "refused")])
async def test_refused_call_is_not_run(service: Standin, mode: str, reason: str) -> None:
    await call("POST", service.listening, "/admin/mode", {mode: True})
    answer = await call("POST", service.listening, "/", {})
    assert (answer.status, answer.body) == (503, {"run": "no", "reason": reason})
    assert await runs(service) == []


async def test_call_that_contains_the_crash_text_ends_the_process(service: Standin) -> None:
    await call("POST", service.listening, "/admin/mode", {"crash_on": "fatal"})
    assert (await call("POST", service.listening, "/", {"a": "harmless"})).status == 200
    with pytest.raises(aiohttp.ClientError):
        await call("POST", service.listening, "/", {"a": "fatal"})
    with pytest.raises(aiohttp.ClientConnectorError):
        await call("GET", service.listening, "/v1/load")


async def test_limit_header_is_sent_until_the_limit_is_removed(service: Standin) -> None:
    named = []
    for limit_per_s in (2.5, None):
        await call("POST", service.listening, "/admin/mode", {"limit_per_s": limit_per_s})
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{service.listening}/v1/load") as response,
        ):
            named.append(response.headers.get("X-Server-Limit"))
    assert named == ["2.5", None]


async def test_announcements_are_sent_as_set(service: Standin) -> None:
    mode = {"says_leaving": True, "refuse": True, "backoff_s": 1.5}
    await call("POST", service.listening, "/admin/mode", mode)
    seen = []
    async with aiohttp.ClientSession() as session:
        for path in ("/v1/load", "/call"):
            async with session.get(f"http://{service.listening}{path}") as response:
                headers = response.headers
                seen.append((headers.get("X-Server-Leaving"), headers.get("Retry-After")))
    assert seen == [("1", None), ("1", "1.5")]


async def test_brittle_service_falls_over_after_too_many_rejections() -> None:
    with running_standins() as start:
        service = start("service", "--slots", "1", "--latency-s", "30")
        mode = {"max_waiting": 0, "brittle_per_s": 2}
        await call("POST", service.listening, "/admin/mode", mode)
        running = asyncio.create_task(call("GET", service.listening, "/", None, {}))
        await wait_until(lambda: runs(service), bool)
        rejected = [await call("GET", service.listening, "/") for _ in range(2)]
        with pytest.raises(aiohttp.ClientError):
            await call("GET", service.listening, "/")
        running.cancel()
    no_room = {"run": "no", "reason": "no_room"}
    assert [(each.status, each.body) for each in rejected] == [(503, no_room)] * 2


async def test_brittle_service_states_it_with_each_answer(service: Standin) -> None:
    stated = []
    for brittle_per_s in (5, None):
        await call("POST", service.listening, "/admin/mode", {"brittle_per_s": brittle_per_s})
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{service.listening}/call") as response,
        ):
            stated.append(response.headers.get("X-Server-Brittle"))
    assert stated == ["5", None]


async def test_silent_service_answers_what_came_meanwhile(service: Standin) -> None:
    await call("POST", service.listening, "/admin/mode", {"silent_s": 0.2})
    assert (await call("GET", service.listening, "/")).status == 200
