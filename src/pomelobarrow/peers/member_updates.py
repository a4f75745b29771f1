"""Tell a peer which members changed and which were heard, and take in what it tells."""

from collections.abc import Iterable, Sequence

from attrs import define, field

from pomelobarrow.decision.member import Member
from pomelobarrow.decision.membership import MembershipView
from pomelobarrow.decision.short_key import short_key
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.grid import LinkKind, Neighbours, passes_on

REFRESH_EVERY_S = 0.5
# Two kilobytes, as long as all other news of a heartbeat.
KEYS_PER_HEARTBEAT = 512
DESCRIPTIONS_PER_MESSAGE = 64
# A peer that was asked answers at once; past this it is taken to be gone, and the next that tells
# of a member is asked.
ASKED_FOR_S = 1.5
HEARD_PER_HEARTBEAT = 64
# The time by which a word on a member must be newer than the last one to be told again: inside
# the region, to another region of one's own members, and of third regions' members, which only
# counts while those can't be reached directly.
NEAR_WORD_EVERY_S = 0.1
WORD_EVERY_S = 4.0
OWN_REGION_WORD_EVERY_S = 3.0
THIRD_REGION_WORD_EVERY_S = 10.0
# Two hops of a second each, and a heartbeat lost on either.
NEAR_WORD_TIMEOUT_S = 5.0
AGE_UNIT_S = 0.1
MAX_AGE_S = 60.0


@define
class SentMembers:
    """Hold what one peer was told and has told of members."""

    version: int = 0
    # The descriptions that the peer has told of itself.
    known_keys: set[int] = field(factory=set)
    # The descriptions that the peer has told of and this VM lacks, and those it was asked for.
    awaited_keys: dict[int, None] = field(factory=dict)
    asked_keys: set[int] = field(factory=set)
    heard_unix_s: dict[str, float] = field(factory=dict)


