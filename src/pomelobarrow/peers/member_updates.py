"""Exchange member descriptions with peers, and when each member was last seen."""

import math
from collections.abc import Iterable, Sequence
from itertools import islice

from attrs import define, field

from pomelobarrow.decision.members.member import Member
from pomelobarrow.decision.members.membership import MAX_MEMBERS, MembershipView
from pomelobarrow.decision.requests.short_key import short_key
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.grid import LinkKind, Neighbours, passes_on

REFRESH_EVERY_S = 0.5
# Two kilobytes, as much as all other content of a heartbeat.
KEYS_PER_HEARTBEAT = 512
DESCRIPTIONS_PER_MESSAGE = 64
# Peers answer a request at once. After this time the peer is considered gone, and the next one that
# names the member is asked.
REQUEST_TIMEOUT_S = 1.5
LAST_SEEN_PER_HEARTBEAT = 64
# Keys of descriptions that are kept for one peer, and of all descriptions: those of each member
# through several starts.
MAX_KEYS_OF_PEER = 8 * MAX_MEMBERS
MAX_DESCRIPTIONS = 8 * MAX_MEMBERS
# A member's last-seen time is sent again once it is newer by this much than the one sent before:
# about neighbours in a sparse region, inside the region about other regions' members, to another
# region about own members, and to another region about third regions' members. The last one only
# matters while the third region can't be reached directly.
NEIGHBOUR_REPORT_INTERVAL_S = 0.1
REPORT_INTERVAL_S = 4.0
OWN_REGION_REPORT_INTERVAL_S = 3.0
THIRD_REGION_REPORT_INTERVAL_S = 10.0
# Two hops of one second each, with one heartbeat lost on either.
INDIRECT_REPORT_TIMEOUT_S = 5.0
AGE_UNIT_S = 0.1
MAX_AGE_S = 60.0


@define
class SentMembers:
    """Record what was sent to and received from one peer about members."""

    version: int = 0
    # Keys of the descriptions that the peer has named.
    known_keys: set[int] = field(factory=set)
    # Keys that the peer has named and this VM lacks, and the keys that the peer was asked for.
    awaited_keys: dict[int, None] = field(factory=dict)
    asked_keys: set[int] = field(factory=set)
    last_seen_unix_s: dict[str, float] = field(factory=dict)

    def restart(self) -> None:
        """Forget what was sent, and not what the peer has named."""
        self.version = 0
        self.last_seen_unix_s.clear()


