"""Send client requests and check their outcomes against what the servers ran."""

import asyncio
import itertools
import time
from collections.abc import Iterable
from random import Random

import aiohttp
from attrs import define, field, frozen

from soak.faults import DRAINING, PARTITION, Faults, Span
from soak.fleet import HOST, KINDS, TIMEOUT_MS, SoakFleet
from soak.servers import REQUEST_ID, events_after, whole_body

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
CONNECT_TIMEOUT_S = 1.0
# Allowed beyond the route's timeout, since answers are slower on a busy machine.
ANSWER_SLACK_S = 1.5
# A draining server must get no requests after this time.
DRAIN_LIMIT_S = 3.0
# A fault may affect requests for this long after it ended; limits are checked only later.
CALM_S = 6.0
# After this time, VMs without links must serve at least this share of what the others serve.
CUT_DETECTED_S = 2.0
MIN_CUT_SHARE = 2 / 3
# VMs that aren't cut are judged by this many requests or more.
MIN_SAMPLE = 20
# So many requests may fail there in any case, as the published rule says: in a large fleet a VM
# without links gets a few requests in all, and the first of them finds the cut.
MAX_FAILED_AT_CUT, MAX_FAILED_SHARE = 10, 1 / 50
REQUEST_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


@frozen(kw_only=True)
class Outcome:
    """Result of one request as its client observed it."""

    request_id: str
    kind: str
    vm: str
    sent_s: float
    ended_s: float
    # None if the connection ended before the answer was complete.
    status: int | None
    body: bytes = b""
    is_connected: bool = True


@frozen(kw_only=True)
class CutVms:
    """VMs whose links to all servers were cut, how and when."""

    mode: str
    vms: frozenset[str]
    from_s: float
    until_s: float


