"""This VM's view of its region's backend servers: load, health, caches and service times."""

import math
from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence

from pomelobarrow.decision.prompts.group_servers import GroupServers
from pomelobarrow.decision.prompts.prefill_rates import PrefillRates
from pomelobarrow.decision.prompts.prefix_index import PrefixIndex
from pomelobarrow.decision.requests.short_key import server_key
from pomelobarrow.decision.requests.work import BackendServer, InFlight, LoadReport
from pomelobarrow.decision.servers.departures import Departures, DepartureSource
from pomelobarrow.decision.servers.health_table import HealthTable
from pomelobarrow.decision.servers.others_load import others_reader
from pomelobarrow.decision.servers.partial_reports import PartialReports
from pomelobarrow.decision.servers.peer_counts import NOTHING, PeerCounts, counts_near
from pomelobarrow.decision.servers.preferred_servers import PreferredServers
from pomelobarrow.decision.servers.present_speed import PresentSpeeds
from pomelobarrow.decision.servers.reachability import ServerReachability
from pomelobarrow.decision.servers.report_clock import ReportClock
from pomelobarrow.decision.servers.server_limits import ServerLimits
from pomelobarrow.decision.servers.server_load import Charge, ServerLoad
from pomelobarrow.decision.servers.server_pauses import ServerPauses
from pomelobarrow.decision.servers.server_state import ServerState
from pomelobarrow.decision.servers.server_states import (
    PoolView,
    StateOf,
    state_reader_of_pool,
    turnover,
)
from pomelobarrow.decision.servers.service_times import ServiceTimes

GAP_EWMA_WEIGHT = 0.1
MAX_HEARTBEAT_GAP_S = 5.0


