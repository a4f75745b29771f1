"""Test streaming, resuming, cancelling and run reports of the simulated engine."""

import asyncio
import json
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
import pytest
from standin_harness import Standin, call, running_standins, wait_until

from pomelobarrow.decision.streams.server_sent_events import EventSplitter, event_data
from pomelobarrow.standin.answer import expected_answer

CHAT = "/v1/chat/completions"
DONE = "[DONE]"
ENDLESS_TOKENS = 1_000_000


@pytest.fixture
def engine() -> Iterator[Standin]:
    with running_standins() as start:
        yield start("engine", "--slots", "1", "--step-s", "0.001", "--event-lag-s", "0")


def chat(marker: str, max_tokens: int = 5, stream: bool = True) -> dict[str, Any]:
    messages = [{"role": "user", "content": f"grade of {marker}? " * 100}]
    metadata = {"marker": marker}
    body = {"messages": messages, "max_tokens": max_tokens, "metadata": metadata}
    return {"model": "m", "stream": stream, **body}


def headers(request_id: str, **more: str) -> dict[str, str]:
    return {"X-Request-Id": request_id, **more}


@asynccontextmanager
async def open_stream(
    engine: Standin, body: dict[str, Any], sent: dict[str, str]
) -> AsyncIterator[aiohttp.ClientResponse]:
    """Open a stream and drop its connection on exit."""
    async with aiohttp.ClientSession() as session:
        url = f"http://{engine.listening}{CHAT}"
        async with session.post(url, json=body, headers=sent) as response:
            yield response
            response.close()


async def events(response: aiohttp.ClientResponse) -> list[str]:
    return parse_events(await response.text())


def parse_events(text: str) -> list[str]:
    contents = map(event_data, EventSplitter().feed(text.encode()))
    return [content.decode() for content in contents if content is not None]


def text_of(data: list[str]) -> str:
    chunks = [json.loads(event) for event in data if event != DONE]
    return "".join(chunk["choices"][0]["delta"]["content"] for chunk in chunks)


async def runs(engine: Standin) -> list[dict[str, Any]]:
    return (await call("GET", engine.listening, "/admin/runs")).body["runs"]


async def states(engine: Standin) -> list[str]:
    return [run["state"] for run in await runs(engine)]


async def cancel(engine: Standin, request_id: str) -> str:
    return (await call("DELETE", engine.listening, f"/v1/requests/{request_id}")).body["outcome"]


async def test_stream_is_whole_and_ends_with_done(engine: Standin) -> None:
    async with open_stream(engine, chat("a"), headers("r1")) as response:
        data = await events(response)
    assert (text_of(data), data[-1], len(data)) == (expected_answer(chat("a")), DONE, 6)
    assert json.loads(data[-2])["usage"]["completion_tokens"] == 5


async def test_second_answer_to_a_prompt_uses_the_cache(engine: Standin) -> None:
    body = chat("a", stream=False)
    answers = [(await call("POST", engine.listening, CHAT, body)).body for _ in range(2)]
    assert {answer["choices"][0]["message"]["content"] for answer in answers} == {
        expected_answer(body)
    }
    cached = [answer["usage"]["prompt_tokens_details"]["cached_tokens"] for answer in answers]
    assert cached == [0, 256]
    published = (await call("GET", engine.listening, "/v1/cache/events?after=0")).body
    assert [event["kind"] for event in published["events"]] == ["stored", "stored"]


async def test_same_id_sent_twice_runs_twice(engine: Standin) -> None:
    for attempt in "12":
        sent = headers("r1", **{"X-Attempt": attempt})
        await call("POST", engine.listening, CHAT, chat("a", stream=False), sent)
    logged = [(run["request_id"], run["attempt"], run["marker"]) for run in await runs(engine)]
    assert logged == [("r1", 1, "a"), ("r1", 2, "a")]


