"""Compare the replies to callers with the runs that the backend servers logged."""

import asyncio
import time
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import asynccontextmanager
from functools import partial
from typing import Any

import aiohttp
from attrs import define, field, frozen
from callers import Reply, call_service, chat, chat_body, wait_until

from harness.fleet import Fleet

CALLER_TIMEOUT = aiohttp.ClientTimeout(total=8.0)
PROMPT = "which grade, which premium? " * 160


@frozen(kw_only=True)
class RequestSpec:
    """Describe one kind of request; the deadline is set when it is sent."""

    class_name: str
    model: str = ""
    service: str = ""
    is_streamed: bool = True
    tokens: int = 16
    prompt: str = PROMPT
    deadline_s: float = 1.5

    async def send(
        self,
        fleet: Fleet,
        session: aiohttp.ClientSession,
        vm: str,
        account: str,
        key: str = "",
        marker: str = "",
    ) -> Reply:
        """Send the request through the proxy; a repeat uses the same key and marker."""
        address = fleet.entries[vm].advertised_caller
        headers = {"Pomelobarrow-Deadline": str(time.time() + self.deadline_s)}
        if key:
            headers["Idempotency-Key"] = key
        if self.service:
            path = f"/services/{self.service}/orders"
            send = partial(call_service, path=path, session=session, marker=marker, **headers)
            return await send(fleet, address, account, self.class_name)
        body = chat_body(self.model, self.tokens, self.prompt, stream=self.is_streamed)
        body["metadata"]["marker"] = marker or body["metadata"]["marker"]
        return await chat(
            fleet, address, account, self.class_name, body, session=session, **headers
        )


QUERY = RequestSpec(class_name="quick-query", model="contract-reader")
WHOLE_QUERY = RequestSpec(class_name="quick-query", model="contract-reader", is_streamed=False)
DESK_CALL = RequestSpec(class_name="desk-call", service="desk")
REVIEW = RequestSpec(class_name="contract-review", model="contract-reader")
NON_REPEATABLE_CLASSES = frozenset({"quick-query", "desk-call"})


@asynccontextmanager
async def caller_session(
    timeout: aiohttp.ClientTimeout = CALLER_TIMEOUT,
) -> AsyncIterator[aiohttp.ClientSession]:
    """Yield a session with a total timeout that opens a connection for each request."""
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        yield session


@define
class RunLog:
    """Read the run logs of the backend servers, including those of killed servers."""

    fleet: Fleet
    _saved_runs: list[dict[str, Any]] = field(factory=list)

    async def kill(self, server: str) -> None:
        """Kill a backend server and keep its run log.

        A stand-in's log is lost when it is killed. New work is blocked before the log is read, as
        requests that arrive between reading and killing would run without being recorded.
        """
        await self.fleet.fault(f"server/*/{server}", "cut")
        address = f"127.0.0.1:{self.fleet.servers[server].port}"
        self._saved_runs += (await self.fleet.get(address, "/admin/runs"))["runs"]
        self.fleet.processes.kill(server)

    async def restart(self, server: str) -> None:
        """Restart a killed backend server; its open connections are reset only after that."""
        self.fleet.start_server(server)
        await self.fleet.fault(f"server/*/{server}", "refuse")
        await self.fleet.fault(f"server/*/{server}", "pass")

    async def starts(self) -> Counter[str]:
        """Return the number of started runs by marker."""
        runs = self._saved_runs + await self.fleet.runs()
        return Counter(run["marker"] for run in runs if run["started_unix_s"] is not None)

    async def is_idle(self) -> bool:
        """Return whether no request is running or waiting on any backend server."""
        return all(run["finished_unix_s"] is not None for run in await self.fleet.runs())


async def settle(fleet: Fleet, log: RunLog) -> None:
    """Restore every route and wait until all requests in transit have run or were dropped."""
    await fleet.fault("*", "pass")
    await wait_until(partial(_is_idle, fleet, log))
    await wait_until(partial(_is_connected, fleet))
    await wait_until(partial(_is_idle, fleet, log))


async def _is_idle(fleet: Fleet, log: RunLog) -> bool:
    states = await asyncio.gather(*(fleet.status(vm) for vm in fleet.entries))
    return not any(each["dispatch"]["in_progress"] for each in states) and await log.is_idle()


async def _is_connected(fleet: Fleet) -> bool:
    states = await asyncio.gather(*(fleet.status(vm) for vm in fleet.entries))
    peers = [peer for state in states for peer in state["peers"].values()]
    return all(peer["phase"] == "ready" and not peer["suspect"] for peer in peers)


async def wait_until_served(
    fleet: Fleet, session: aiohttp.ClientSession, specs: Iterable[Any]
) -> None:
    """Wait until each (spec, entry VM, account) is answered, so that no fault persists."""

    def answered(spec: RequestSpec, vm: str, account: str) -> Callable[[], Awaitable[bool]]:
        async def is_answered() -> bool:
            return (await spec.send(fleet, session, vm, account)).is_answered

        return is_answered

    await asyncio.gather(*(wait_until(answered(*each)) for each in specs))


def reported_outcome(reply: Reply) -> str:
    """Return a label for the outcome that the caller received."""
    if reply.is_answered:
        return "answered"
    if reply.problem:
        return f"refused, run {reply.run}" if not reply.text else f"broken off, run {reply.run}"
    return "nothing"


def contradicted_replies(replies: Iterable[Reply], starts: Counter[str]) -> list[str]:
    """Return a message for each reply that the run logs contradict."""
    found = []
    for reply in replies:
        ran = starts[reply.marker]
        if reply.run == "no" and ran:
            found.append(f"{reply.marker}: reported as not run, ran {ran} times: {reply.problem}")
        if reply.is_answered and not ran:
            found.append(f"{reply.marker}: answered, never ran")
        if reply.is_whole and not reply.is_answered and not reply.problem:
            found.append(f"{reply.marker}: looks whole, {reply.text!r} for {reply.expected!r}")
    return found
