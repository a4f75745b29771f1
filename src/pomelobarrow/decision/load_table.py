"""Keep what this VM knows of its region's backend servers."""

import math
from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence

from attrs import define

from pomelobarrow.decision.group_servers import GroupServers
from pomelobarrow.decision.peer_counts import NOTHING, PeerCounts
from pomelobarrow.decision.prefill_rates import PrefillRates
from pomelobarrow.decision.prefix_index import PrefixIndex
from pomelobarrow.decision.report_clock import ReportClock
from pomelobarrow.decision.server_health import ServerHealth
from pomelobarrow.decision.server_limits import ServerLimits
from pomelobarrow.decision.server_load import Charge, ServerLoad
from pomelobarrow.decision.server_pauses import ServerPauses
from pomelobarrow.decision.service_times import ServiceTimes
from pomelobarrow.decision.work import BackendServer, InFlight, LoadReport

HEARD_EWMA_WEIGHT = 0.1
MAX_HEARD_GAP_S = 5.0
# Peers are told of a glimpse at the next heartbeat; later it says nothing of the present.
GLIMPSE_GOOD_FOR_S = 2.0


@define(kw_only=True)
class ServerState:
    """Show one usable backend server as a choice sees it."""

    server: BackendServer
    requests: int
    others_requests: int
    # By how many the count of others' requests may be off.
    requests_deviation: float
    # Prompt tokens still to be computed: of this VM's requests, known exactly, and of all others.
    own_tokens: int
    others_tokens: int
    # Tokens that the requests in flight may come to hold.
    kv_tokens: int
    # Slots that work may fill now; fewer during slow start.
    slots: float
    # How surely a stream there is late now, from what streams of this VM show.
    seen_late_share: float = 0.0
    # The share of its time that it spends reading prompts.
    prefill_share: float = 0.0