async def test_resumable_request_survives_its_connection_and_runs_once(engine: Standin) -> None:
    body = chat("a", max_tokens=200)
    async with open_stream(engine, body, headers("r1", **{"X-Resumable": "1"})) as response:
        first = parse_events((await response.content.readuntil(b"\n\n")).decode())
    rest = await call("GET", engine.listening, "/v1/requests/r1/events?offset=1")
    data = first + parse_events(rest.body)
    assert (text_of(data), data[-1]) == (expected_answer(body), DONE)
    assert await states(engine) == ["finished"]


@pytest.mark.parametrize("resumable", ["0", "1"], ids=["plain", "resumable"])
async def test_lost_connection_cancels_a_plain_request(engine: Standin, resumable: str) -> None:
    sent = headers("r1", **{"X-Resumable": resumable})
    async with open_stream(engine, chat("a", ENDLESS_TOKENS), sent) as response:
        await response.content.readuntil(b"\n\n")
    if resumable == "0":
        await wait_until(lambda: states(engine), lambda seen: seen == ["cancelled"])
    assert await cancel(engine, "r1") == "cancelled"


async def test_queued_request_whose_caller_disconnected_never_starts(engine: Standin) -> None:
    async with open_stream(engine, chat("a", ENDLESS_TOKENS), headers("r1")):
        queued = asyncio.create_task(call("POST", engine.listening, CHAT, chat("b"), headers("r2")))
        await wait_until(lambda: states(engine), lambda seen: seen == ["running", "waiting"])
        queued.cancel()
        await wait_until(lambda: states(engine), lambda seen: seen == ["running", "not_run"])


async def test_paying_request_starts_before_an_earlier_trial_request(engine: Standin) -> None:
    async with asyncio.TaskGroup() as tasks, open_stream(engine, chat("a", ENDLESS_TOKENS), {}):
        for count, priority in enumerate("10", start=2):
            sent = headers(priority, **{"X-Priority": priority})
            tasks.create_task(call("POST", engine.listening, CHAT, chat(priority), sent))
            await wait_until(lambda: states(engine), lambda seen, count=count: len(seen) == count)
    started = {run["request_id"]: run["started_unix_s"] for run in await runs(engine)}
    assert started["0"] < started["1"]


async def test_cancelled_before_its_start_never_starts(engine: Standin) -> None:
    """Test that an id answered with not_run is refused afterwards. Otherwise a POST that arrives
    after the cancel, for the first time or as a repetition, would still run."""
    async with open_stream(engine, chat("a", ENDLESS_TOKENS), headers("r1")):
        queued = asyncio.create_task(
            call("POST", engine.listening, CHAT, chat("b"), headers("queued"))
        )
        await wait_until(lambda: states(engine), lambda seen: len(seen) == 2)
        assert [await cancel(engine, name) for name in ("queued", "unseen")] == ["not_run"] * 2
        assert ((await queued).status, (await queued).body["run"]) == (503, "no")
    for name in ("queued", "unseen"):
        answer = await call("POST", engine.listening, CHAT, chat("b"), headers(name))
        assert (answer.status, answer.body["run"]) == (503, "no")


async def test_cancelled_stream_ends_without_done(engine: Standin) -> None:
    async with open_stream(engine, chat("a", ENDLESS_TOKENS), headers("r1")) as response:
        assert await cancel(engine, "r1") == "cancelled"
        data = await events(response)
    assert DONE not in data
    assert json.loads(data[-1])["error"]["type"] == "cancelled"


async def test_cancel_of_a_finished_request_says_so(engine: Standin) -> None:
    await call("POST", engine.listening, CHAT, chat("a"), headers("r1"))
    assert await cancel(engine, "r1") == "finished"


async def test_new_engine_reports_unknown_for_requests_before_its_start() -> None:
    with running_standins() as start:
        engine = start("engine", "--unknown-after-start-s", "3600")
        assert await cancel(engine, "r1") == "unknown"


