"""Send requests as callers do and record the replies."""

import asyncio
import itertools
import json
import time
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
from attrs import define, field

from harness.fleet import Fleet
from pomelobarrow.decision.streams.event_counter import END_DATA
from pomelobarrow.decision.streams.server_sent_events import (
    EventSplitter,
    event_data,
    event_name,
)
from pomelobarrow.standin.answer import expected_answer

POLL_S = 0.02
WAIT_S = 30.0
_serials = itertools.count()


@define(kw_only=True)
class Reply:
    """Reply to a caller: a complete answer, a problem document, or neither."""

    marker: str
    class_name: str = ""
    status: int = 0
    text: str = ""
    is_whole: bool = False
    expected: str = ""
    problem: dict[str, Any] = field(factory=dict)
    error: str = ""
    headers: dict[str, str] = field(factory=dict)
    sent_unix_s: float = field(factory=time.time)
    ended_unix_s: float = 0.0

    @property
    def is_answered(self) -> bool:
        """Return whether the answer is complete and correct."""
        return self.status == 200 and self.is_whole and self.text == self.expected

    @property
    def run(self) -> str:
        """Return the run status that the refusal states, if there is one."""
        return str(self.problem.get("run", ""))

    @property
    def is_incomplete(self) -> bool:
        """Return whether the caller got neither a complete answer nor a refusal."""
        return not self.is_answered and not self.problem


def chat_body(
    model: str, tokens: int = 8, text: str = "Which grade?", **more: Any
) -> dict[str, Any]:
    """Return a chat request whose run can be found in the run logs by its marker."""
    return {
        "model": model,
        "messages": [{"role": "user", "content": text}],
        "max_tokens": tokens,
        "stream": True,
        "metadata": {"marker": f"marker-{next(_serials)}"},
        **more,
    }


async def chat(
    fleet: Fleet,
    address: str,
    account: str,
    class_name: str,
    body: dict[str, Any],
    on_first_token: Callable[[], None] = lambda: None,
    session: aiohttp.ClientSession | None = None,
    **headers: str,
) -> Reply:
    """Send one chat request and read its answer to the end."""
    marker, expected = body["metadata"]["marker"], expected_answer(body)
    reply = Reply(marker=marker, class_name=class_name, expected=expected)
    url = f"http://{address}/v1/chat/completions"
    sent = fleet.headers(account, class_name, **headers)
    try:
        async with (session or fleet.session).post(url, json=body, headers=sent) as response:
            reply.status, reply.headers = response.status, dict(response.headers)
            if response.content_type == "application/problem+json":
                reply.problem = await response.json(content_type=None)
            elif response.content_type == "text/event-stream":
                await _read_events(response, reply, on_first_token)
            else:
                _read_whole(await response.json(content_type=None), reply)
    except (aiohttp.ClientError, OSError, ValueError, TimeoutError) as error:
        reply.error = repr(error)
    reply.ended_unix_s = time.time()
    return reply


async def call_service(
    fleet: Fleet,
    address: str,
    account: str,
    class_name: str,
    path: str,
    session: aiohttp.ClientSession | None = None,
    marker: str = "",
    **headers: str,
) -> Reply:
    """Post one call to a plain service, which echoes the marker in its answer."""
    reply = Reply(marker=marker or f"marker-{next(_serials)}", class_name=class_name)
    reply.expected = reply.marker
    sent = fleet.headers(account, class_name, X_Marker=reply.marker, **headers)
    url = f"http://{address}{path}"
    try:
        async with (session or fleet.session).post(url, headers=sent) as response:
            reply.status, answer = response.status, await response.json(content_type=None)
            reply.is_whole = True
            reply.text = str(answer.get("marker", ""))
            if response.content_type == "application/problem+json":
                reply.problem = answer
    except (aiohttp.ClientError, OSError, ValueError, TimeoutError) as error:
        reply.error = repr(error)
    reply.ended_unix_s = time.time()
    return reply


async def request_ids(fleet: Fleet, address: str, account: str, class_name: str) -> list[str]:
    """Ask an entry VM for request ids."""
    return list((await entries(fleet, address, account, class_name))["request_ids"])


async def entries(fleet: Fleet, address: str, account: str, class_name: str) -> dict[str, Any]:
    """Ask which entry VMs to use."""
    headers = fleet.headers(account, class_name)
    answer: dict[str, Any] = await fleet.get(
        address, f"/v1/entries?class={class_name}", headers=headers
    )
    return answer


async def wait_until(condition: Callable[[], Awaitable[bool]], timeout_s: float = WAIT_S) -> None:
    """Return once a condition holds."""
    async with asyncio.timeout(timeout_s):
        while not await condition():
            await asyncio.sleep(POLL_S)


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
        reply.is_whole = True
        return
    payload = json.loads(content)
    if event_name(event) == b"error":
        reply.problem = payload
        return
    if not reply.text:
        on_first_token()
    reply.text += payload["choices"][0]["delta"].get("content", "")


def _read_whole(answer: dict[str, Any], reply: Reply) -> None:
    reply.text = answer["choices"][0]["message"]["content"]
    reply.is_whole = True
