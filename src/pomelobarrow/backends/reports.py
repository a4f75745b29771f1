"""Poll the load and cache events of the backend servers assigned to this VM."""

import asyncio
import math
import random
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any

import aiohttp
import orjson
from attrs import frozen
from mode import Service

from pomelobarrow.backends.answer_buffers import read_limited
from pomelobarrow.backends.answer_limits import MAX_CACHE_EVENTS_BYTES, MAX_STATEMENT_BYTES
from pomelobarrow.backends.end_check import Probe, is_load_of_other, read_statement
from pomelobarrow.backends.sessions import BackendSessions
from pomelobarrow.backends.shares import ServerShare
from pomelobarrow.decision.common.bounded import UINT64_MAX, count_or_none, number_or_none
from pomelobarrow.decision.published.announcements import MAX_STATED_REQUESTS, MAX_STATED_TOKENS
from pomelobarrow.decision.requests.work import BackendServer, LoadReport
from pomelobarrow.decision.servers.load_table import LoadTable
from pomelobarrow.decision.servers.process_state import ProbeAnswer
from pomelobarrow.dispatch.events import ServerLoadInvalid
from pomelobarrow.kernel.background import background_task
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.published.vms import MAX_BORN_UNIX_MS

LOAD_PATH = "/v1/load"
POLL_EVERY_S = 1.0
# With more servers than this, each is polled less often, so that the cost of polling and of
# sending the reports to peers doesn't grow with the number of servers.
MAX_SERVERS_AT_FULL_RATE = 6
POLLS_PER_S = 2.0
POLL_TIMEOUT_S = 1.0
# Two VMs poll each server, so that every server is still polled while one VM is frozen.
POLLERS = 2
MAX_REPORT_AGE_S = 5.0
MOST_BY_FIELD: Mapping[str, int] = {
    "running": MAX_STATED_REQUESTS,
    "waiting": MAX_STATED_REQUESTS,
    "kv_tokens_used": MAX_STATED_TOKENS,
    "queued_prefill_tokens": MAX_STATED_TOKENS,
}


def poll_every_s(servers: int) -> float:
    """Return the poll interval of a VM that polls so many servers."""
    return POLL_EVERY_S if servers <= MAX_SERVERS_AT_FULL_RATE else servers / POLLS_PER_S


class LoadPoller(Service):
    """Poll this VM's share of the region's servers; peers send the reports of theirs."""

    def __init__(
        self,
        *,
        own_vm: str,
        sessions: BackendSessions,
        table: LoadTable,
        servers: Callable[[], Iterable[BackendServer]],
        live_vms: Callable[[], Iterable[str]],
        is_engine: Callable[[BackendServer], bool],
        on_report: Callable[[str], None],
        observe: Callable[[object], None] = lambda event: None,
    ) -> None:
        super().__init__()
        self._share = ServerShare(own_vm=own_vm, purpose="load", vms_per_server=POLLERS)
        self._sessions = sessions
        self._table = table
        self._servers = servers
        self._live_vms = live_vms
        self._is_engine = is_engine
        self._on_report = on_report
        self._observe = observe
        self._reports: dict[str, LoadReport] = {}
        self._next_event: dict[str, int] = {}
        self._random = random.Random()

    def own_reports(self) -> list[LoadReport]:
        """Return the recent reports that this VM has polled itself."""
        oldest_unix_s = now_unix_s() - MAX_REPORT_AGE_S
        return [each for each in self._reports.values() if each.measured_unix_s >= oldest_unix_s]

    @background_task
    async def _poll_all(self) -> None:
        while not self.should_stop:
            assigned = self._share.of(self._servers(), self._live_vms())
            await asyncio.gather(*(self._poll(server) for server in assigned))
            await asyncio.sleep(poll_every_s(len(assigned)) * self._random.uniform(0.8, 1.2))

    async def _poll(self, server: BackendServer) -> None:
        body = await self._get(server, LOAD_PATH)
        # The address may have passed to another server.
        if body is None or is_load_of_other(body, server.name):
            return
        # The report of an incarnation that was replaced says nothing about its successor.
        if not self._table.is_current_incarnation(server):
            return
        now = now_unix_s()
        report = _report(server.name, body, now)
        if report is None:
            self._observe(ServerLoadInvalid(server=server.name, pool=server.pool))
            return
        self._reports[server.name] = report
        self._table.observe_report(report, now)
        self._on_report(server.pool)
        # A plain service would execute a request for cache events as one of its own calls.
        if self._is_engine(server):
            await self._poll_cache(server)

    async def _poll_cache(self, server: BackendServer) -> None:
        after = self._next_event.get(server.name, 0)
        path = f"/v1/cache/events?after={after}"
        body = await self._get(server, path, MAX_CACHE_EVENTS_BYTES)
        if body is None:
            return
        prefixes, expected = self._table.prefixes, after
        for event in _cache_events(body):
            # Evictions may be among the missed events. The server's index is dropped, as an
            # outdated one would route requests to a server whose cache is cold.
            if expected and event.sequence > expected + 1:
                prefixes.observe_gap(server.name)
            expected = event.sequence
            prefixes.observe_event(server.name, event.kind, event.block)
        following = count_or_none(body.get("next", expected), UINT64_MAX)
        self._next_event[server.name] = expected if following is None else following

    async def _get(
        self, server: BackendServer, path: str, max_bytes: int = MAX_STATEMENT_BYTES
    ) -> dict[str, Any] | None:
        timeout = aiohttp.ClientTimeout(total=POLL_TIMEOUT_S)
        url = self._sessions.url(server.address, path)
        try:
            async with self._sessions.pooled.get(
                url, timeout=timeout, allow_redirects=False
            ) as response:
                if response.status != 200:
                    return None
                body = orjson.loads(await read_limited(response.content, max_bytes))
                return body if isinstance(body, dict) else None
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return None


@frozen(kw_only=True)
class _CacheEvent:
    sequence: int
    kind: str
    block: int


def _cache_events(body: dict[str, Any]) -> Iterator[_CacheEvent]:
    """Yield the events of a server's cache; malformed ones count as missed."""
    stated = body.get("events")
    for each in stated if isinstance(stated, list) else ():
        fields = each if isinstance(each, dict) else {}
        sequence = count_or_none(fields.get("sequence"), UINT64_MAX)
        block = count_or_none(fields.get("block"), UINT64_MAX)
        if sequence is not None and block is not None:
            yield _CacheEvent(sequence=sequence, kind=str(fields.get("kind")), block=block)


def load_probe(server: BackendServer) -> Probe:
    """Return a request for a server's load, whose answer names the server and its start."""

    async def read_answer(answer: aiohttp.ClientResponse) -> ProbeAnswer:
        body = await read_statement(answer)
        return ProbeAnswer(
            is_other=is_load_of_other(body, server.name),
            born_unix_ms=count_or_none(body.get("born_unix_ms"), MAX_BORN_UNIX_MS),
        )

    return Probe(path=LOAD_PATH, read_answer=read_answer)


def _report(name: str, body: dict[str, Any], received_unix_s: float) -> LoadReport | None:
    """Return a server's report; None if any of its numbers is out of range."""
    measured_unix_s = number_or_none(body.get("measured_unix_s", received_unix_s), math.inf)
    counts = {
        field: count_or_none(body.get(field, 0), most) for field, most in MOST_BY_FIELD.items()
    }
    if measured_unix_s is None or None in counts.values():
        return None
    return LoadReport(
        server=name,
        measured_unix_s=min(measured_unix_s, received_unix_s),
        leaving=bool(body.get("leaving", False)),
        **counts,  # type: ignore[arg-type]
    )
