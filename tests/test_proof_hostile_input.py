"""Hostile input is refused, reaches no backend server and does not affect other callers."""

import asyncio
import gzip
import json
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import psutil
import pytest
from attrs import frozen
from callers import Reply, chat, chat_body, request_ids
from proof_report import Figure

from harness.deployments import token_of
from harness.fleet import HOST, Fleet

VM = "milan-1"
MARKER = "hostile-marker"
SECRET_TEXT = "cathode-position-of-the-desk"
IDLE_CONNECTIONS = 3000
MAX_BODY_BYTES = 8 << 20
MB = 1 << 20


@frozen(kw_only=True)
class Raw:
    """Raw HTTP request."""

    line: str = "POST /v1/chat/completions HTTP/1.1"
    body: bytes = b"{}"
    headers: dict[str, str | bytes] = {}

    def encode(self) -> bytes:
        """Return the bytes to send."""
        fields: dict[str, str | bytes] = {
            "Host": "gateway",
            "Connection": "close",
            "Authorization": f"Bearer {token_of('paying-milan')}",
            "Pomelobarrow-Class": "changelog-note",
            "Content-Length": str(len(self.body)),
            **self.headers,
        }
        lines = [
            name.encode() + b": " + (value if isinstance(value, bytes) else value.encode())
            for name, value in fields.items()
            if value
        ]
        return b"\r\n".join([self.line.encode("latin-1"), *lines, b"", self.body])


def valid_body(**more: object) -> bytes:
    """Return a body that would run if it were accepted."""
    content = [{"role": "user", "content": SECRET_TEXT}]
    body = {"model": "note-small", "messages": content, "metadata": {"marker": MARKER}}
    return json.dumps(body | more).encode()


def valid(**headers: str | bytes) -> Raw:
    """Return a request that is valid except for these headers."""
    return Raw(body=valid_body(), headers=headers)


def service(path: str, **headers: str | bytes) -> Raw:
    """Return a call of a plain service."""
    fields = {"Pomelobarrow-Class": "webhook-ping", "X-Marker": MARKER, **headers}
    return Raw(line=f"POST /services/webhooks{path} HTTP/1.1", body=b"", headers=fields)


KEY = "Idempotency-Key"
DEADLINE = "Pomelobarrow-Deadline"
HOSTILE: dict[str, Raw] = {
    "no JSON": Raw(body=f"{{{SECRET_TEXT}".encode()),
    "bad UTF-8": Raw(body=valid_body().replace(b"cathode", b"\xff\xfe")),
    "deep nesting": Raw(body=b'{"a":' + b"[" * MB + b"]" * MB + b"}"),
    "lone surrogate": Raw(body=valid_body().replace(b"cathode", b"\\ud800")),
    "not an object": Raw(body=b"[1]"),
    "wrong type of messages": Raw(body=valid_body(messages={"role": "user"})),
    "wrong type of content": Raw(body=valid_body(messages=[{"role": "user", "content": 1}])),
    "wrong type of stream": Raw(body=valid_body(stream="yes")),
    "negative count": Raw(body=valid_body(max_tokens=-1)),
    "fractional count": Raw(body=valid_body(max_tokens=1e300)),
    "too many messages": Raw(body=valid_body(messages=[{"role": "u", "content": ""}] * 100_000)),
    "unknown model": Raw(body=valid_body(model="none")),
    "unknown class": valid(**{"Pomelobarrow-Class": "x" * 9000}),
    "unknown token": valid(Authorization=f"Bearer {SECRET_TEXT}"),
    "no token": valid(Authorization=""),
    "other scheme": valid(Authorization=f"Basic {token_of('paying-milan')}"),
    "deadline not a number": valid(**{DEADLINE: "nan"}),
    "deadline infinite": valid(**{DEADLINE: "inf"}),
    "deadline negative": valid(**{DEADLINE: "-1"}),
    "deadline huge": valid(**{DEADLINE: "1e400"}),
    "deadline in words": valid(**{DEADLINE: "tomorrow"}),
    "unknown home": valid(**{"Pomelobarrow-Home-Region": "atlantis"}),
    "oversized header": valid(**{"X-Large": "x" * 20_000}),
    "many headers": valid(**{f"X-{number}": "x" for number in range(5000)}),
    "oversized body": Raw(body=b"", headers={"Content-Length": str(MAX_BODY_BYTES + 1)}),
    "oversized chunks": Raw(
        body=b"100000\r\n" + b"x" * MB + b"\r\n" + (b"100000\r\n" + b"x" * MB + b"\r\n") * 8,
        headers={"Content-Length": "", "Transfer-Encoding": "chunked"},
    ),
    "broken chunks": Raw(
        body=b"zz\r\n", headers={"Content-Length": "", "Transfer-Encoding": "chunked"}
    ),
    "two lengths": Raw(body=valid_body(), headers={"Transfer-Encoding": "chunked"}),
    "compressed": Raw(body=gzip.compress(valid_body()), headers={"Content-Encoding": "gzip"}),
    "gzip bomb": Raw(body=gzip.compress(bytes(200 * MB)), headers={"Content-Encoding": "gzip"}),
    "line break in a header": valid(**{"X-Split": b"a\rX-Request-Id: forged"}),
    "NUL in a header": valid(**{"X-Nul": b"a\x00b"}),
    "header not UTF-8": service("/ping", **{"X-Bytes": b"\xff\xfe"}),
    "class not UTF-8": valid(**{"Pomelobarrow-Class": b"\xff"}),
    "path not ASCII": service("/\xff"),
    "made-up key": service("/ping", **{KEY: "order-17"}),
    "forged key": service("/ping", **{KEY: "r1.bWlsYW4tMQ.1.ffffffff.1.AAAA"}),
    "key with junk": service("/ping", **{KEY: "r1...../../admin"}),
    "service of no name": Raw(line="POST /services/none/x HTTP/1.1"),
    "class of another pool": service("/ping", **{"Pomelobarrow-Class": "draft"}),
    "no HTTP": Raw(line="\x16\x03\x01 hello"),
}
# An id of an unknown VM may have been issued by a VM that was removed, so its outcome is unknown.
OUTCOME_UNKNOWN = {"forged key"}