@define(kw_only=True, slots=False)
class Clients:
    """Sender of random requests that records their outcomes."""

    fleet: SoakFleet
    random: Random
    outcomes: list[Outcome] = field(factory=list)
    _ids: "itertools.count[int]" = field(factory=itertools.count)

    async def run(self, until_s: float) -> None:
        """Send requests until a point in time, then wait for those in progress."""
        tasks: set[asyncio.Task[None]] = set()
        timeout = aiohttp.ClientTimeout(total=30, sock_connect=CONNECT_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while time.monotonic() < until_s:
                tasks.add(asyncio.create_task(self._send(session)))
                await asyncio.sleep(self.random.uniform(0.01, 0.05))
            await asyncio.gather(*tasks)

    async def _send(self, session: aiohttp.ClientSession) -> None:
        daemon = self.random.choice(self.fleet.daemons)
        kind = self.random.choice(sorted(KINDS))
        request_id = f"r{next(self._ids)}"
        headers = {
            "Host": HOST,
            REQUEST_ID: request_id,
            "Pomelobarrow-Request-Deadline": str(TIMEOUT_MS + 2_000),
        }
        url = f"http://{self.fleet.front(daemon)}/{kind}/x"
        sent_s, status, body, is_connected = time.monotonic(), None, b"", True
        try:
            async with session.post(url, headers=headers, data=b"body") as response:
                body = await response.read()
                status = response.status
        except aiohttp.ClientConnectorError:
            is_connected = False
        except REQUEST_ERRORS:
            pass
        self.outcomes.append(
            Outcome(
                request_id=request_id,
                kind=kind,
                vm=daemon.vm,
                sent_s=sent_s,
                ended_s=time.monotonic(),
                status=status,
                body=body,
                is_connected=is_connected,
            )
        )


def find_violations(clients: Clients, faults: Faults) -> list[str]:
    """Return a line for each violated guarantee."""
    found = [
        line
        for each in clients.outcomes
        for line in _violations_of_request(each, clients.fleet, faults)
    ]
    return found + _late_at_draining_servers(clients.fleet, faults)


def _violations_of_request(outcome: Outcome, fleet: SoakFleet, faults: Faults) -> list[str]:
    runs, kind = fleet.runs.counts[outcome.request_id], KINDS[outcome.kind][0]
    name = f"{outcome.request_id} ({outcome.kind} at {outcome.vm})"
    may_repeat = kind == "idempotent" or KINDS[outcome.kind][2]
    took_s = outcome.ended_s - outcome.sent_s
    bound_s = TIMEOUT_MS / 1_000 + ANSWER_SLACK_S
    checks = (
        (runs > 1 and not may_repeat, f"{name} ran {runs} times"),
        (outcome.status in NOT_RUN_STATUSES and runs > 0, f"{name} was refused but ran"),
        (outcome.status == 200 and not _is_whole(outcome), f"{name} got {outcome.body[:80]!r}"),
        (
            took_s > bound_s and not _overlaps_fault(faults, outcome, ("daemon",)),
            f"{name} took {took_s:.1f} s",
        ),
        (
            outcome.status is None and outcome.is_connected and _is_planned_cut(outcome, faults),
            f"{name} was cut off by a planned stop",
        ),
    )
    return [line for is_broken, line in checks if is_broken]


def _is_whole(outcome: Outcome) -> bool:
    if KINDS[outcome.kind][0] == "stream":
        return outcome.body == b"".join(events_after(outcome.request_id, 0))
    return outcome.body == whole_body(outcome.request_id)


def _overlaps_fault(faults: Faults, outcome: Outcome, kinds: tuple[str, ...]) -> bool:
    return any(
        span.kind in kinds
        and span.from_s < outcome.ended_s
        and span.until_s > outcome.sent_s - CALM_S
        for span in faults.spans
    )


def _is_planned_cut(outcome: Outcome, faults: Faults) -> bool:
    """Return whether only a planned stop can have cut a request off."""
    stops = [s for s in faults.spans if s.kind == "planned stop" and s.target == outcome.vm]
    is_during = any(s.from_s - 1.0 < outcome.sent_s < s.until_s for s in stops)
    is_broken_by_server = KINDS[outcome.kind][0] == "stream"
    is_calm = not _overlaps_fault(faults, outcome, ("daemon", "server"))
    return is_during and is_calm and not is_broken_by_server


def _late_at_draining_servers(fleet: SoakFleet, faults: Faults) -> list[str]:
    """Return requests that reached a draining server too late, unless other faults explain it."""
    found = []
    for span in faults.spans:
        if span.kind != DRAINING or _overlaps_other_fault(faults, span):
            continue
        found += [
            f"{request_id} reached {span.target} after it began to drain"
            for request_id, at_s in fleet.runs.arrivals[span.target]
            if span.from_s + DRAIN_LIMIT_S < at_s < span.until_s
        ]
    return found


def _overlaps_other_fault(faults: Faults, span: Span) -> bool:
    """Return whether a fault hit the store or a daemon during a span or shortly before."""
    return any(
        other.kind in ("store", "daemon", "planned stop", PARTITION)
        and other.from_s < span.until_s
        and other.until_s > span.from_s - CALM_S
        for other in faults.spans
    )


def find_unserved_at_cut_vms(
    clients: Clients, cuts: Iterable[CutVms], min_share: float
) -> list[str]:
    """Return a line for each cut in which its VMs, or the others, served too few requests."""
    found = []
    for cut in cuts:
        served: dict[bool, list[bool]] = {True: [], False: []}
        for each in clients.outcomes:
            if cut.from_s + CUT_DETECTED_S <= each.sent_s < cut.until_s:
                served[each.vm in cut.vms].append(each.status == 200)
        at_cut, at_others = (sum(each) / max(1, len(each)) for each in served.values())
        requests = len(served[True]) + len(served[False])
        allowed_failures = MAX_FAILED_AT_CUT + MAX_FAILED_SHARE * requests
        is_exceeded = served[True].count(False) > allowed_failures
        if at_cut < MIN_CUT_SHARE * at_others and is_exceeded:
            found.append(f"{cut.mode}: {at_cut:.0%} served at cut VMs, {at_others:.0%} at others")
        if len(served[False]) >= MIN_SAMPLE and at_others < min_share:
            found.append(f"{cut.mode}: {at_others:.0%} served at VMs that reach their servers")
    return found


def served_share(clients: Clients, from_s: float, until_s: float) -> float:
    """Return the share of the requests sent in a time that succeeded."""
    late = [outcome for outcome in clients.outcomes if from_s <= outcome.sent_s < until_s]
    served = [outcome for outcome in late if outcome.status == 200]
    return len(served) / len(late) if late else 0.0
