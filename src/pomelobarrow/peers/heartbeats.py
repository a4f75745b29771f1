"""Build heartbeats and apply those of peers."""

import itertools
import math
from collections.abc import Callable, Iterable, Iterator, Mapping

from attrs import define, field

from pomelobarrow.decision.admission.limits import AccountLimits
from pomelobarrow.decision.members.clocks import ClockOffsets
from pomelobarrow.decision.members.member import Member
from pomelobarrow.decision.members.membership import MembershipView
from pomelobarrow.decision.requests.short_key import short_key
from pomelobarrow.decision.requests.work import LoadReport
from pomelobarrow.decision.servers.reachability import PeerReachability
from pomelobarrow.dispatch.local import LocalDispatch
from pomelobarrow.kernel.background import report_failure
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.demand_updates import DemandUpdates, SentDemand
from pomelobarrow.peers.departure_updates import DepartureUpdates, SentDepartures
from pomelobarrow.peers.grid import LinkKind, Neighbours
from pomelobarrow.peers.heartbeat_round import HeartbeatRound
from pomelobarrow.peers.keyspace_messages import keyspace_state
from pomelobarrow.peers.member_updates import (
    DESCRIPTIONS_PER_MESSAGE,
    MemberUpdates,
    SentMembers,
)
from pomelobarrow.peers.pool_updates import PoolUpdates, SentPools
from pomelobarrow.peers.region_loads import RegionLoads
from pomelobarrow.peers.server_updates import SentServers, ServerUpdates
from pomelobarrow.peers.service_time_updates import SentServiceTimes, ServiceTimeUpdates
from pomelobarrow.published.keyspaces import PublishedState

# What the heartbeats of one round share.
KEYSPACES = "keyspaces"
UNREACHABLE = "unreachable pools"

# The fields of each part of a heartbeat, which are left out together.
FIELDS_BY_PART: Mapping[str, tuple[str, ...]] = {
    "keyspaces": ("keyspaces",),
    "members": ("heard_keys", "heard_ages", "member_keys", "members"),
    "pools": ("pools",),
    "departures": ("leaving_keys",),
    "unreachable pools": ("unreachable_pool_keys",),
    "brittle pools": ("brittle_pool_keys",),
    "servers": (
        "server_keys",
        "in_flight_requests",
        "in_flight_tokens",
        "reports",
        "limits",
    ),
    "service times": ("times",),
    "demand": ("account_keys", "account_rates"),
}


@define
class SentUpdates:
    """Record what was sent on one stream, so that later heartbeats carry the changes only."""

    is_new: bool = True
    members: SentMembers = field(factory=SentMembers)
    servers: SentServers = field(factory=SentServers)
    pools: SentPools = field(factory=SentPools)
    demand: SentDemand = field(factory=SentDemand)
    times: SentServiceTimes = field(factory=SentServiceTimes)
    departures: SentDepartures = field(factory=SentDepartures)

    def restart(self) -> None:
        """Forget what was sent, so that the next heartbeat is complete."""
        self.is_new = True
        self.members.restart()
        self.servers, self.pools, self.demand = SentServers(), SentPools(), SentDemand()
        self.times, self.departures = SentServiceTimes(), SentDepartures()


