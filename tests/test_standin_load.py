"""Test that the load tool distinguishes answered, refused, unknown, unreached and wrong."""

import itertools
import json
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest
from aiohttp import web
from standin_harness import ANY_PORT

from pomelobarrow.standin.answer import DONE_EVENT, event, expected_answer, token_event
from pomelobarrow.standin.load import LoadOptions, main
from pomelobarrow.standin.load_results import Outcome, classify_chat_answer, percentiles
from pomelobarrow.standin.runtime import start_app

BODY = {"messages": [{"role": "user", "content": "?"}], "max_tokens": 1}
RIGHT = token_event("r1", "m", expected_answer(BODY), {"total_tokens": 2})
PROBLEM = {"kind": "overloaded", "run": "no"}
FAR_UNIX_S = 4e9


def entry_routes(seen_ids: list[str]) -> list[web.RouteDef]:
    numbers = itertools.count()

    async def entries(request: web.Request) -> web.Response:
        reply = {"entries": [{"address": request.host}], "good_until_unix_s": FAR_UNIX_S}
        return web.json_response(reply | {"request_ids": [f"id-{next(numbers)}"]})

    async def echo(request: web.Request) -> web.Response:
        seen_ids.append(request.headers["Idempotency-Key"])
        return web.Response(body=await request.read(), content_type="application/json")

    async def refuse(request: web.Request) -> web.Response:
        return web.json_response(PROBLEM, status=503, content_type="application/problem+json")

    return [
        web.get("/v1/entries", entries),
        web.post("/services/hooks", echo),
        web.post("/v1/chat/completions", refuse),
    ]


@pytest.fixture
def seen_ids() -> list[str]:
    return []


@pytest.fixture
async def entry(seen_ids: list[str]) -> AsyncIterator[str]:
    app = web.Application()
    app.add_routes(entry_routes(seen_ids))
    runner, address = await start_app(app, ANY_PORT)
    yield address
    await runner.cleanup()


async def test_summary_counts_each_class(
    entry: str, seen_ids: list[str], tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    ping = {"service_path": "/services/hooks", "repeatable": False}
    work: dict[str, Any] = {"ping": ping, "review": {"model": "m"}}
    plan = tmp_path / "plan.json"
    classes = {name: {"rate_per_s": 100, "token": "t", **more} for name, more in work.items()}
    plan.write_text(json.dumps({"classes": classes}))
    await main(LoadOptions(plan=str(plan), entry=("127.0.0.1:1", entry), seconds=0.3))
    summary = json.loads(capsys.readouterr().out)["classes"]
    assert summary["ping"]["sent"] == summary["ping"]["answered"] == len(set(seen_ids)) > 0
    assert summary["review"]["sent"] == summary["review"]["refused"] > 0
    assert summary["review"]["problem_kinds"] == {"overloaded": summary["review"]["sent"]}
    assert set(summary["ping"]["end_s"]) == {"p50", "p95", "p99"}


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        pytest.param(RIGHT + DONE_EVENT, Outcome.ANSWERED, id="whole"),
        pytest.param(RIGHT, Outcome.UNKNOWN, id="broken off"),
        pytest.param(RIGHT + RIGHT + DONE_EVENT, Outcome.WRONG, id="doubled"),
        pytest.param(RIGHT + DONE_EVENT[:-1], Outcome.UNKNOWN, id="cut in the end event"),
        pytest.param(RIGHT + b": data: x\n\n" + DONE_EVENT, Outcome.ANSWERED, id="comment"),
        pytest.param((RIGHT + DONE_EVENT).replace(b"\n", b"\r"), Outcome.ANSWERED, id="CR"),
        pytest.param(event({"kind": "x", "run": "unknown"}), Outcome.UNKNOWN, id="problem"),
    ],
)
def test_stream_is_classified_by_its_end_and_text(answer: bytes, outcome: Outcome) -> None:
    assert classify_chat_answer(BODY, 200, "text/event-stream", answer)[0] is outcome


def test_percentiles_are_nearest_rank() -> None:
    assert percentiles(range(1, 101)) == {"p50": 50, "p95": 95, "p99": 99}
    assert percentiles([]) == {}
