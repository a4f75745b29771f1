"""Check what callers were told against what the backend servers ran."""

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

PATIENCE = aiohttp.ClientTimeout(total=8.0)
PROMPT = "which grade, which premium? " * 160


@frozen(kw_only=True)
class RequestSpec:
    """Word one kind of request; the deadline is set when it is sent."""

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
        """Send it to an entry VM through the proxy; a repeat gives its key and marker again."""
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
    timeout: aiohttp.ClientTimeout = PATIENCE,
) -> AsyncIterator[aiohttp.ClientSession]:
    """Yield a session that opens a connection for each request and gives up at last."""
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        yield session


@define
class RunLog:
    """Read what the backend servers ran, and keep what a killed one had logged."""

    fleet: Fleet
    _kept: list[dict[str, Any]] = field(factory=list)

    async def kill(self, server: str) -> None:
        """Kill a backend server, keeping its log; new work is cut off from it first.

        A stand-in's log dies with it. What arrives between reading and killing would run unseen.
        """
        await self.fleet.fault(f"server/*/{server}", "cut")
        address = f"127.0.0.1:{self.fleet.servers[server].port}"
        self._kept += (await self.fleet.get(address, "/admin/runs"))["runs"]
        self.fleet.processes.kill(server)

    async def restart(self, server: str) -> None:
        """Start a killed backend server again; only then its open connections are reset."""
        self.fleet.start_server(server)
        await self.fleet.fault(f"server/*/{server}", "refuse")
        await self.fleet.fault(f"server/*/{server}", "pass")

    async def starts(self) -> Counter[str]:
        """Count by marker the runs that have begun."""
        runs = self._kept + await self.fleet.runs()
        return Counter(run["marker"] for run in runs if run["started_unix_s"] is not None)

    async def is_idle(self) -> bool:
        """Tell whether nothing runs or waits on any backend server."""
        return all(run["finished_unix_s"] is not None for run in await self.fleet.runs())


async def settle(fleet: Fleet, log: RunLog) -> None:
    """Heal every route and return once all that was on its way has run or was dropped."""
    await fleet.fault("*", "pass")
    await wait_until(partial(_is_quiet, fleet, log))
    await wait_until(partial(_is_connected, fleet))
    await wait_until(partial(_is_quiet, fleet, log))


async def _is_quiet(fleet: Fleet, log: RunLog) -> bool:
    states = await asyncio.gather(*(fleet.status(vm) for vm in fleet.entries))
    return not any(each["dispatch"]["in_progress"] for each in states) and await log.is_idle()


async def _is_connected(fleet: Fleet) -> bool:
    states = await asyncio.gather(*(fleet.status(vm) for vm in fleet.entries))
    peers = [peer for state in states for peer in state["peers"].values()]
    return all(peer["phase"] == "ready" and not peer["suspect"] for peer in peers)


async def wait_until_served(
    fleet: Fleet, session: aiohttp.ClientSession, asks: Iterable[Any]
) -> None:
    """Return once each (ask, entry VM, account) is answered, so that no fault lingers."""

    def answered(ask: RequestSpec, vm: str, account: str) -> Callable[[], Awaitable[bool]]:
        async def is_answered() -> bool:
            return (await ask.send(fleet, session, vm, account)).is_answered

        return is_answered

    await asyncio.gather(*(wait_until(answered(*each)) for each in asks))


def reported_outcome(reply: Reply) -> str:
    """Name what the caller was told."""
    if reply.is_answered:
        return "answered"
    if reply.problem:
        return f"refused, run {reply.run}" if not reply.text else f"broken off, run {reply.run}"
    return "nothing"


def contradicted_replies(replies: Iterable[Reply], starts: Counter[str]) -> list[str]:
    """Return the replies that the run logs contradict."""
    found = []
    for reply in replies:
        ran = starts[reply.marker]
        if reply.run == "no" and ran:
            found.append(f"{reply.marker}: told not run, ran {ran} times: {reply.problem}")
        if reply.is_answered and not ran:
            found.append(f"{reply.marker}: answered, never ran")
        if reply.is_whole and not reply.is_answered and not reply.problem:
            found.append(f"{reply.marker}: looks whole, {reply.text!r} for {reply.expected!r}")
    return found
