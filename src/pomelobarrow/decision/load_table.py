"""Keep what this VM knows of its region's backend servers."""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

from attrs import frozen

from pomelobarrow.decision.prefix_index import PrefixIndex
from pomelobarrow.decision.report_clock import ReportClock
from pomelobarrow.decision.server_health import ServerHealth
from pomelobarrow.decision.server_load import Charge, ServerLoad
from pomelobarrow.decision.service_times import ServiceTimes
from pomelobarrow.decision.work import BackendServer, InFlight, LoadReport

NOTHING = InFlight()


@frozen(kw_only=True)
class ServerState:
    """Show one usable backend server as a choice sees it."""

    server: BackendServer
    requests: int
    # Prompt tokens still to be computed.
    tokens: int
    # Tokens that the requests in flight may come to hold.
    kv_tokens: int
    # Slots that work may fill now; fewer during slow start.
    slots: float


class LoadTable:
    """Add up reports, own charges and peers' counts for each server."""

    def __init__(self, own_region: str) -> None:
        self.own_region = own_region
        self.prefixes = PrefixIndex()
        self._servers: dict[str, BackendServer] = {}
        self._loads: dict[str, ServerLoad] = {}
        self._health: dict[str, ServerHealth] = {}
        self._clocks: defaultdict[str, ReportClock] = defaultdict(ReportClock)
        self._charges: dict[str, Charge] = {}
        self._peers: dict[str, Mapping[str, InFlight]] = {}
        self._heard_unix_s: dict[str, float] = {}
        self._times: dict[str, ServiceTimes] = {}

    def set_servers(self, servers: Iterable[BackendServer]) -> None:
        """Take over the platform's list; servers of other regions are left out."""
        self._servers = {s.name: s for s in servers if s.region == self.own_region}
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
        load.observe_report(report, clock.local_unix_s(report.measured_unix_s, received_unix_s))

    def observe_peer(self, vm: str, in_flight: Mapping[str, InFlight], now_unix_s: float) -> None:
        """Take in what a peer has in flight on each server."""
        heard_unix_s = self._heard_unix_s.get(vm, float("-inf"))
        for name in {**self._peers.get(vm, {}), **in_flight}:
            load = self._loads.get(name)
            if load is not None:
                heard_since_report = heard_unix_s >= load.measured_unix_s
                load.observe_peer(vm, in_flight.get(name, NOTHING), heard_since_report)
        self._peers[vm] = dict(in_flight)
        self._heard_unix_s[vm] = now_unix_s

    def forget_peer(self, vm: str) -> None:
        """Drop a peer's counts; what it left running is in the servers' reports."""
        self._heard_unix_s.pop(vm, None)
        for name in self._peers.pop(vm, {}):
            load = self._loads.get(name)
            if load is not None:
                load.forget_peer(vm)

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
            tokens_ahead=load.tokens(now_unix_s) + tokens,
        )
        self._charges[request_id] = charge
        load.add(charge)
        self._times_of(server_name).observe_kv(kv_tokens)

    def started(self, request_id: str, now_unix_s: float) -> None:
        """Note a request's first token."""
        charge = self._charges.get(request_id)
        if charge is None or charge.started_unix_s is not None:
            return
        self._loads[charge.server_name].start(charge, now_unix_s)
        times = self._times_of(charge.server_name)
        times.observe_start(charge.tokens_ahead, now_unix_s - charge.charged_unix_s)

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

    def usable(self, pool: str, now_unix_s: float) -> Sequence[ServerState]:
        """Return the servers of a pool that may get new work."""
        staying = [s for s in self._servers.values() if s.pool == pool and not self._leaves(s)]
        healthy = [s for s in staying if not self._health[s.name].is_ejected(now_unix_s)]
        # When every server is ejected, the fault is likelier on this side; an empty pool would
        # refuse work that a server could run, so all are tried.
        return [self._state(s, now_unix_s) for s in healthy or staying]

    def service_times(self, pool: str) -> ServiceTimes:
        """Return what was learned of a pool."""
        return self._times.setdefault(pool, ServiceTimes())

    def drain_per_s(self, pool: str, now_unix_s: float) -> float:
        """Return how many requests a second the pool finishes when full."""
        slots = sum(state.slots for state in self.usable(pool, now_unix_s))
        return slots / max(self.service_times(pool).hold_s, 1e-3)

    def _leaves(self, server: BackendServer) -> bool:
        report = self._loads[server.name].report
        return server.leaving or (report is not None and report.leaving)

    def _state(self, server: BackendServer, now_unix_s: float) -> ServerState:
        load = self._loads[server.name]
        requests = load.requests(now_unix_s)
        kv_tokens_of_others = (requests - load.own_requests) * self.service_times(
            server.pool
        ).kv_tokens
        return ServerState(
            server=server,
            requests=requests,
            tokens=load.tokens(now_unix_s),
            kv_tokens=load.own_kv_tokens + round(kv_tokens_of_others),
            slots=server.slots * self._health[server.name].admitted_share(now_unix_s),
        )

    def _forget_server(self, name: str) -> None:
        self._loads.pop(name, None)
        self._health.pop(name, None)
        self._clocks.pop(name, None)

    def _times_of(self, server_name: str) -> ServiceTimes:
        server = self._servers.get(server_name)
        return self.service_times(server.pool if server else "")
