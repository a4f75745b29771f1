"""Send requests as the users' applications do and check the answers."""

import itertools
import json
import time
from collections.abc import Callable
from typing import Any

import aiohttp
from attrs import define, field, frozen

from harness.fleet import Fleet
from pomelobarrow.decision.streams.event_counter import END_DATA
from pomelobarrow.decision.streams.server_sent_events import (
    EventSplitter,
    event_data,
    event_name,
)
from pomelobarrow.standin.answer import expected_answer

CHAT_PATH = "/v1/chat/completions"
PROBLEM = "application/problem+json"
REQUEST_TIMEOUT_S = 25.0
REQUEST_ERRORS = (aiohttp.ClientError, OSError, TimeoutError, ValueError)
_serials = itertools.count(1)


@frozen(kw_only=True)
class Caller:
    """Account of a caller and the entry VM that it uses."""

    fleet: Fleet
    vm: str
    account: str

    @property
    def address(self) -> str:
        """Return the entry VM's advertised caller address."""
        return self.fleet.entries[self.vm].advertised_caller

    def headers(self, class_name: str, **more: str) -> dict[str, str]:
        """Return the headers of a request."""
        return self.fleet.headers(self.account, class_name, **more)


@define(kw_only=True)
class Reply:
    """Response to a caller: a complete answer, a problem, or neither."""

    status: int = 0
    text: str = ""
    expected: str = ""
    is_ended: bool = False
    server: str = ""
    problem: dict[str, Any] = field(factory=dict)
    retry_after: str = ""
    error: str = ""
    sent_unix_s: float = field(factory=time.time)
    first_token_unix_s: float = 0.0
    ended_unix_s: float = 0.0

    @property
    def is_whole(self) -> bool:
        """Return whether the answer is complete and correct."""
        return self.status == 200 and self.is_ended and self.text == self.expected

    @property
    def took_s(self) -> float:
        """Return the seconds until the answer's end."""
        return self.ended_unix_s - self.sent_unix_s

    @property
    def first_token_s(self) -> float:
        """Return the seconds until the first token, or the end of an answer in one piece."""
        return (self.first_token_unix_s or self.ended_unix_s) - self.sent_unix_s

    def describe(self) -> str:
        """Return a short description of the reply."""
        if self.problem:
            retry = f", Retry-After {self.retry_after} s" if self.retry_after else ""
            return f"{self.status} {self.problem['kind']}, run {self.problem['run']}{retry}"
        if not self.is_whole:
            return f"not whole: status {self.status}, {len(self.text)} characters {self.error}"
        return f"whole from {self.server or 'the first run'} after {self.took_s:.2f} s"


def chat_body(
    model: str, instructions: str, text: str, tokens: int, is_streamed: bool
) -> dict[str, Any]:
    """Return a chat request with a marker that identifies its runs in the engines' logs."""
    return {
        "model": model,
        "messages": [
            {"role": "system", "content": instructions},
            {"role": "user", "content": text},
        ],
        "max_tokens": tokens,
        "stream": is_streamed,
        "metadata": {"marker": new_marker()},
    }


def new_marker() -> str:
    """Return a marker that is unique in this process."""
    return f"demo-{next(_serials)}"


async def chat(
    caller: Caller,
    class_name: str,
    body: dict[str, Any],
    on_first_token: Callable[[], None] = lambda: None,
    **headers: str,
) -> Reply:
    """Send a chat request and read its answer to the end."""
    reply = Reply(expected=expected_answer(body))

    def on_token() -> None:
        reply.first_token_unix_s = time.time()
        on_first_token()

    async def read(response: aiohttp.ClientResponse) -> None:
        if response.content_type == "text/event-stream":
            await _read_events(response, reply, on_token)
            return
        answer = await response.json(content_type=None)
        reply.text, reply.is_ended = answer["choices"][0]["message"]["content"], True

    request = _request(caller, "POST", CHAT_PATH, class_name, headers)
    return await _send(request, json.dumps(body).encode(), reply, read)


async def call_service(
    caller: Caller,
    class_name: str,
    method: str,
    path: str,
    marker: str,
    body: dict[str, Any] | None = None,
    **headers: str,
) -> Reply:
    """Call a plain service, which echoes the body or, without one, the marker."""
    sent = json.dumps({**body, "marker": marker}) if body else ""
    reply = Reply(expected=sent or marker)

    async def read(response: aiohttp.ClientResponse) -> None:
        text = await response.text()
        reply.text = text if sent else str(json.loads(text).get("marker", ""))
        reply.is_ended = True

    request = _request(caller, method, path, class_name, {"X_Marker": marker, **headers})
    return await _send(request, sent.encode(), reply, read)


async def entries(caller: Caller, class_name: str) -> dict[str, Any]:
    """Return an entry VM's answer about which entry VMs to use."""
    headers = caller.headers(class_name)
    path = f"/v1/entries?class={class_name}"
    answer: dict[str, Any] = await caller.fleet.get(caller.address, path, headers=headers)
    return answer


@frozen
class _Request:
    caller: Caller
    method: str
    url: str
    headers: dict[str, str]


def _request(
    caller: Caller, method: str, path: str, class_name: str, more: dict[str, str]
) -> _Request:
    headers = caller.headers(class_name, Content_Type="application/json", **more)
    return _Request(caller, method, f"http://{caller.address}{path}", headers)


async def _send(request: _Request, body: bytes, reply: Reply, read: Any) -> Reply:
    session = request.caller.fleet.session
    assert session is not None
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    try:
        async with session.request(
            request.method, request.url, data=body, headers=request.headers, timeout=timeout
        ) as response:
            reply.status = response.status
            reply.server = response.headers.get("Pomelobarrow-Backend-Server", "")
            reply.retry_after = response.headers.get("Retry-After", "")
            if response.content_type == PROBLEM:
                reply.problem = await response.json(content_type=None)
            else:
                await read(response)
    except REQUEST_ERRORS as error:
        reply.error = repr(error)
    reply.ended_unix_s = time.time()
    return reply


async def _read_events(
    response: aiohttp.ClientResponse, reply: Reply, on_first_token: Callable[[], None]
) -> None:
    splitter = EventSplitter()
    async for data in response.content.iter_any():
        for event in splitter.feed(data):
            _apply_event(event, reply, on_first_token)


def _apply_event(event: bytes, reply: Reply, on_first_token: Callable[[], None]) -> None:
    content = event_data(event)
    if content is None:
        return
    if content == END_DATA:
        reply.is_ended = True
        return
    payload = json.loads(content)
    if event_name(event) == b"error":
        reply.problem = payload
        return
    if not reply.text:
        on_first_token()
    reply.text += payload["choices"][0]["delta"].get("content", "")