@define
class MemberUpdates:
    """Follow the members' descriptions and where news of them came from.

    Peers tell each other the keys of descriptions and ask for those that they lack. Told whole over
    each stream, the descriptions of 195 VMs took most of the bytes of a fleet's first seconds, and
    each VM got each of them from every neighbour.
    """

    view: MembershipView
    _version: int = 0
    _version_of: dict[str, int] = field(factory=dict)
    _described: dict[str, tuple[int, str, str]] = field(factory=dict)
    # Each description's key now, and the member of each that was ever seen.
    _description_key: dict[str, int] = field(factory=dict)
    _vm_by_description: dict[int, str] = field(factory=dict)
    _asked_until_unix_s: dict[int, float] = field(factory=dict)
    _refresh_unix_s: float = 0.0
    _known: tuple[Member, ...] = ()
    _told: dict[LinkKind, Sequence[tuple[Member, float]]] = field(factory=dict)
    _by_key: dict[int, tuple[str, int]] = field(factory=dict)
    _key_of: dict[str, int] = field(factory=dict)
    _came: dict[str, LinkKind] = field(factory=dict)

    def write(
        self,
        heartbeat: pb.Heartbeat,
        sent: SentMembers,
        peer: str,
        kind: LinkKind,
        neighbours: Neighbours,
        now_unix_s: float,
    ) -> None:
        """Add the keys of new descriptions and the members heard since the last time."""
        self._refresh(now_unix_s)
        self._write_description_keys(heartbeat, sent)
        for member, every_s in self._told_to(kind, neighbours):
            heard_unix_s = self.view.heard_unix_s(member.vm)
            newer_s = heard_unix_s - sent.heard_unix_s.get(member.vm, 0.0)
            if newer_s >= every_s and member.vm != peer:
                self._write_heard(heartbeat, sent, member.vm, heard_unix_s, now_unix_s)
            if len(heartbeat.heard_keys) >= HEARD_PER_HEARTBEAT:
                return

    def take(
        self,
        heartbeat: pb.Heartbeat,
        sent: SentMembers,
        kind: LinkKind,
        is_sparse: bool,
        now_unix_s: float,
        sent_unix_s: float,
    ) -> None:
        """Take in which descriptions the peer holds, then who was heard."""
        sent.known_keys.update(heartbeat.member_keys)
        behind_s = heartbeat.sent_unix_s - sent_unix_s
        self.take_descriptions(heartbeat.members, heartbeat.vm, kind, now_unix_s, behind_s)
        for key, age in zip(heartbeat.heard_keys, heartbeat.heard_ages, strict=False):
            if key in self._by_key:
                heard_unix_s = sent_unix_s - age * AGE_UNIT_S
                self._take_heard(key, heard_unix_s, sent, kind, is_sparse, now_unix_s, heartbeat.vm)

    def take_descriptions(
        self,
        summaries: Iterable[pb.MemberSummary],
        told_by: str,
        kind: LinkKind,
        now_unix_s: float,
        clock_ahead_s: float,
    ) -> None:
        """Take in descriptions; times in them are by a clock that is ahead of this VM's."""
        is_news = False
        for summary in summaries:
            is_news = True
            member = _summarized(summary, summary.heard_unix_s - clock_ahead_s)
            # Whoever already hears of a member more freshly goes on passing that on.
            is_fresher = self.view.heard_unix_s(member.vm) < member.heard_unix_s
            self.view.observe_summary(member, now_unix_s, told_by)
            if is_fresher:
                self._came[member.vm] = kind
        self._refresh(now_unix_s, at_once=is_news)

    def lacking(self, sent: SentMembers, keys: Iterable[int], now_unix_s: float) -> list[int]:
        """Return the keys of descriptions to ask a peer for, but those asked of others just now.

        A peer tells each key once, so that it is kept until this one or another has answered.
        """
        awaited, known = sent.awaited_keys, self._vm_by_description
        awaited.update(dict.fromkeys(keys))
        for key in [key for key in awaited if key in known]:
            del awaited[key]
        asked = self._asked_until_unix_s
        lacking = [key for key in awaited if asked.get(key, 0.0) <= now_unix_s]
        if lacking:
            asked = {key: until for key, until in asked.items() if until > now_unix_s}
            asked.update(dict.fromkeys(lacking, now_unix_s + ASKED_FOR_S))
            self._asked_until_unix_s = asked
            sent.asked_keys.update(lacking)
        return lacking

    def note_answered(self, sent: SentMembers) -> None:
        """Take in that a peer has answered; what it left out it doesn't know any more."""
        for key in sent.asked_keys:
            sent.awaited_keys.pop(key, None)
        sent.asked_keys.clear()

    def describe(self, keys: Iterable[int]) -> list[pb.MemberSummary]:
        """Return the descriptions of members that a peer asks for by key, as they are now."""
        vms = dict.fromkeys(vm for key in keys if (vm := self._vm_by_description.get(key)))
        members = (self.view.get(vm) for vm in vms)
        return [_summary(each, self.view.heard_unix_s(each.vm)) for each in members if each]

    def heard_directly(self, vm: str, kind: LinkKind) -> None:
        """Note that a member spoke itself."""
        self._came[vm] = kind

    def forget(self, vm: str) -> None:
        """Drop a member that is gone for good."""
        self._version_of.pop(vm, None)
        self._described.pop(vm, None)
        self._came.pop(vm, None)
        self._by_key.pop(self._key_of.pop(vm, 0), None)
        self._description_key.pop(vm, None)
        for key in [key for key, of_vm in self._vm_by_description.items() if of_vm == vm]:
            del self._vm_by_description[key]

    def _take_heard(
        self,
        key: int,
        heard_unix_s: float,
        sent: SentMembers,
        kind: LinkKind,
        is_sparse: bool,
        now_unix_s: float,
        told_by: str,
    ) -> None:
        vm, incarnation = self._by_key[key]
        sent.heard_unix_s[vm] = max(sent.heard_unix_s.get(vm, 0.0), heard_unix_s)
        member = self.view.get(vm)
        is_near = is_sparse and member is not None and member.region == self.view.own_region
        timeout_s = NEAR_WORD_TIMEOUT_S if is_near else None
        if self.view.observe_alive(vm, incarnation, heard_unix_s, now_unix_s, timeout_s, told_by):
            self._came[vm] = kind

    def _refresh(self, now_unix_s: float, at_once: bool = False) -> None:
        """Give each member whose description changed the next version."""
        if not at_once and now_unix_s < self._refresh_unix_s:
            return
        self._refresh_unix_s = now_unix_s + REFRESH_EVERY_S
        self._known = self.view.known()
        self._told.clear()
        for member in self._known:
            description = (member.incarnation, member.phase, member.successor)
            if self._described.get(member.vm) != description:
                self._described[member.vm] = description
                self._version += 1
                self._version_of[member.vm] = self._version
                self._note_key(member)
                self._note_description(member)

    def _note_key(self, member: Member) -> None:
        # Four bytes name a VM and its incarnation. Two of a few hundred share them once in tens
        # of thousands of fleets; a dead one would then seem alive for as long as its twin lives,
        # and a request forwarded to it would come back as not sent.
        key = short_key(f"{member.vm}\0{member.incarnation}")
        self._by_key.pop(self._key_of.get(member.vm, 0), None)
        self._key_of[member.vm] = key
        self._by_key[key] = (member.vm, member.incarnation)

    def _note_description(self, member: Member) -> None:
        text = f"{member.vm}\0{member.incarnation}\0{member.phase}\0{member.successor}"
        key = short_key(text)
        self._description_key[member.vm] = key
        self._vm_by_description[key] = member.vm
        self._asked_until_unix_s.pop(key, None)

    def _write_description_keys(self, heartbeat: pb.Heartbeat, sent: SentMembers) -> None:
        if sent.version == self._version:
            return
        news = sorted((v, vm) for vm, v in self._version_of.items() if v > sent.version)
        told = news[:KEYS_PER_HEARTBEAT]
        keys = (self._description_key[vm] for _, vm in told)
        heartbeat.member_keys.extend(key for key in keys if key not in sent.known_keys)
        sent.version = told[-1][0] if len(told) < len(news) else self._version

    def _told_to(self, kind: LinkKind, neighbours: Neighbours) -> Sequence[tuple[Member, float]]:
        """Return the members that a kind of peer is told of, and how often."""
        if kind not in self._told:
            rules = ((each, self._word_every_s(each, kind, neighbours)) for each in self._known)
            self._told[kind] = [(each, every_s) for each, every_s in rules if every_s is not None]
        return self._told[kind]

    def _word_every_s(self, member: Member, kind: LinkKind, neighbours: Neighbours) -> float | None:
        is_own_region = member.region == self.view.own_region
        if kind is LinkKind.OTHER_REGION:
            return OWN_REGION_WORD_EVERY_S if is_own_region else THIRD_REGION_WORD_EVERY_S
        if is_own_region:
            # In a sparse region the others hear of a neighbour's silence from its neighbours
            # only, so they are told of its every heartbeat.
            is_told = neighbours.is_sparse and member.vm in neighbours.all
            return NEAR_WORD_EVERY_S if is_told else None
        return WORD_EVERY_S if passes_on(self._came.get(member.vm), kind) else None

    def _write_heard(
        self,
        heartbeat: pb.Heartbeat,
        sent: SentMembers,
        vm: str,
        heard_unix_s: float,
        now_unix_s: float,
    ) -> None:
        age_s = now_unix_s - heard_unix_s
        key = self._key_of.get(vm)
        if key is None or not 0 <= age_s <= MAX_AGE_S:
            return
        sent.heard_unix_s[vm] = heard_unix_s
        heartbeat.heard_keys.append(key)
        heartbeat.heard_ages.append(round(age_s / AGE_UNIT_S))


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


def _summary(member: Member, heard_unix_s: float) -> pb.MemberSummary:
    return pb.MemberSummary(
        vm=member.vm,
        incarnation=member.incarnation,
        region=member.region,
        failure_domain=member.failure_domain,
        caller_address=member.caller_address,
        peer_address=member.peer_address,
        phase=member.phase,
        heard_unix_s=heard_unix_s,
        successor=member.successor,
    )