@define
class MemberUpdates:
    """Exchange member descriptions and track from what kind of peer each member's updates come.

    Peers send the keys of descriptions and request those that they lack. If each stream carried the
    descriptions themselves, those of 195 VMs would make up most of the bytes of a fleet's first
    seconds, and each VM would receive each of them from every neighbour.
    """

    view: MembershipView
    _version: int = 0
    _version_by_vm: dict[str, int] = field(factory=dict)
    _description_by_vm: dict[str, tuple[int, str, str]] = field(factory=dict)
    # The key of each member's current description, and the VM of every description received so far.
    _description_key_by_vm: dict[str, int] = field(factory=dict)
    _vm_by_description: dict[int, str] = field(factory=dict)
    _asked_until_unix_s: dict[int, float] = field(factory=dict)
    _refresh_unix_s: float = 0.0
    _known: tuple[Member, ...] = ()
    # Per kind of peer, the neighbours that the selection was made for, and the selection.
    _reported_members: dict[LinkKind, tuple[Neighbours, Sequence[tuple[str, float]]]] = field(
        factory=dict
    )
    # Whether members or the kinds of their sources have changed since the selection.
    _are_reported_stale: bool = True
    # The VM and incarnation of a key, and whether it is of this region.
    _member_by_key: dict[int, tuple[str, int, bool]] = field(factory=dict)
    _key_by_vm: dict[str, int] = field(factory=dict)
    _source_kind: dict[str, LinkKind] = field(factory=dict)
    # VMs whose heartbeats are of an earlier incarnation than the one known here.
    _outdated_vms: set[str] = field(factory=set)

    def write(
        self,
        heartbeat: pb.Heartbeat,
        sent: SentMembers,
        peer: str,
        kind: LinkKind,
        neighbours: Neighbours,
        now_unix_s: float,
    ) -> None:
        """Add the keys of new descriptions, and when members were last seen, to a heartbeat."""
        self._refresh(now_unix_s)
        self._write_description_keys(heartbeat, sent)
        if peer in self._outdated_vms and (member := self.view.get(peer)) is not None:
            heartbeat.members.append(_summary(member, self.view.last_seen_unix_s(peer)))
        last_seen_of, sent_unix_s = self.view.last_seen_unix_s, sent.last_seen_unix_s
        ages: dict[int, int] = {}
        for vm, every_s in self._members_reported_to(kind, neighbours):
            last_seen_unix_s = last_seen_of(vm)
            if last_seen_unix_s - sent_unix_s.get(vm, 0.0) < every_s or vm == peer:
                continue
            key, age_s = self._key_by_vm.get(vm), now_unix_s - last_seen_unix_s
            if key is None or not 0 <= age_s <= MAX_AGE_S:
                continue
            sent_unix_s[vm] = last_seen_unix_s
            ages[key] = round(age_s / AGE_UNIT_S)
            if len(ages) >= LAST_SEEN_PER_HEARTBEAT:
                break
        heartbeat.heard_keys.extend(ages)
        heartbeat.heard_ages.extend(ages.values())

    def apply(
        self,
        heartbeat: pb.Heartbeat,
        sent: SentMembers,
        kind: LinkKind,
        is_sparse: bool,
        now_unix_s: float,
        sent_unix_s: float,
    ) -> None:
        """Apply the descriptions and last-seen times in a peer's heartbeat."""
        room = max(0, MAX_KEYS_OF_PEER - len(sent.known_keys))
        sent.known_keys.update(islice(heartbeat.member_keys, room))
        behind_s = heartbeat.sent_unix_s - sent_unix_s
        self.receive_descriptions(heartbeat.members, heartbeat.vm, kind, now_unix_s, behind_s)
        self._apply_last_seen(heartbeat, sent, kind, is_sparse, now_unix_s, sent_unix_s)

    def receive_descriptions(
        self,
        summaries: Iterable[pb.MemberSummary],
        reported_by: str,
        kind: LinkKind,
        now_unix_s: float,
        clock_ahead_s: float,
    ) -> None:
        """Apply descriptions whose times are given by a clock that is ahead of this VM's.

        Those without a finite time are left out: no later report would be newer.
        """
        has_any = False
        for summary in summaries:
            heard_unix_s = summary.heard_unix_s - clock_ahead_s
            if not math.isfinite(heard_unix_s):
                continue
            has_any = True
            member = _member(summary, heard_unix_s)
            # A VM that has a more recent report of a member continues to pass that one on.
            is_fresher = self.view.last_seen_unix_s(member.vm) < member.last_seen_unix_s
            self.view.observe_summary(member, now_unix_s, reported_by)
            if is_fresher and self.view.get(member.vm) is not None:
                self._note_source(member.vm, kind)
        self._refresh(now_unix_s, at_once=has_any)

    def missing_keys(self, sent: SentMembers, keys: Iterable[int], now_unix_s: float) -> list[int]:
        """Return the keys of descriptions to request, except those requested elsewhere just before.

        A peer sends each key once, so that it is kept until that peer or another has answered.
        """
        awaited, known = sent.awaited_keys, self._vm_by_description
        awaited.update(dict.fromkeys(islice(keys, max(0, MAX_KEYS_OF_PEER - len(awaited)))))
        for key in [key for key in awaited if key in known]:
            del awaited[key]
        asked = self._asked_until_unix_s
        missing_keys = [key for key in awaited if asked.get(key, 0.0) <= now_unix_s]
        if missing_keys:
            asked = {key: until for key, until in asked.items() if until > now_unix_s}
            missing_keys = missing_keys[: max(0, MAX_DESCRIPTIONS - len(asked))]
            asked.update(dict.fromkeys(missing_keys, now_unix_s + REQUEST_TIMEOUT_S))
            self._asked_until_unix_s = asked
            sent.asked_keys.update(missing_keys)
        return missing_keys

    def note_answered(self, sent: SentMembers) -> None:
        """Note that a peer has answered; it no longer holds the descriptions that it left out."""
        for key in sent.asked_keys:
            sent.awaited_keys.pop(key, None)
        sent.asked_keys.clear()

    def describe(self, keys: Iterable[int]) -> list[pb.MemberSummary]:
        """Return the current descriptions of the members whose keys a peer requested."""
        vms = dict.fromkeys(vm for key in keys if (vm := self._vm_by_description.get(key)))
        members = (self.view.get(vm) for vm in vms)
        return [_summary(each, self.view.last_seen_unix_s(each.vm)) for each in members if each]

    def note_incarnation(self, sender: Member) -> None:
        """Note whether a sender started again with its clock set back, to describe it to itself."""
        known = self.view.get(sender.vm)
        if known is not None and sender.incarnation < known.incarnation:
            self._outdated_vms.add(sender.vm)
        else:
            self._outdated_vms.discard(sender.vm)

    def note_direct_contact(self, vm: str, kind: LinkKind) -> None:
        """Note that a message came from the member itself."""
        self._note_source(vm, kind)

    def _note_source(self, vm: str, kind: LinkKind) -> None:
        if self._source_kind.get(vm) is not kind:
            self._source_kind[vm] = kind
            # Members of the own region are reported whatever the source.
            if self.view.region_of(vm) != self.view.own_region:
                self._are_reported_stale = True

    def forget(self, vm: str) -> None:
        """Drop a member that was removed for good."""
        self._version_by_vm.pop(vm, None)
        self._description_by_vm.pop(vm, None)
        self._source_kind.pop(vm, None)
        self._outdated_vms.discard(vm)
        self._member_by_key.pop(self._key_by_vm.pop(vm, 0), None)
        self._description_key_by_vm.pop(vm, None)
        for key in [key for key, of_vm in self._vm_by_description.items() if of_vm == vm]:
            del self._vm_by_description[key]

    def _apply_last_seen(
        self,
        heartbeat: pb.Heartbeat,
        sent: SentMembers,
        kind: LinkKind,
        is_sparse: bool,
        now_unix_s: float,
        sent_unix_s: float,
    ) -> None:
        view, reported_by, sent_times = self.view, heartbeat.vm, sent.last_seen_unix_s
        for key, age in zip(heartbeat.heard_keys, heartbeat.heard_ages, strict=False):
            known = self._member_by_key.get(key)
            if known is None:
                continue
            vm, incarnation, is_own_region = known
            last_seen_unix_s = sent_unix_s - age * AGE_UNIT_S
            if last_seen_unix_s > sent_times.get(vm, 0.0):
                sent_times[vm] = last_seen_unix_s
            timeout_s = INDIRECT_REPORT_TIMEOUT_S if is_sparse and is_own_region else None
            if view.observe_last_seen(
                vm, incarnation, last_seen_unix_s, now_unix_s, timeout_s, reported_by
            ):
                self._note_source(vm, kind)

    def _refresh(self, now_unix_s: float, at_once: bool = False) -> None:
        """Assign the next version to each member whose description changed."""
        if not at_once and now_unix_s < self._refresh_unix_s:
            return
        self._refresh_unix_s = now_unix_s + REFRESH_EVERY_S
        known = self.view.known()
        if len(known) != len(self._known):
            self._are_reported_stale = True
        self._known = known
        for member in known:
            description = (member.incarnation, member.phase, member.successor)
            if self._description_by_vm.get(member.vm) != description:
                self._description_by_vm[member.vm] = description
                self._version += 1
                self._version_by_vm[member.vm] = self._version
                self._index_member(member)
                self._index_description(member)
                self._are_reported_stale = True
        if self._are_reported_stale:
            self._are_reported_stale = False
            self._reported_members.clear()

    def _index_member(self, member: Member) -> None:
        # Four bytes identify a VM and its incarnation. Among a few hundred VMs a collision occurs
        # once in tens of thousands of fleets. A dead VM would then seem alive for as long as the
        # other one is, and a request forwarded to it would be reported as not sent.
        key = short_key(f"{member.vm}\0{member.incarnation}")
        self._member_by_key.pop(self._key_by_vm.get(member.vm, 0), None)
        self._key_by_vm[member.vm] = key
        is_own_region = member.region == self.view.own_region
        self._member_by_key[key] = (member.vm, member.incarnation, is_own_region)

    def _index_description(self, member: Member) -> None:
        text = f"{member.vm}\0{member.incarnation}\0{member.phase}\0{member.successor}"
        key = short_key(text)
        self._description_key_by_vm[member.vm] = key
        self._vm_by_description[key] = member.vm
        if len(self._vm_by_description) > MAX_DESCRIPTIONS:
            current = {key: vm for vm, key in self._description_key_by_vm.items()}
            self._vm_by_description = current
        self._asked_until_unix_s.pop(key, None)

    def _write_description_keys(self, heartbeat: pb.Heartbeat, sent: SentMembers) -> None:
        if sent.version == self._version:
            return
        changed = sorted((v, vm) for vm, v in self._version_by_vm.items() if v > sent.version)
        sent_changes = changed[:KEYS_PER_HEARTBEAT]
        keys = (self._description_key_by_vm[vm] for _, vm in sent_changes)
        heartbeat.member_keys.extend(key for key in keys if key not in sent.known_keys)
        sent.version = sent_changes[-1][0] if len(sent_changes) < len(changed) else self._version

    def _members_reported_to(
        self, kind: LinkKind, neighbours: Neighbours
    ) -> Sequence[tuple[str, float]]:
        """Return the members that are reported to a kind of peer, with the intervals."""
        kept = self._reported_members.get(kind)
        if kept is None or kept[0] is not neighbours:
            sparse_neighbours = neighbours.all if neighbours.is_sparse else frozenset()
            intervals = (
                (each.vm, self._report_interval_s(each, kind, sparse_neighbours))
                for each in self._known
            )
            reported = [(vm, every_s) for vm, every_s in intervals if every_s is not None]
            kept = self._reported_members[kind] = (neighbours, reported)
        return kept[1]

    def _report_interval_s(
        self, member: Member, kind: LinkKind, sparse_neighbours: frozenset[str]
    ) -> float | None:
        is_own_region = member.region == self.view.own_region
        if kind is LinkKind.OTHER_REGION:
            return OWN_REGION_REPORT_INTERVAL_S if is_own_region else THIRD_REGION_REPORT_INTERVAL_S
        if is_own_region:
            # In a sparse region other VMs learn only from a VM's neighbours that it is silent, so
            # that each of its heartbeats is reported to them.
            return NEIGHBOUR_REPORT_INTERVAL_S if member.vm in sparse_neighbours else None
        return REPORT_INTERVAL_S if passes_on(self._source_kind.get(member.vm), kind) else None


def _member(each: pb.MemberSummary, last_seen_unix_s: float) -> Member:
    return Member(
        vm=each.vm,
        incarnation=each.incarnation,
        region=each.region,
        failure_domain=each.failure_domain,
        caller_address=each.caller_address,
        peer_address=each.peer_address,
        phase=each.phase,
        last_seen_unix_s=last_seen_unix_s,
        successor=each.successor,
    )


def _summary(member: Member, last_seen_unix_s: float) -> pb.MemberSummary:
    return pb.MemberSummary(
        vm=member.vm,
        incarnation=member.incarnation,
        region=member.region,
        failure_domain=member.failure_domain,
        caller_address=member.caller_address,
        peer_address=member.peer_address,
        phase=member.phase,
        heard_unix_s=last_seen_unix_s,
        successor=member.successor,
    )
