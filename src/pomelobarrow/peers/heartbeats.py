"""Build heartbeats and take in those of others."""

import itertools
from collections.abc import Callable, Iterable

from attrs import define, field

from pomelobarrow.decision.clocks import ClockOffsets
from pomelobarrow.decision.configuration import Rank
from pomelobarrow.decision.limits import AccountLimits
from pomelobarrow.decision.membership import Member, MembershipView
from pomelobarrow.decision.region_choice import RegionLoad
from pomelobarrow.decision.work import InFlight, LoadReport
from pomelobarrow.dispatch.local import LocalDispatch
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.region_loads import RegionLoads
from pomelobarrow.platform.keyspaces import PublishedState

SUMMARIES_PER_HEARTBEAT = 8


@define(kw_only=True)
class Heartbeats:
    """Hold what heartbeats are made of and what they teach."""

    view: MembershipView
    offsets: ClockOffsets
    published: PublishedState
    local: LocalDispatch
    limits: AccountLimits
    region_loads: RegionLoads
    own_reports: Callable[[], Iterable[LoadReport]]
    _sequence: "itertools.count[int]" = field(factory=lambda: itertools.count(1))
    _summaries_sent: int = 0
    # Per peer: its last heartbeat's sending time and when it came, to be echoed.
    _echoes: dict[str, tuple[float, float]] = field(factory=dict)
    # Per peer: incarnation and sequence of the last heartbeat that carried loads.
    _last_full: dict[str, tuple[int, int]] = field(factory=dict)

    def echo(self, peer: str) -> pb.Heartbeat:
        """Return the short answer to a peer's heartbeat: who we are and how far we are."""
        own = self.view.own
        sent_unix_s, received_unix_s = self._echoes.get(peer, (0.0, 0.0))
        return pb.Heartbeat(
            vm=own.vm,
            incarnation=own.incarnation,
            region=own.region,
            failure_domain=own.failure_domain,
            caller_address=own.caller_address,
            peer_address=own.peer_address,
            phase=own.phase,
            sequence=next(self._sequence),
            sent_unix_s=now_unix_s(),
            echo_sent_unix_s=sent_unix_s,
            echo_received_unix_s=received_unix_s,
            keyspaces=[
                pb.KeyspaceState(
                    name=name,
                    revision=copy.observed_revision,
                    digest=copy.digest,
                    revision_in_force=copy.revision,
                )
                for name, copy in self.published.copies.items()
            ],
        )

    def full(self, peer: str, same_region: bool) -> pb.Heartbeat:
        """Return a heartbeat with the loads that this peer can use."""
        heartbeat = self.echo(peer)
        now = now_unix_s()
        heartbeat.pools.extend(self._own_pools(now))
        heartbeat.members.extend(self._summaries())
        if same_region:
            heartbeat.servers.extend(self._servers())
            heartbeat.pools.extend(_pool_load(each) for each in self.region_loads.fresh(now))
            heartbeat.accounts.extend(
                pb.AccountDemand(account=account, requests_per_s=rate)
                for account, rate in self.limits.demand(now).items()
            )
        return heartbeat

    def take(self, heartbeat: pb.Heartbeat) -> bool:
        """Learn from a peer's heartbeat; False for one that is out of date."""
        now = now_unix_s()
        is_newest = self.view.observe_heartbeat(_member(heartbeat), now)
        if is_newest:
            self._echoes[heartbeat.vm] = (heartbeat.sent_unix_s, now)
            self._take_times(heartbeat, now)
        if self._is_news_of_loads(heartbeat):
            self._take_loads(heartbeat, now)
        return is_newest

    def _is_news_of_loads(self, heartbeat: pb.Heartbeat) -> bool:
        """Tell whether these loads are newer than the ones held.

        A peer speaks on two connections, its own and ours. The short answer on ours may overtake
        its full heartbeat; were that one dropped as old, the loads in it would be lost.
        """
        if not (heartbeat.pools or heartbeat.servers):
            return False
        order = (heartbeat.incarnation, heartbeat.sequence)
        if order <= self._last_full.get(heartbeat.vm, (0, 0)):
            return False
        self._last_full[heartbeat.vm] = order
        return True

    def _take_loads(self, heartbeat: pb.Heartbeat, now: float) -> None:
        self._take_members(heartbeat, now)
        self._take_pools(heartbeat, now)
        if heartbeat.region == self.view.own_region:
            self._take_servers(heartbeat, now)
            rates = {each.account: each.requests_per_s for each in heartbeat.accounts}
            self.limits.observe_peer_demand(heartbeat.vm, rates, now)

    def forget_for_good(self, vm: str) -> None:
        """Drop all that is kept of a VM that was replaced or silent for long."""
        self.forget(vm)
        self.offsets.forget(vm)
        self._echoes.pop(vm, None)
        self._last_full.pop(vm, None)

    def forget(self, vm: str) -> None:
        """Drop what a peer said that left or fell silent."""
        self.local.table.forget_peer(vm)
        self.limits.forget_peer(vm)
        for queue in self.local.queues.values():
            queue.forget_peer(vm)

    def _take_times(self, heartbeat: pb.Heartbeat, now: float) -> None:
        self.offsets.observe(
            heartbeat.vm,
            sent_unix_s=heartbeat.sent_unix_s,
            echo_sent_unix_s=heartbeat.echo_sent_unix_s,
            echo_received_unix_s=heartbeat.echo_received_unix_s,
            received_unix_s=now,
        )

    def _take_members(self, heartbeat: pb.Heartbeat, now: float) -> None:
        for each in heartbeat.members:
            heard_unix_s = self.offsets.to_local(heartbeat.vm, each.heard_unix_s)
            self.view.observe_summary(_summarized(each, heard_unix_s), now)

    def _take_servers(self, heartbeat: pb.Heartbeat, now: float) -> None:
        table = self.local.table
        in_flight = {
            each.server: InFlight(requests=each.in_flight_requests, tokens=each.in_flight_tokens)
            for each in heartbeat.servers
            if each.in_flight_requests
        }
        table.observe_peer(heartbeat.vm, in_flight, now)
        for each in heartbeat.servers:
            if each.report_unix_s:
                measured_unix_s = self.offsets.to_local(heartbeat.vm, each.report_unix_s)
                table.observe_report(_report(each, measured_unix_s), now)

    def _take_pools(self, heartbeat: pb.Heartbeat, now: float) -> None:
        for each in heartbeat.pools:
            if each.region == self.view.own_region:
                if heartbeat.region == each.region:
                    queue = self.local.queue(each.pool)
                    queue.observe_peer_waiting(
                        heartbeat.vm, each.waiting_paying, now, each.waiting_trial
                    )
                continue
            measured_unix_s = self.offsets.to_local(heartbeat.vm, each.measured_unix_s)
            self.region_loads.observe(self._region_load(heartbeat, each, measured_unix_s))

    def _region_load(
        self, heartbeat: pb.Heartbeat, each: pb.PoolLoad, measured_unix_s: float
    ) -> RegionLoad:
        best = self.offsets.best(heartbeat.vm) if heartbeat.region == each.region else None
        return RegionLoad(
            region=each.region,
            pool=each.pool,
            expected_wait_s=each.expected_wait_s,
            round_trip_s=best.round_trip_s if best is not None else each.round_trip_s,
            measured_unix_s=measured_unix_s,
            servers=each.servers,
        )

    def _own_pools(self, now: float) -> list[pb.PoolLoad]:
        pools = {server.pool for server in self.published.backend_servers.values()}
        return [self._own_pool(pool, now) for pool in sorted(pools)]

    def _own_pool(self, pool: str, now: float) -> pb.PoolLoad:
        queue, table = self.local.queue(pool), self.local.table
        waiting_paying = queue.waiting(Rank.PAYING)
        return pb.PoolLoad(
            region=self.view.own_region,
            pool=pool,
            expected_wait_s=waiting_paying / max(table.drain_per_s(pool, now), 1e-6),
            waiting_paying=waiting_paying,
            waiting_trial=queue.waiting(Rank.TRIAL),
            servers=len(table.usable(pool, now)),
            measured_unix_s=now,
        )

    def _servers(self) -> list[pb.ServerLoad]:
        loads: dict[str, pb.ServerLoad] = {}
        for name, in_flight in self.local.table.in_flight().items():
            loads[name] = pb.ServerLoad(
                server=name,
                in_flight_requests=in_flight.requests,
                in_flight_tokens=in_flight.tokens,
            )
        for report in self.own_reports():
            load = loads.setdefault(report.server, pb.ServerLoad(server=report.server))
            load.report_unix_s = report.measured_unix_s
            load.report_running = report.running
            load.report_waiting = report.waiting
            load.report_kv_tokens_used = report.kv_tokens_used
            load.report_queued_prefill_tokens = report.queued_prefill_tokens
            load.report_leaving = report.leaving
        return list(loads.values())

    def _summaries(self) -> list[pb.MemberSummary]:
        """Return a few members in turn; sending all at once would outgrow the byte budget."""
        known = self.view.known()
        if not known:
            return []
        count = min(SUMMARIES_PER_HEARTBEAT, len(known))
        start = self._summaries_sent % len(known)
        self._summaries_sent += count
        turn = (known + known)[start : start + count]
        return [_summary(member) for member in turn]