@define(kw_only=True)
class Heartbeats:
    """Build this VM's heartbeats and apply those received from peers.

    The first heartbeat with loads on a stream is complete; later ones carry the changes only. A
    stream is ordered and lossless. When it breaks, the next one starts with a complete heartbeat.
    """

    view: MembershipView
    offsets: ClockOffsets
    published: PublishedState
    local: LocalDispatch
    limits: AccountLimits
    region_loads: RegionLoads
    own_reports: Callable[[], Iterable[LoadReport]]
    peer_reachability: PeerReachability = field(factory=PeerReachability)
    neighbours: Neighbours = field(factory=Neighbours, init=False)
    round: HeartbeatRound = field(factory=HeartbeatRound, init=False)
    _members: MemberUpdates = field(init=False)
    _servers: ServerUpdates = field(init=False)
    _pools: PoolUpdates = field(init=False)
    _demand: DemandUpdates = field(init=False)
    _times: ServiceTimeUpdates = field(init=False)
    _departures: DepartureUpdates = field(init=False)
    _sequence: "itertools.count[int]" = field(factory=lambda: itertools.count(1))
    _started_unix_s: float = field(factory=lambda: now_unix_s())
    # Per peer: when its last heartbeat was sent and received, to be echoed.
    _echoes: dict[str, tuple[float, float]] = field(factory=dict)
    # Peers that have echoed a heartbeat of this incarnation and thus hold its description.
    _peers_with_description: set[str] = field(factory=set)
    # Per peer: incarnation and sequence of the last heartbeat that carried loads.
    _last_full: dict[str, tuple[int, int]] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._members = MemberUpdates(self.view)
        self._servers = ServerUpdates(
            table=self.local.table,
            servers=lambda: self.published.backend_servers,
            own_reports=self.own_reports,
            round=self.round,
        )
        self._pools = PoolUpdates(
            own_region=self.view.own_region,
            offsets=self.offsets,
            published=self.published,
            local=self.local,
            region_loads=self.region_loads,
            is_reachable=self._is_reachable_in_region,
        )
        self._times = ServiceTimeUpdates(self.local.table)
        self._departures = DepartureUpdates(self.local.table.departures)
        self._demand = DemandUpdates(
            limits=self.limits,
            configuration=lambda: self.published.configuration,
            round=self.round,
        )

    def set_neighbours(self, neighbours: Neighbours) -> None:
        """Set the peers of the region that this VM exchanges heartbeats with."""
        self.neighbours = neighbours
        self.limits.set_region_vms(neighbours.region_vms)
        self.local.table.prefill_rates.region_vms = neighbours.region_vms

    def brief(self, peer: str) -> pb.Heartbeat:
        """Return a heartbeat without loads: own identity, phase and keyspace revisions."""
        heartbeat = self._base(peer, now_unix_s(), is_first=True)
        heartbeat.keyspaces.extend(self._keyspaces())
        return heartbeat

    def full(self, peer: str, same_region: bool, sent: SentUpdates) -> pb.Heartbeat:
        """Return a heartbeat with the loads that changed since the last one on this stream."""
        now = now_unix_s()
        is_first, sent.is_new = sent.is_new, False
        heartbeat = self._base(peer, now, is_first)
        heartbeat.has_loads = True
        heartbeat.is_whole = is_first
        has_failed = False
        for part, write in self._parts(heartbeat, peer, same_region, sent, now).items():
            has_failed |= not _write_part(heartbeat, part, write)
        if has_failed:
            sent.restart()
        return heartbeat

    def _parts(
        self, heartbeat: pb.Heartbeat, peer: str, same_region: bool, sent: SentUpdates, now: float
    ) -> dict[str, Callable[[], None]]:
        """Return the functions that write the parts of a heartbeat, by the part's name."""
        near, kind = self.neighbours, self.neighbours.kind(peer, same_region)
        parts: dict[str, Callable[[], None]] = {
            "keyspaces": lambda: heartbeat.keyspaces.extend(
                self.round.shared(KEYSPACES, self._keyspaces)
            ),
            "members": lambda: self._members.write(heartbeat, sent.members, peer, kind, near, now),
            "pools": lambda: self._pools.write(heartbeat, sent.pools, kind, near, now),
            "departures": lambda: self._departures.write(heartbeat, sent.departures),
            "unreachable pools": lambda: heartbeat.unreachable_pool_keys.extend(
                self.round.shared(UNREACHABLE, self._unreachable_pool_keys)
            ),
            "demand": lambda: self._demand.write(heartbeat, sent.demand, kind, near, now),
        }
        if same_region:
            parts["brittle pools"] = lambda: self._write_brittle_pools(heartbeat, now)
            parts["servers"] = lambda: self._servers.write(heartbeat, sent.servers, kind, now)
            parts["service times"] = lambda: self._times.write(heartbeat, sent.times, now)
        return parts

    def _write_brittle_pools(self, heartbeat: pb.Heartbeat, now: float) -> None:
        brittle_pools = self.local.table.limits.brittle.stated_lately(now)
        heartbeat.brittle_pool_keys.extend(sorted(map(short_key, brittle_pools)))

    def apply(self, heartbeat: pb.Heartbeat, sent: SentUpdates | None = None) -> bool:
        """Apply a peer's heartbeat; return False if a newer one was applied before.

        What the peer sends isn't sent back to it on the same stream.
        """
        now = now_unix_s()
        member = self._member(heartbeat)
        if member is None:
            return False
        kind = self.neighbours.kind(heartbeat.vm, member.region == self.view.own_region)
        self._departures.apply(heartbeat, now)
        is_newest = self.view.observe_heartbeat(member, now)
        if self.view.get(member.vm) is None:
            return False
        self._members.note_incarnation(member)
        if is_newest:
            self._echoes[heartbeat.vm] = (heartbeat.sent_unix_s, now)
            self._members.note_direct_contact(heartbeat.vm, kind)
            self._note_echo(heartbeat)
            self._observe_clock(heartbeat, now)
        if self._has_newer_loads(heartbeat):
            self._apply_loads(heartbeat, member, kind, sent or SentUpdates(), now)
        return is_newest

    def missing_members_request(
        self, heartbeat: pb.Heartbeat, sent: SentUpdates | None = None
    ) -> pb.PeerMessage | None:
        """Return the request for the descriptions that a peer named and this VM lacks, if any."""
        members = (sent or SentUpdates()).members
        keys = self._members.missing_keys(members, heartbeat.member_keys, now_unix_s())
        return pb.PeerMessage(member_request=pb.MemberRequest(keys=keys)) if keys else None

    def describe_members(self, request: pb.MemberRequest) -> Iterator[pb.PeerMessage]:
        """Yield the answers to a member request; a single empty one if it holds none of them."""
        summaries = self._members.describe(request.keys)
        for start in range(0, max(1, len(summaries)), DESCRIPTIONS_PER_MESSAGE):
            members = summaries[start : start + DESCRIPTIONS_PER_MESSAGE]
            descriptions = pb.MemberDescriptions(members=members, sent_unix_s=now_unix_s())
            yield pb.PeerMessage(member_descriptions=descriptions)

    def receive_members(
        self, message: pb.MemberDescriptions, peer: str, sent: SentUpdates | None = None
    ) -> None:
        """Apply the member descriptions that a peer was asked for."""
        now, member = now_unix_s(), self.view.get(peer)
        is_same_region = member is not None and member.region == self.view.own_region
        ahead_s = message.sent_unix_s - self.offsets.sent_unix_s(peer, message.sent_unix_s, now)
        kind = self.neighbours.kind(peer, is_same_region)
        self._members.receive_descriptions(message.members, peer, kind, now, ahead_s)
        if sent is not None:
            self._members.note_answered(sent.members)

    def forget_for_good(self, vm: str) -> None:
        """Drop all records of a VM that was replaced or has been silent for a long time."""
        self.forget(vm)
        self.offsets.forget(vm)
        self._members.forget(vm)
        self.peer_reachability.forget(vm)
        self._peers_with_description.discard(vm)
        self._echoes.pop(vm, None)
        self._last_full.pop(vm, None)

    def forget(self, vm: str) -> None:
        """Drop the loads received from a peer that left or is silent."""
        self.local.table.forget_peer(vm)
        self.limits.forget_peer(vm)
        self._servers.forget(vm)
        self._demand.forget(vm)
        for queue in self.local.queues.values():
            queue.forget_peer(vm)

    def _is_reachable_in_region(self, pool: str, now_unix_s: float) -> bool:
        """Return whether any VM of this region may reach a server of a pool."""
        if self.local.table.reachability.is_reachable(pool):
            return True
        return any(
            self.peer_reachability.is_reachable(member.vm, pool, now_unix_s)
            for member in self.view.usable_entries(self.view.own_region, now_unix_s)
            if member.vm != self.view.own_vm
        )

    def _base(self, peer: str, now: float, is_first: bool) -> pb.Heartbeat:
        own = self.view.own
        sent_unix_s, received_unix_s = self._echoes.get(peer, (0.0, 0.0))
        heartbeat = pb.Heartbeat(
            vm=own.vm,
            incarnation=own.incarnation,
            phase=own.phase,
            sequence=next(self._sequence),
            sent_unix_s=now,
            echo_sent_unix_s=sent_unix_s,
            echo_received_unix_s=received_unix_s,
        )
        if is_first or peer not in self._peers_with_description:
            heartbeat.region = own.region
            heartbeat.failure_domain = own.failure_domain
            heartbeat.caller_address = own.caller_address
            heartbeat.peer_address = own.peer_address
        return heartbeat

    def _keyspaces(self) -> list[pb.KeyspaceState]:
        return [keyspace_state(copy) for copy in self.published.copies.values()]

    def _unreachable_pool_keys(self) -> list[int]:
        return sorted(map(short_key, self.local.table.reachability.unreachable_pools))

    def _member(self, heartbeat: pb.Heartbeat) -> Member | None:
        """Return the sender; without a description in the heartbeat it must be a known member."""
        if heartbeat.region:
            return _member(heartbeat)
        known = self.view.get(heartbeat.vm)
        if known is None or known.incarnation != heartbeat.incarnation:
            # This VM has dropped the description, and the peer no longer sends it. A peer that gets
            # no echo adds its description to its next heartbeat.
            self._echoes.pop(heartbeat.vm, None)
            return None
        return Member(
            vm=known.vm,
            incarnation=known.incarnation,
            region=known.region,
            failure_domain=known.failure_domain,
            caller_address=known.caller_address,
            peer_address=known.peer_address,
            phase=heartbeat.phase,
            sequence=heartbeat.sequence,
        )

    def _note_echo(self, heartbeat: pb.Heartbeat) -> None:
        if heartbeat.echo_sent_unix_s >= self._started_unix_s:
            self._peers_with_description.add(heartbeat.vm)
        else:
            self._peers_with_description.discard(heartbeat.vm)

    def _has_newer_loads(self, heartbeat: pb.Heartbeat) -> bool:
        """Return whether these loads are newer than the ones held.

        If both VMs have dialed, a peer sends on two connections. A heartbeat without loads on one
        may overtake one with loads on the other; dropped as outdated, its loads would be lost.
        Without a time of sending, the ages in the heartbeat say nothing.
        """
        if not heartbeat.has_loads or not math.isfinite(heartbeat.sent_unix_s):
            return False
        order = (heartbeat.incarnation, heartbeat.sequence)
        if order <= self._last_full.get(heartbeat.vm, (0, 0)):
            return False
        self._last_full[heartbeat.vm] = order
        return True

    def _apply_loads(
        self,
        heartbeat: pb.Heartbeat,
        member: Member,
        kind: LinkKind,
        sent: SentUpdates,
        now: float,
    ) -> None:
        sent_unix_s = self.offsets.sent_unix_s(heartbeat.vm, heartbeat.sent_unix_s, now)
        is_sparse = self.neighbours.is_sparse
        self.peer_reachability.observe(
            member.vm,
            heartbeat.unreachable_pool_keys,
            now,
            is_same_region=kind is not LinkKind.OTHER_REGION,
        )
        self._members.apply(heartbeat, sent.members, kind, is_sparse, now, sent_unix_s)
        self._pools.apply(heartbeat, member.region, kind, now, sent_unix_s)
        if kind is not LinkKind.OTHER_REGION:
            self.local.table.limits.brittle.observe_of_peer(heartbeat.brittle_pool_keys, now)
            self._servers.apply(heartbeat, kind, now, sent_unix_s)
            self._times.apply(heartbeat, now)
        self._demand.apply(heartbeat, kind, now)

    def _observe_clock(self, heartbeat: pb.Heartbeat, now: float) -> None:
        self.offsets.observe(
            heartbeat.vm,
            sent_unix_s=heartbeat.sent_unix_s,
            echo_sent_unix_s=heartbeat.echo_sent_unix_s,
            echo_received_unix_s=heartbeat.echo_received_unix_s,
            received_unix_s=now,
        )


def _write_part(heartbeat: pb.Heartbeat, part: str, write: Callable[[], None]) -> bool:
    """Write one part of a heartbeat; leave it out and return False if that raises an error."""
    try:
        write()
    except Exception as error:
        for name in FIELDS_BY_PART[part]:
            heartbeat.ClearField(name)
        report_failure(f"heartbeat part {part}", error)
        return False
    return True


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
