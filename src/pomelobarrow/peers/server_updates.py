"""Exchange the loads and limits of the region's backend servers with peers."""

from collections.abc import Callable, Iterable, Mapping

from attrs import define, field

from pomelobarrow.decision.common.bounded import saturated
from pomelobarrow.decision.requests.short_key import short_key
from pomelobarrow.decision.requests.work import BackendServer, InFlight, LoadReport
from pomelobarrow.decision.servers.load_table import LoadTable
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.ages import age_ms, unix_s_from_age
from pomelobarrow.peers.grid import LinkKind, passes_on
from pomelobarrow.peers.heartbeat_round import HeartbeatRound

PASSED_ON_FOR_S = 5.0
NONE_IN_FLIGHT = InFlight()
# Limits above this value are ignored.
MAX_LIMIT_PER_S = 1e9
NEVER_SENT = -1.0
# The servers for which the counts of one peer are kept.
MAX_COUNTED_SERVERS = 16_384
# What the heartbeats of one round share.
OWN_COUNTS = "own counts"
OWN_REPORTS = "own reports"


@define
class SentServers:
    """Record what was sent to one peer about servers."""

    in_flight: dict[int, InFlight] = field(factory=dict)
    measured_unix_s: dict[str, float] = field(factory=dict)
    # Limits sent on the stream by server key; None for a limit that has ended.
    limits_per_s: dict[int, float | None] = field(factory=dict)