def _member(heartbeat: pb.Heartbeat) -> Member:
    return Member(
        vm=heartbeat.vm,
        incarnation=heartbeat.incarnation,
        region=heartbeat.region,
        failure_domain=heartbeat.failure_domain,
        caller_address=heartbeat.caller_address,
        peer_address=heartbeat.peer_address,
        phase=heartbeat.phase,
        sequence=heartbeat.sequence,
    )


def _summarized(each: pb.MemberSummary, heard_unix_s: float) -> Member:
    return Member(
        vm=each.vm,
        incarnation=each.incarnation,
        region=each.region,
        failure_domain=each.failure_domain,
        caller_address=each.caller_address,
        peer_address=each.peer_address,
        phase=each.phase,
        heard_unix_s=heard_unix_s,
        successor=each.successor,
    )


def _summary(member: Member) -> pb.MemberSummary:
    return pb.MemberSummary(
        vm=member.vm,
        incarnation=member.incarnation,
        region=member.region,
        failure_domain=member.failure_domain,
        caller_address=member.caller_address,
        peer_address=member.peer_address,
        phase=member.phase,
        heard_unix_s=member.heard_unix_s,
        successor=member.successor,
    )


def _report(each: pb.ServerLoad, measured_unix_s: float) -> LoadReport:
    return LoadReport(
        server=each.server,
        measured_unix_s=measured_unix_s,
        running=each.report_running,
        waiting=each.report_waiting,
        kv_tokens_used=each.report_kv_tokens_used,
        queued_prefill_tokens=each.report_queued_prefill_tokens,
        leaving=each.report_leaving,
    )


def _pool_load(load: RegionLoad) -> pb.PoolLoad:
    return pb.PoolLoad(
        region=load.region,
        pool=load.pool,
        expected_wait_s=load.expected_wait_s,
        servers=load.servers,
        measured_unix_s=load.measured_unix_s,
        round_trip_s=load.round_trip_s,
    )