class LoadTable:
    """Add up reports, own charges and peers' counts for each server."""

    def __init__(self, own_region: str) -> None:
        self.own_region = own_region
        self.prefixes = PrefixIndex()
        self.pauses = ServerPauses()
        self.prefill_rates = PrefillRates()
        self.limits = ServerLimits()
        # Failure domains that are being emptied: their servers get no new work.
        self.closed_domains: frozenset[str] = frozenset()
        # Whether one VM for each server places nearly all that it has to read. That VM alone tells
        # of it then, and as much again for each VM that isn't heard would be many times too much.
        self.is_coordinated = False
        self._servers: dict[str, BackendServer] = {}
        self._pools: dict[str, tuple[BackendServer, ...]] = {}
        self._loads: dict[str, ServerLoad] = {}
        self._health: dict[str, ServerHealth] = {}
        self._clocks: defaultdict[str, ReportClock] = defaultdict(ReportClock)
        self._charges: dict[str, Charge] = {}
        self._peers: dict[str, PeerCounts] = {}
        self._heard_every_s = 0.0
        self._glimpses: dict[str, LoadReport] = {}
        self._times: dict[str, ServiceTimes] = {}
        self._groups: defaultdict[str, GroupServers] = defaultdict(GroupServers)

    def set_servers(self, servers: Iterable[BackendServer]) -> None:
        """Take over the platform's list; servers of other regions are left out."""
        listed = {s.name: s for s in servers if s.region == self.own_region}
        for name in listed.keys() & self._servers.keys():
            if listed[name].born_unix_ms != self._servers[name].born_unix_ms:
                self._forget_incarnation(name)
        self._servers = listed
        self.limits.keep_only(listed.values())
        pools = {server.pool for server in self._servers.values()}
        self._pools = {
            pool: tuple(s for s in self._servers.values() if s.pool == pool) for pool in pools
        }
        for name in self._servers:
            self._loads.setdefault(name, ServerLoad())
            self._health.setdefault(name, ServerHealth())
        gone = set(self._loads) - set(self._servers)
        for name in gone:
            # Requests that still run there are released by id and need the entry until then.
            if self._loads[name].own_requests == 0:
                self._forget_server(name)
        capacities = {s.name: s.kv_capacity_tokens for s in self._servers.values()}
        self.prefixes.set_capacities(capacities)

    def observe_report(self, report: LoadReport, received_unix_s: float) -> None:
        """Take in a server's report."""
        load = self._loads.get(report.server)
        if load is None:
            return
        clock = self._clocks[report.server]
        measured_unix_s = clock.local_unix_s(report.measured_unix_s, received_unix_s)
        near = {vm: peer.near(report.server, measured_unix_s) for vm, peer in self._peers.items()}
        load.observe_report(report, measured_unix_s, near)

    def observe_partial_report(self, report: LoadReport, now_unix_s: float) -> None:
        """Take in what a server told this VM with an answer, and keep it to be told to peers."""
        self._glimpses[report.server] = report
        self.observe_report(report, now_unix_s)

    def partial_reports(self, now_unix_s: float) -> list[LoadReport]:
        """Return what servers told this VM itself of late."""
        oldest_unix_s = now_unix_s - GLIMPSE_GOOD_FOR_S
        return [each for each in self._glimpses.values() if each.measured_unix_s >= oldest_unix_s]

    def observe_peer(self, vm: str, in_flight: Mapping[str, InFlight], now_unix_s: float) -> None:
        """Take in what a peer has in flight on each server."""
        old = self._peers.get(vm, PeerCounts())
        if vm in self._peers:
            gap_s = min(now_unix_s - old.latest_unix_s, MAX_HEARD_GAP_S)
            self._heard_every_s += HEARD_EWMA_WEIGHT * (gap_s - self._heard_every_s)
        self._peers[vm] = old.after(in_flight, now_unix_s)
        for name in old.latest.keys() | in_flight.keys():
            load = self._loads.get(name)
            if load is not None:
                load.replace_peer(old.latest.get(name, NOTHING), in_flight.get(name, NOTHING))

    def forget_peer(self, vm: str) -> None:
        """Drop a peer's counts; what it left running is in the servers' reports."""
        for times in self._times.values():
            times.forget_peer(vm)
        self.prefill_rates.forget_peer(vm)
        peer = self._peers.pop(vm, None)
        if peer is None:
            return
        for name, load in self._loads.items():
            load.forget_peer(vm, peer.latest.get(name, NOTHING))

    def charge(
        self,
        request_id: str,
        server_name: str,
        tokens: int,
        now_unix_s: float,
        kv_tokens: int = 0,
    ) -> None:
        """Count a placement: its uncached prompt tokens, and all tokens it may come to hold."""
        self.release(request_id, now_unix_s)
        load = self._loads.setdefault(server_name, ServerLoad())
        charge = Charge(
            server_name=server_name,
            tokens=tokens,
            kv_tokens=kv_tokens,
            charged_unix_s=now_unix_s,
            tokens_ahead=self._tokens_ahead(server_name, load, now_unix_s),
        )
        self._charges[request_id] = charge
        load.add(charge)
        if server_name in self._servers:
            self.limits.take(self._servers[server_name], now_unix_s)
        self.prefill_rates.add(server_name, self._pool_of(server_name), tokens, now_unix_s)
        self._times_of(server_name).observe_charge(tokens, kv_tokens)

    def started(self, request_id: str, now_unix_s: float) -> None:
        """Note a request's first token."""
        charge = self._charges.get(request_id)
        if charge is None or charge.started_unix_s is not None:
            return
        self._loads[charge.server_name].start(charge, now_unix_s)
        times = self._times_of(charge.server_name)
        if charge.tokens_ahead is not None:
            tokens = charge.tokens_ahead + charge.tokens
            times.observe_start(tokens, now_unix_s - charge.charged_unix_s)

    def release(self, request_id: str, now_unix_s: float) -> None:
        """Note that a request ended, however it ended."""
        charge = self._charges.pop(request_id, None)
        if charge is None:
            return
        if charge.started_unix_s is not None:
            hold_s = now_unix_s - charge.charged_unix_s
            self._times_of(charge.server_name).observe_finish(hold_s)
        self._loads[charge.server_name].release(charge, now_unix_s)

    def in_flight(self) -> Mapping[str, InFlight]:
        """Return this VM's own counts, for heartbeats."""
        return {name: load.own for name, load in self._loads.items() if load.own_requests}

    def mark_failed(self, server_name: str, now_unix_s: float) -> None:
        """Note that a server could not be reached or broke off."""
        if server_name in self._health:
            self._health[server_name].mark_failed(now_unix_s)

    def mark_ok(self, server_name: str, now_unix_s: float) -> None:
        """Note that a server answered."""
        if server_name in self._health:
            self._health[server_name].mark_ok(now_unix_s)

    def eject(self, server_name: str, now_unix_s: float) -> None:
        """Leave a server out for a while."""
        if server_name in self._health:
            self._health[server_name].eject(now_unix_s)

    def is_ejected(self, server_name: str, now_unix_s: float) -> bool:
        """Say whether a server gets no work because it failed of late."""
        health = self._health.get(server_name)
        return health is not None and health.is_ejected(now_unix_s)

    def pool_servers(self, pool: str) -> tuple[BackendServer, ...]:
        """Return the listed servers of a pool."""
        return self._pools.get(pool, ())

    def usable(self, pool: str, now_unix_s: float) -> Sequence[ServerState]:
        """Return the servers of a pool that may get new work."""
        return self.states(self.usable_servers(pool, now_unix_s), pool, now_unix_s)

    def usable_servers(self, pool: str, now_unix_s: float) -> Sequence[BackendServer]:
        """Return the servers of a pool that may get new work, without their state."""
        staying = [s for s in self.pool_servers(pool) if not self._leaves(s)]
        # A lapsed lease is no proof that a server is gone; where others hold theirs, they go first.
        staying = [s for s in staying if not s.is_lease_expired] or staying
        healthy = [s for s in staying if not self._health[s.name].is_ejected(now_unix_s)]
        # When every server is ejected, the fault is likelier on this side; an empty pool would
        # refuse work that a server could run, so all are tried.
        return healthy or staying

    def next_allowed_unix_s(
        self, pool: str, excluded: Collection[str], now_unix_s: float
    ) -> float | None:
        """Return when servers' own limits let this VM send next, None where they let it now."""
        if not self.limits.named:
            return None
        usable = [s for s in self.usable_servers(pool, now_unix_s) if s.name not in excluded]
        next_unix_s = min((self.limits.next_unix_s(s, now_unix_s) for s in usable), default=0.0)
        return next_unix_s if next_unix_s > now_unix_s else None

    def states(
        self, servers: Iterable[BackendServer], pool: str, now_unix_s: float
    ) -> list[ServerState]:
        """Return the state of some servers of a pool."""
        times = self.service_times(pool)
        # As many come as go; either count varies by its square root.
        unseen_share = 2.0 * self.view_age_s / max(times.hold_s, 1e-3)
        of_pool = self.prefill_rates.share_of_pool(
            pool, len(self.pool_servers(pool)), times.s_per_prefill_token, now_unix_s
        )
        return [self._state(s, unseen_share, of_pool, times, now_unix_s) for s in servers]

    @property
    def view_age_s(self) -> float:
        """Return how old what peers told is on average."""
        return self._heard_every_s / 2.0

    def unseen_s(self, states: Sequence[ServerState], pool: str) -> float:
        """Return the seconds of prefill that peers have placed since they were last heard."""
        times = self.service_times(pool)
        placed_per_s = sum(s.others_requests for s in states) / max(times.hold_s, 1e-3)
        return placed_per_s * self.view_age_s * times.tokens * times.s_per_prefill_token

    def group_servers(self, pool: str, key: int) -> tuple[BackendServer, ...]:
        """Return the servers that a prompt group hashes to, the same on every VM."""
        return self._groups[pool].of(key, self.pool_servers(pool))

    def report(self, server_name: str) -> LoadReport | None:
        """Return a server's newest report."""
        load = self._loads.get(server_name)
        return load.report if load else None

    def service_times(self, pool: str) -> ServiceTimes:
        """Return what was learned of a pool."""
        times = self._times.get(pool)
        if times is None:
            times = self._times[pool] = ServiceTimes()
        return times

    def all_service_times(self) -> Iterable[tuple[str, ServiceTimes]]:
        """Return what was learned of each pool that has servers here."""
        return [(pool, times) for pool, times in self._times.items() if pool in self._pools]

    def drain_per_s(self, pool: str, now_unix_s: float) -> float:
        """Return how many requests a second the pool finishes when full."""
        hold_s = max(self.service_times(pool).hold_s, 1e-3)
        return sum(
            min(
                server.slots * self._health[server.name].admitted_share(now_unix_s) / hold_s,
                self.limits.limit_per_s(server),
            )
            for server in self.usable_servers(pool, now_unix_s)
        )

    def is_in_service(self, server: BackendServer) -> bool:
        """Say whether a server is listed, the same incarnation, and has not said that it leaves."""
        listed = self._servers.get(server.name)
        return (
            listed is not None and self.is_current_incarnation(server) and not self._leaves(listed)
        )

    def _leaves(self, server: BackendServer) -> bool:
        report = self._loads[server.name].report
        is_closed = server.failure_domain in self.closed_domains
        return is_closed or server.leaving or (report is not None and report.leaving)

    def _state(
        self,
        server: BackendServer,
        unseen_share: float,
        reading_share_of_pool: float,
        times: ServiceTimes,
        now_unix_s: float,
    ) -> ServerState:
        load = self._loads[server.name]
        others = round(self._others_requests(load, times, now_unix_s))
        unheard_tokens = 1.0 if self.is_coordinated else self._unheard_factor(load)
        others_tokens = round((load.tokens(now_unix_s) - load.own_tokens) * unheard_tokens)
        return ServerState(
            server=server,
            requests=load.own_requests + others,
            others_requests=others,
            requests_deviation=math.sqrt(others * unseen_share),
            own_tokens=load.own_tokens,
            others_tokens=others_tokens,
            kv_tokens=load.own_kv_tokens + round(others * times.kv_tokens),
            slots=server.slots * self._health[server.name].admitted_share(now_unix_s),
            seen_late_share=self.pauses.late_share(server.name, now_unix_s),
            prefill_share=self.prefill_rates.share(
                server.name, reading_share_of_pool, times.s_per_prefill_token, now_unix_s
            ),
        )

    def _others_requests(self, load: ServerLoad, times: ServiceTimes, now_unix_s: float) -> float:
        """Return how many requests all other VMs have at a server.

        What a server told with an answer counts while those that it had then are still there. The
        counts that are heard say the same where all VMs are heard, and else hold a part of them
        only: in a region of 65 VMs the counts of 14 tell a full server from an empty one by chance.
        """
        heard = max(0, load.requests(now_unix_s) - load.own_requests)
        if not load.is_glimpsed:
            return heard * self._unheard_factor(load)
        extrapolated = load.peers_requests * self._unheard_factor(load)
        age_s = max(0.0, now_unix_s - load.measured_unix_s)
        weight = math.exp(-age_s / max(times.hold_s, 1e-3))
        return weight * heard + (1.0 - weight) * extrapolated

    def _unheard_factor(self, load: ServerLoad) -> float:
        """Return by how much more all other VMs have at a server than those that tell of it.

        In a large region a VM hears some of the others only. Where servers report their own load,
        that has the rest in it; elsewhere the rest is taken to do as those do, since clients spread
        over all VMs. Left out, a server that is full looks two thirds empty.
        """
        is_whole = load.report is not None and not load.is_glimpsed
        if is_whole or not self._peers:
            return 1.0
        return max(1.0, (self.prefill_rates.region_vms - 1) / len(self._peers))

    def _tokens_ahead(self, name: str, load: ServerLoad, now_unix_s: float) -> int | None:
        """Return the prefill before a new request, where that is all it waits for."""
        server = self._servers.get(name)
        if server is None:
            return None
        state = self.states((server,), server.pool, now_unix_s)[0]
        surely_has_slot = state.requests + 2.0 * state.requests_deviation < server.slots
        return load.tokens(now_unix_s) if surely_has_slot else None

    def is_current_incarnation(self, server: BackendServer) -> bool:
        """Say whether a server hasn't started again since."""
        listed = self._servers.get(server.name)
        return listed is None or listed.born_unix_ms == server.born_unix_ms

    def _forget_incarnation(self, name: str) -> None:
        """Begin anew with a server that started again under its name.

        Requests, failures and cached prompts of the incarnation before would be held against it,
        and their late ends taken off its own counts.
        """
        self._forget_server(name)
        self.prefixes.forget(name)
        gone = [id_ for id_, charge in self._charges.items() if charge.server_name == name]
        for request_id in gone:
            del self._charges[request_id]

    def _forget_server(self, name: str) -> None:
        self._loads.pop(name, None)
        self._health.pop(name, None)
        self._clocks.pop(name, None)
        self._glimpses.pop(name, None)
        self.pauses.forget(name)
        self.prefill_rates.forget(name)
        # Kept, these would be taken off the counts of the next server of that name.
        self._peers = {vm: counts.without(name) for vm, counts in self._peers.items()}

    def _times_of(self, server_name: str) -> ServiceTimes:
        return self.service_times(self._pool_of(server_name))

    def _pool_of(self, server_name: str) -> str:
        server = self._servers.get(server_name)
        return server.pool if server else ""