class LoadTable:
    """Estimates each server's load from reports, own charges and peers' counts."""

    def __init__(self, own_region: str, departures: Departures | None = None) -> None:
        self.own_region = own_region
        self.departures = departures or Departures()
        self.departures.listeners.append(self._on_departure)
        self.prefixes = PrefixIndex()
        self.pauses = ServerPauses()
        self.prefill_rates = PrefillRates()
        self.limits = ServerLimits()
        self.speeds = PresentSpeeds()
        self.partial_reports = PartialReports()
        self.reachability = ServerReachability(pool_servers=self.staying_servers)
        # Failure domains that are being evacuated: their servers get no new work.
        self.closed_domains: frozenset[str] = frozenset()
        # Whether each server has a coordinating VM that places nearly all of its prefill. That VM's
        # count then covers it, and extrapolating it to VMs that this one receives no counts from
        # would give many times the real amount.
        self.is_prefill_coordinated = False
        self._servers: dict[str, BackendServer] = {}
        self._pools: dict[str, tuple[BackendServer, ...]] = {}
        self._preferred = PreferredServers(self.staying_servers)
        self._loads: dict[str, ServerLoad] = {}
        self._health = HealthTable()
        self._clocks: defaultdict[str, ReportClock] = defaultdict(ReportClock)
        self._charges: dict[str, Charge] = {}
        self._peers: dict[str, PeerCounts] = {}
        self._mean_heartbeat_gap_s = 0.0
        self._times: dict[str, ServiceTimes] = {}
        self._groups: defaultdict[str, GroupServers] = defaultdict(GroupServers)

    def set_servers(self, servers: Iterable[BackendServer]) -> None:
        """Replace the servers by the platform's list, without those of other regions."""
        own = (server for server in servers if server.region == self.own_region)
        listed = {server.name: self.departures.marked(server) for server in own}
        for name in listed.keys() & self._servers.keys():
            if listed[name].born_unix_ms != self._servers[name].born_unix_ms:
                self._forget_incarnation(name)
        self._servers = listed
        self._preferred.clear()
        self.limits.keep_only(listed.values())
        pools = {server.pool for server in self._servers.values()}
        self._pools = {p: tuple(s for s in self._servers.values() if s.pool == p) for p in pools}
        for name in self._servers:
            self._loads.setdefault(name, ServerLoad())
            self._health.add(name)
        gone = set(self._loads) - set(self._servers)
        for name in gone:
            # Requests that still run there are released by id and need the entry until then.
            if self._loads[name].own_requests == 0:
                self._forget_server(name)
        capacities = {s.name: s.kv_capacity_tokens for s in self._servers.values()}
        self.prefixes.set_capacities(capacities)

    def observe_report(self, report: LoadReport, received_unix_s: float) -> None:
        """Update a server's load by its report."""
        load = self._loads.get(report.server)
        if load is None:
            return
        clock = self._clocks[report.server]
        measured_unix_s = clock.local_unix_s(report.measured_unix_s, received_unix_s)
        if measured_unix_s > load.measured_unix_s:
            counts = counts_near(self._peers, report.server, measured_unix_s)
            load.observe_report(report, measured_unix_s, counts)
        self.speeds.observe(report.server, report.slowdown, measured_unix_s)
        if report.leaving and report.server in self._servers:
            key = server_key(self._servers[report.server])
            self.departures.observe(key, DepartureSource.REPORT, received_unix_s)

    def observe_partial_report(self, report: LoadReport, now_unix_s: float) -> None:
        """Update a server's load by a report that came with an answer, and keep it for peers."""
        self.partial_reports.add(report)
        self.observe_report(report, now_unix_s)

    def observe_peer(self, vm: str, in_flight: Mapping[str, InFlight], now_unix_s: float) -> None:
        """Update a peer's requests in flight on each server."""
        old = self._peers.get(vm, PeerCounts())
        if vm in self._peers:
            gap_s = min(now_unix_s - old.latest_unix_s, MAX_HEARTBEAT_GAP_S)
            self._mean_heartbeat_gap_s += GAP_EWMA_WEIGHT * (gap_s - self._mean_heartbeat_gap_s)
        self._peers[vm] = old.after(in_flight, now_unix_s)
        for name, count, new_count in old.changes(in_flight):
            if (load := self._loads.get(name)) is not None:
                load.replace_peer(count, new_count)

    def forget_peer(self, vm: str) -> None:
        """Drop a peer's data; requests that it left running are counted by servers' reports."""
        for times in self._times.values():
            times.forget_peer(vm)
        self.prefill_rates.forget_peer(vm)
        peer = self._peers.pop(vm, None)
        if peer is None:
            return
        for name, load in self._loads.items():
            load.forget_peer(vm, peer.latest.get(name, NOTHING))

    def charge(
        self, request_id: str, server_name: str, tokens: int, now_unix_s: float, kv_tokens: int = 0
    ) -> None:
        """Add a placement: its uncached prompt tokens, and the KV cache tokens it may use."""
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
        """Record a request's first token."""
        charge = self._charges.get(request_id)
        if charge is None or charge.started_unix_s is not None:
            return
        self._loads[charge.server_name].start(charge, now_unix_s)
        server = self._servers.get(charge.server_name)
        if server is not None and not self.limits.is_empty:
            self.limits.backoffs.note_answer(server.incarnation, charge.charged_unix_s)
        times = self._times_of(charge.server_name)
        if charge.tokens_ahead is not None:
            tokens = charge.tokens_ahead + charge.tokens
            took_s = now_unix_s - charge.charged_unix_s
            times.observe_start(tokens, self.speeds.usual_s(charge.server_name, took_s, now_unix_s))

    def release(self, request_id: str, now_unix_s: float) -> None:
        """Remove a request that has ended, whatever its outcome."""
        charge = self._charges.pop(request_id, None)
        if charge is None:
            return
        if charge.started_unix_s is not None:
            hold_s = now_unix_s - charge.charged_unix_s
            self._times_of(charge.server_name).observe_finish(hold_s)
        self._loads[charge.server_name].release(charge, now_unix_s)
        server = self._servers.get(charge.server_name)
        if server is not None and not self.limits.is_empty:
            self.limits.backoffs.release(server.incarnation, charge.charged_unix_s)

    def in_flight(self) -> Mapping[str, InFlight]:
        """Return this VM's own requests in flight by server, for heartbeats."""
        return {name: load.own for name, load in self._loads.items() if load.own_requests}

    def own_requests(self, server_name: str) -> int:
        """Return how many requests this VM has at a server."""
        load = self._loads.get(server_name)
        return load.own_requests if load else 0

    def mark_failed(self, server_name: str, now_unix_s: float) -> None:
        """Record that a server was unreachable or broke off an answer."""
        self._health.mark_failed(server_name, now_unix_s)

    def mark_ok(self, server_name: str, now_unix_s: float) -> None:
        """Record that a server answered."""
        self._health.mark_ok(server_name, now_unix_s)

    def forgive(self, server_name: str) -> None:
        """Drop a server's failures and ejections."""
        self._health.forgive(server_name)

    def eject(self, server_name: str, now_unix_s: float) -> None:
        """Eject a server for a while."""
        self._health.eject(server_name, now_unix_s)

    def is_ejected(self, server_name: str, now_unix_s: float) -> bool:
        """Return whether a server gets no work because of recent failures."""
        return self._health.is_ejected(server_name, now_unix_s)

    def pool_servers(self, pool: str) -> tuple[BackendServer, ...]:
        """Return the listed servers of a pool."""
        return self._pools.get(pool, ())

    def staying_servers(self, pool: str) -> list[BackendServer]:
        """Return the listed servers of a pool that don't leave."""
        return [s for s in self.pool_servers(pool) if not self._is_leaving(s)]

    def usable(self, pool: str, now_unix_s: float) -> Sequence[ServerState]:
        """Return the servers of a pool that may get new work."""
        return self.states(self.usable_servers(pool, now_unix_s), pool, now_unix_s)

    def usable_servers(self, pool: str, now_unix_s: float) -> Sequence[BackendServer]:
        """Return the servers of a pool that may get new work, without computing their states."""
        willing, backoffs = self._preferred.of(pool, self.closed_domains), self.limits.backoffs
        if not backoffs.is_empty:
            willing = [s for s in willing if not backoffs.is_backing_off(s, now_unix_s)]
        healthy = self._health.without_ejected(willing, now_unix_s)
        # If every server is ejected, the fault is more likely on this side. All of them are tried
        # then, as an empty pool would refuse work that a server could run.
        return healthy or willing

    def backing_off_servers(self, pool: str, now_unix_s: float) -> list[BackendServer]:
        """Return the servers of a pool that stay and want nothing from this VM now."""
        backoffs = self.limits.backoffs
        return [
            server
            for server in self.pool_servers(pool)
            if not self._is_leaving(server) and backoffs.is_backing_off(server, now_unix_s)
        ]

    def takes_requests(self, server: BackendServer, now_unix_s: float) -> bool:
        """Return whether a server stays and has not asked this VM for a pause."""
        is_backing_off = self.limits.backoffs.is_backing_off(server, now_unix_s)
        return not is_backing_off and self.is_in_service(server)

    def next_allowed_unix_s(
        self, pool: str, excluded: Collection[str], now_unix_s: float
    ) -> float | None:
        """Return when servers' limits and pauses allow the next request, None if they do now."""
        if self.limits.is_empty:
            return None
        servers = [
            *self.usable_servers(pool, now_unix_s),
            *self.backing_off_servers(pool, now_unix_s),
        ]
        times = [self.limits.next_unix_s(s, now_unix_s) for s in servers if s.name not in excluded]
        next_unix_s = min(times, default=0.0)
        return next_unix_s if next_unix_s > now_unix_s else None

    def states(
        self, servers: Sequence[BackendServer], pool: str, now_unix_s: float
    ) -> list[ServerState]:
        """Return the states of the given servers of a pool."""
        if not servers:
            return []
        state_of = self.state_reader(pool, now_unix_s)
        return [state_of(server) for server in servers]

    def state_reader(self, pool: str, now_unix_s: float) -> StateOf:
        """Return a function that computes the state of a pool's server."""
        return state_reader_of_pool(
            self._pool_view(pool),
            pool,
            self._loads,
            self._health,
            self.pauses,
            self.prefill_rates,
            self.speeds,
            now_unix_s,
        )

    def _pool_view(self, pool: str) -> PoolView:
        return PoolView(
            times=self.service_times(pool),
            servers=len(self.pool_servers(pool)),
            known_peers=len(self._peers),
            view_age_s=self.view_age_s,
            is_prefill_coordinated=self.is_prefill_coordinated,
        )

    @property
    def view_age_s(self) -> float:
        """Return the mean age of peers' counts."""
        return self._mean_heartbeat_gap_s / 2.0

    def unseen_s(self, states: Sequence[ServerState], pool: str) -> float:
        """Return the seconds of prefill that peers have placed since their last heartbeat."""
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
        """Return the learned service times of a pool."""
        times = self._times.get(pool)
        if times is None:
            times = self._times[pool] = ServiceTimes()
        return times

    def all_service_times(self) -> Iterable[tuple[str, ServiceTimes]]:
        """Return the learned service times of each pool that has servers in this region."""
        return [(pool, times) for pool, times in self._times.items() if pool in self._pools]

    def drain_per_s(self, pool: str, now_unix_s: float) -> float:
        """Return the requests per second that a pool finishes when all its slots are in use."""
        hold_s = max(self.service_times(pool).hold_s, 1e-3)
        return sum(
            min(
                server.slots * self._health.admitted_share(server.name, now_unix_s) / hold_s,
                self.limits.limit_per_s(server),
            )
            for server in self.usable_servers(pool, now_unix_s)
        )

    def is_in_service(self, server: BackendServer) -> bool:
        """Return whether this incarnation of a server is listed and isn't leaving."""
        listed = self._servers.get(server.name)
        return (
            listed is not None
            and self.is_current_incarnation(server)
            and not self._is_leaving(listed)
        )

    def _is_leaving(self, server: BackendServer) -> bool:
        return server.leaving or server.failure_domain in self.closed_domains

    def _on_departure(self, key: int, source: DepartureSource) -> None:
        self.set_servers(self._servers.values())

    def _tokens_ahead(self, name: str, load: ServerLoad, now_unix_s: float) -> int | None:
        """Return the prefill tokens ahead of a new request, None if it may wait for a slot too."""
        server = self._servers.get(name)
        if server is None:
            return None
        view, region_vms = self._pool_view(server.pool), self.prefill_rates.region_vms
        read = others_reader(view.times.hold_s, view.known_peers, region_vms, now_unix_s)
        others = round(read(load)[0])
        deviation = math.sqrt(others * turnover(view))
        has_free_slot = load.own_requests + others + 2.0 * deviation < server.slots
        return load.tokens(now_unix_s) if has_free_slot else None

    def is_current_incarnation(self, server: BackendServer) -> bool:
        """Return whether a server hasn't restarted since, or is no longer listed."""
        listed = self._servers.get(server.name)
        return listed is None or listed.born_unix_ms == server.born_unix_ms

    def _forget_incarnation(self, name: str) -> None:
        """Drop all data about the previous incarnation of a restarted server.

        Otherwise the previous one's requests, failures and cached prompts would be attributed to
        the new one, and requests that end late would be subtracted from its counts.
        """
        self._forget_server(name)
        self.prefixes.forget(name)
        gone = [id_ for id_, charge in self._charges.items() if charge.server_name == name]
        for request_id in gone:
            del self._charges[request_id]

    def _forget_server(self, name: str) -> None:
        self._loads.pop(name, None)
        self._health.forget(name)
        self._clocks.pop(name, None)
        self.partial_reports.forget(name)
        self.speeds.forget(name)
        self.pauses.forget(name)
        self.prefill_rates.forget(name)
        # Otherwise these would be subtracted from the counts of the next server of that name.
        self._peers = {vm: counts.without(name) for vm, counts in self._peers.items()}

    def _times_of(self, server_name: str) -> ServiceTimes:
        return self.service_times(self._pool_of(server_name))

    def _pool_of(self, server_name: str) -> str:
        server = self._servers.get(server_name)
        return server.pool if server else ""