async def exchange(fleet: Fleet, data: bytes) -> bytes:
    """Send bytes to an entry VM and return everything received until the connection ends."""
    reader, writer = await asyncio.open_connection(HOST, fleet.entries[VM].caller_port)
    try:
        writer.write(data)
        await writer.drain()
    except ConnectionError:
        pass
    try:
        return await reader.read()
    finally:
        writer.close()


@asynccontextmanager
async def other_callers(fleet: Fleet) -> AsyncIterator[list[Reply]]:
    """Run other callers of the same entry VM, whose answers must all be complete."""
    replies: list[Reply] = []
    is_running = True

    async def keep_sending(account: str) -> None:
        while is_running:
            body = chat_body("note-small", 16)
            replies.append(await chat(fleet, fleet.direct(VM), account, "changelog-note", body))

    tasks = [asyncio.create_task(keep_sending(name)) for name in ("paying-turin", "trial-milan")]
    try:
        yield replies
    finally:
        is_running = False
        await asyncio.gather(*tasks)


def assert_nothing_leaked(fleet: Fleet) -> None:
    """Check that no daemon logged a body, a token or the peers' key."""
    logs = "".join(fleet.processes.log(vm) for vm in fleet.entries)
    leaked = [text for text in (SECRET_TEXT, "token-of-", "a-shared-secret") if text in logs]
    assert leaked == []
    assert "Traceback" not in logs


@pytest.mark.proof
async def test_hostile_requests_are_refused_and_reach_no_server(
    rondinella: Fleet, figure: Figure
) -> None:
    # One caller sends malformed and malicious requests. Each must get a 4xx with a remedy, or a
    # plain one if it violates HTTP. None may reach a backend server, other callers of the same VM
    # must get complete answers, and the logs must not contain what was sent.
    fleet, wrong = rondinella, {}
    async with other_callers(fleet) as replies:
        for name, raw in HOSTILE.items():
            answer = await exchange(fleet, raw.encode())
            status = int(answer.split(b" ", 2)[1]) if answer else 0
            is_expected = status == 502 if name in OUTCOME_UNKNOWN else 400 <= status < 500
            names_remedy = b'"remedy":"' in answer or b"text/plain" in answer
            if not is_expected or not names_remedy or SECRET_TEXT.encode() in answer[:-1]:
                wrong[name] = answer[:300]
        await asyncio.sleep(0)
    ran = [run for run in await fleet.runs() if run["marker"] == MARKER]
    figure("hostile requests", len(HOSTILE))
    figure("not refused", len(wrong))
    figure("run", len(ran))
    figure("others' requests", len(replies))
    figure("others' not answered", sum(not each.is_answered for each in replies))
    assert wrong == {}
    assert ran == []
    assert all(each.is_answered for each in replies)
    assert_nothing_leaked(fleet)