@define(kw_only=True)
class ServerUpdates:
    """Exchange counts in flight with neighbours; spread load reports over the region."""

    table: LoadTable
    servers: Callable[[], Mapping[str, BackendServer]]
    own_reports: Callable[[], Iterable[LoadReport]]
    round: HeartbeatRound = field(factory=HeartbeatRound)
    _counts: dict[str, dict[int, InFlight]] = field(factory=dict)
    # Reports polled by neighbours of the row, to be passed on along the column.
    _row_reports: dict[str, LoadReport] = field(factory=dict)
    # This VM's own counts by server key; a count that hasn't changed remains the same object.
    _own_counts: dict[int, InFlight] = field(factory=dict)
    _keyed_servers: Mapping[str, BackendServer] | None = None
    _name_by_key: dict[int, str] = field(factory=dict)
    _keys: dict[str, int] = field(factory=dict)

    def write(
        self, heartbeat: pb.Heartbeat, sent: SentServers, kind: LinkKind, now_unix_s: float
    ) -> None:
        """Add the counts and reports that are new to this peer."""
        self._write_counts(heartbeat, sent)
        self._write_limits(heartbeat, sent, now_unix_s)
        for report in self.round.shared(OWN_REPORTS, lambda: self._all_own_reports(now_unix_s)):
            self._write_report(heartbeat, sent, report, now_unix_s, is_passed_on=False)
        if passes_on(LinkKind.ROW, kind):
            self._drop_old_reports(now_unix_s)
            for report in self._row_reports.values():
                self._write_report(heartbeat, sent, report, now_unix_s, is_passed_on=True)

    def apply(
        self, heartbeat: pb.Heartbeat, kind: LinkKind, now_unix_s: float, sent_unix_s: float
    ) -> None:
        """Apply the counts, limits and reports in a peer's heartbeat."""
        names = self._names()
        counts = self._merge_counts(heartbeat)
        by_name = {names[key]: count for key, count in counts.items() if key in names}
        self.table.observe_peer(heartbeat.vm, by_name, now_unix_s)
        self._apply_limits(heartbeat, sent_unix_s)
        for each in heartbeat.reports:
            name = names.get(each.server_key)
            if name is None:
                continue
            report = _report(name, each, unix_s_from_age(each.age_ms, sent_unix_s))
            self.table.observe_report(report, now_unix_s)
            # Each VM gets partial reports of its own and those of all its neighbours.
            is_passed_on = each.is_passed_on or each.is_glimpse
            if kind is LinkKind.ROW and not is_passed_on:
                self._row_reports[name] = report

    def forget(self, vm: str) -> None:
        """Drop the counts received from a peer."""
        self._counts.pop(vm, None)

    def _merge_counts(self, heartbeat: pb.Heartbeat) -> dict[int, InFlight]:
        counts = self._counts.setdefault(heartbeat.vm, {})
        if heartbeat.is_whole:
            counts.clear()
        changed = zip(
            heartbeat.server_keys,
            heartbeat.in_flight_requests,
            heartbeat.in_flight_tokens,
            strict=False,
        )
        for key, requests, tokens in changed:
            if requests and (key in counts or len(counts) < MAX_COUNTED_SERVERS):
                counts[key] = InFlight(requests=requests, tokens=tokens)
            else:
                counts.pop(key, None)
        return counts

    def _all_own_reports(self, now_unix_s: float) -> tuple[LoadReport, ...]:
        return (*self.own_reports(), *self.table.partial_reports.recent(now_unix_s))

    def _write_counts(self, heartbeat: pb.Heartbeat, sent: SentServers) -> None:
        own, sent_before = self.round.shared(OWN_COUNTS, self._refreshed_counts), sent.in_flight
        changed = {
            key: count
            for key, count in own.items()
            if (old := sent_before.get(key, NONE_IN_FLIGHT)) is not count and old != count
        }
        changed |= {key: NONE_IN_FLIGHT for key in sent_before if key not in own}
        heartbeat.server_keys.extend(changed)
        heartbeat.in_flight_requests.extend(saturated(each.requests) for each in changed.values())
        heartbeat.in_flight_tokens.extend(saturated(each.tokens) for each in changed.values())
        sent.in_flight = own

    def _refreshed_counts(self) -> dict[int, InFlight]:
        self._names()
        kept, self._own_counts = self._own_counts, {}
        for name, count in self.table.in_flight().items():
            key = self._key(name)
            old = kept.get(key)
            self._own_counts[key] = old if old is not None and old == count else count
        return self._own_counts

    def _write_report(
        self,
        heartbeat: pb.Heartbeat,
        sent: SentServers,
        report: LoadReport,
        now_unix_s: float,
        is_passed_on: bool,
    ) -> None:
        if report.measured_unix_s <= sent.measured_unix_s.get(report.server, 0.0):
            return
        sent.measured_unix_s[report.server] = report.measured_unix_s
        heartbeat.reports.append(
            pb.ServerReport(
                server_key=self._key(report.server),
                age_ms=age_ms(report.measured_unix_s, now_unix_s),
                running=saturated(report.running),
                waiting=saturated(report.waiting),
                kv_tokens_used=saturated(report.kv_tokens_used),
                queued_prefill_tokens=saturated(report.queued_prefill_tokens),
                is_leaving=report.leaving,
                is_passed_on=is_passed_on,
                is_glimpse=report.is_partial,
            )
        )

    def _write_limits(self, heartbeat: pb.Heartbeat, sent: SentServers, now_unix_s: float) -> None:
        """Add the limits that changed; a VM that receives one sends it to its own neighbours."""
        sent_before = sent.limits_per_s
        sent.limits_per_s = {}
        for incarnation, limit in self.table.limits.named.items():
            key = short_key(incarnation)
            sent.limits_per_s[key] = limit.per_s
            if sent_before.get(key, NEVER_SENT) != limit.per_s:
                heartbeat.limits.append(
                    pb.ServerLimit(
                        server_key=key,
                        age_ms=age_ms(limit.named_unix_s, now_unix_s),
                        per_s=limit.per_s or 0.0,
                        has_ended=limit.per_s is None,
                    )
                )

    def _apply_limits(self, heartbeat: pb.Heartbeat, sent_unix_s: float) -> None:
        servers, names = self.servers(), self._names()
        for message in heartbeat.limits:
            server = servers.get(names.get(message.server_key, ""))
            if server is None or not 0.0 <= message.per_s <= MAX_LIMIT_PER_S:
                continue
            per_s = None if message.has_ended else message.per_s
            named_unix_s = unix_s_from_age(message.age_ms, sent_unix_s)
            self.table.limits.observe(server.incarnation, per_s, named_unix_s)

    def _drop_old_reports(self, now_unix_s: float) -> None:
        oldest_unix_s = now_unix_s - PASSED_ON_FOR_S
        for name, report in list(self._row_reports.items()):
            if report.measured_unix_s < oldest_unix_s:
                del self._row_reports[name]

    def _key(self, name: str) -> int:
        # Four bytes identify a server. Among a few hundred servers a collision occurs once in tens
        # of thousands of fleets. The loads of both would then count for one of them only, and the
        # other would be rated by this VM's own charges and reports without those of peers.
        key = self._keys.get(name)
        if key is None:
            server = self.servers().get(name)
            # Updates about the previous incarnation have another key, and don't apply to this one.
            identity = server.incarnation if server is not None else name
            key = self._keys[name] = short_key(identity)
        return key

    def _names(self) -> dict[int, str]:
        servers = self.servers()
        if servers is not self._keyed_servers:
            self._keyed_servers = servers
            self._keys.clear()
            own_region = self.table.own_region
            names = [each.name for each in servers.values() if each.region == own_region]
            self._name_by_key = {self._key(name): name for name in names}
        return self._name_by_key


def _report(name: str, each: pb.ServerReport, measured_unix_s: float) -> LoadReport:
    return LoadReport(
        server=name,
        measured_unix_s=measured_unix_s,
        running=each.running,
        waiting=each.waiting,
        kv_tokens_used=each.kv_tokens_used,
        queued_prefill_tokens=each.queued_prefill_tokens,
        leaving=each.is_leaving,
        is_partial=each.is_glimpse,
    )