async def test_leaving_engine_refuses_new_work_and_finishes_the_rest(engine: Standin) -> None:
    body = chat("a", max_tokens=300)
    async with open_stream(engine, body, headers("r1")) as response:
        await call("POST", engine.listening, "/admin/mode", {"leaving": True})
        refused = await call("POST", engine.listening, CHAT, chat("b"), headers("r2"))
        assert (refused.status, refused.body) == (503, {"run": "no", "reason": "leaving"})
        assert text_of(await events(response)) == expected_answer(body)
    assert await states(engine) == ["finished"]


async def test_frozen_engine_answers_once_unfrozen(engine: Standin) -> None:
    async with open_stream(engine, chat("a", max_tokens=200), headers("r1")) as response:
        await call("POST", engine.listening, "/admin/mode", {"frozen": True})
        waiting = asyncio.create_task(call("GET", engine.listening, "/v1/load"))
        assert await states(engine) == await states(engine) == ["running"]
        assert not waiting.done()
        await call("POST", engine.listening, "/admin/mode", {"frozen": False})
        assert text_of(await events(response)) == expected_answer(chat("a", max_tokens=200))
        assert (await waiting).status == 200


async def test_load_report_lags_behind() -> None:
    with running_standins() as start:
        engine = start("engine", "--report-lag-s", "3600", "--name", "b1")
        async with open_stream(engine, chat("a", ENDLESS_TOKENS), headers("r1")):
            report = (await call("GET", engine.listening, "/v1/load")).body
            started_unix_s = (await runs(engine))[0]["started_unix_s"]
        assert (report["server"], report["running"]) == ("b1", 0)
        assert report["measured_unix_s"] < started_unix_s


@pytest.mark.parametrize(
    ("options", "statuses"),
    [(("--checks-fencing",), [200, 409, 200]), ((), [200, 200, 200])],
    ids=["checks", "ignores"],
)
async def test_old_order_is_refused_where_fencing_is_checked(
    options: tuple[str, ...], statuses: list[int]
) -> None:
    with running_standins() as start:
        engine = start("engine", *options)
        orders = [{"fencing": number, "order": "load_model"} for number in (5, 4, 5)]
        answers = [await call("POST", engine.listening, "/v1/orders", order) for order in orders]
        assert [answer.status for answer in answers] == statuses


async def test_request_that_contains_the_crash_text_ends_the_engine(engine: Standin) -> None:
    await call("POST", engine.listening, "/admin/mode", {"crash_on": "fatal"})
    with pytest.raises(aiohttp.ClientError):
        await call("POST", engine.listening, CHAT, chat("fatal"), headers("r1"))
    with pytest.raises(aiohttp.ClientConnectorError):
        await call("GET", engine.listening, "/v1/load")


async def test_limit_header_is_sent_until_the_limit_is_removed(engine: Standin) -> None:
    named = []
    for limit_per_s in (2.5, None):
        await call("POST", engine.listening, "/admin/mode", {"limit_per_s": limit_per_s})
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{engine.listening}/v1/load") as response,
        ):
            named.append(response.headers.get("X-Server-Limit"))
    assert named == ["2.5", None]


async def test_brittle_engine_rejects_what_may_not_wait(engine: Standin) -> None:
    mode = {"max_waiting": 0, "brittle_per_s": 100, "frozen": False, "step_s": 60.0}
    await call("POST", engine.listening, "/admin/mode", mode)
    calls = [
        asyncio.create_task(call("POST", engine.listening, CHAT, chat("hello"), headers(f"r{n}")))
        for n in range(2)
    ]
    done, running = await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
    for each in running:
        each.cancel()
    assert [each.result().body for each in done] == [{"run": "no", "reason": "no_room"}]


async def test_silent_engine_answers_what_came_meanwhile(engine: Standin) -> None:
    await call("POST", engine.listening, "/admin/mode", {"silent_s": 0.2})
    answer = await call("POST", engine.listening, CHAT, chat("hello"), headers("r1"))
    assert answer.status == 200