@pytest.mark.proof
async def test_a_caller_can_not_speak_for_the_gateway(rondinella: Fleet, figure: Figure) -> None:
    # A caller sends the request id, attempt and priority headers that only the gateway may set, an
    # invalid trace and an absolute URL. The service must receive the gateway's own values, since
    # with a forged id it could treat two requests as one.
    fleet = rondinella
    forged = {"X-Request-Id": "forged", "X-Attempt": "9", "X-Priority": "9", "traceparent": "x"}
    named = Raw(
        line="POST http://elsewhere/services/webh%6Foks/ping?a=%20b HTTP/1.1",
        headers={"Pomelobarrow-Class": "webhook-ping", "X-Marker": MARKER, **forged},
        body=b"",
    )
    answer = await exchange(fleet, named.encode())
    (run,) = [run for run in await fleet.runs() if run["marker"] == MARKER]
    figure("forged fields passed on", sum(str(run[key]) in forged.values() for key in run))
    assert answer.startswith(b"HTTP/1.1 200")
    assert b'"path":"/ping?a=%20b"' in answer.replace(b'": "', b'":"')
    assert run["request_id"].startswith(VM)
    assert (run["attempt"], run["priority"]) == (1, 0)


@pytest.mark.proof
async def test_slow_and_idle_connections_leave_others_served(
    rondinella: Fleet, figure: Figure
) -> None:
    # Thousands of connections send nothing or an incomplete header, and one sends an incomplete
    # body. Other callers must be served meanwhile, memory must stay bounded, and the slow body must
    # be refused by its deadline.
    fleet, vm = rondinella, VM
    process = psutil.Process(fleet.processes.running[vm].pid)
    before_bytes = process.memory_info().rss
    opened = []
    for number in range(IDLE_CONNECTIONS):
        _, writer = await asyncio.open_connection(HOST, fleet.entries[vm].caller_port)
        writer.write(b"POST /v1/chat/completions HTTP/1.1\r\nX-Slow: " * (number % 2))
        opened.append(writer)
    deadline = {DEADLINE: str(time.time() + 2.0), "Content-Length": "100"}
    slow = asyncio.create_task(exchange(fleet, Raw(body=b"{", headers=deadline).encode()))
    async with other_callers(fleet) as replies:
        answer = await slow
    grown_bytes = process.memory_info().rss - before_bytes
    for writer in opened:
        writer.close()
    figure("idle connections", len(opened))
    figure("bytes of memory for each", grown_bytes // len(opened))
    figure("others' requests", len(replies))
    figure("others' not answered", sum(not each.is_answered for each in replies))
    assert answer.startswith(b"HTTP/1.1 408")
    assert b'"run":"no"' in answer
    assert replies
    assert all(each.is_answered for each in replies)
    assert_nothing_leaked(fleet)


@pytest.mark.proof
async def test_an_account_never_sees_anothers_request(vasktoru: Fleet, figure: Figure) -> None:
    # An account uses another account's request id at several entry VMs, while that request runs and
    # after it has ended. It must get no part of the answer and must not stop the request. The
    # operators' pages, which any caller can read, must not reveal the request either.
    fleet, owner, intruder = vasktoru, "paying-tallinn", "trial-tallinn"
    vms = ("tallinn-1", "tallinn-2", "warsaw-1")
    key, *_ = await request_ids(fleet, fleet.direct("tallinn-1"), owner, "quick-query")
    body = chat_body("contract-reader", 200, SECRET_TEXT)
    begun = asyncio.Event()

    async def send(vm: str, account: str) -> Reply:
        address = fleet.direct(vm)
        headers = {"Idempotency_Key": key}
        return await chat(fleet, address, account, "quick-query", body, begun.set, **headers)

    async def send_as_intruder() -> list[Reply]:
        return [await send(vm, intruder) for vm in vms]

    first = asyncio.create_task(send("tallinn-1", owner))
    await begun.wait()
    intruder_replies = await send_as_intruder()
    pages = [await read_pages(fleet, vm) for vm in vms]
    assert (await first).is_answered
    intruder_replies += await send_as_intruder()
    figure("attempts on another's id", len(intruder_replies))
    figure("answers given away", sum(bool(each.text) for each in intruder_replies))
    assert {(each.status, each.problem.get("kind")) for each in intruder_replies} == {
        (400, "bad_idempotency_key")
    }
    leaked = [
        text for page in pages for text in (SECRET_TEXT, key, token_of(owner)) if text in page
    ]
    assert leaked == []
    assert_nothing_leaked(fleet)


async def read_pages(fleet: Fleet, vm: str) -> str:
    """Return the operators' pages, read without credentials."""
    assert fleet.session is not None
    texts = []
    for path in ("/v1/status", "/v1/explain?class=quick-query&account=nobody", "/metrics"):
        async with fleet.session.get(f"http://{fleet.direct(vm)}{path}") as response:
            texts.append(await response.text())
    return "".join(texts)
