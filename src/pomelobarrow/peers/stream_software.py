"""Share which software began each stream with a few VMs of every region, over datagrams.

A client takes up its stream at any VM, and the VM that began it may be gone by then. Unless the
software follows from the histories of all VMs, a VM sends the record of a stream to one VM per
region before the client gets the first event; which VM keeps it follows from the stream's key. The
VM that a client comes back to asks the keepers. One that isn't certain without a record also asks
the VMs that have run for the longest time.
"""

import asyncio
import math
from collections import defaultdict
from collections.abc import Iterable, Sequence
from heapq import nsmallest
from itertools import islice

from attrs import define, evolve, field, frozen

from pomelobarrow.decision.common.rendezvous import rendezvous
from pomelobarrow.decision.members.member import READY, Member, name_of
from pomelobarrow.decision.members.member_roles import watchers
from pomelobarrow.decision.members.membership import MembershipView
from pomelobarrow.decision.streams.software_history import (
    HistoryStatement,
    StreamTarget,
    only_software,
)
from pomelobarrow.decision.streams.stream_software import StreamBegan, StreamSoftware, stream_key
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.datagrams import PeerDatagrams, Reply
from pomelobarrow.published.keyspaces import CONFIG, VMS, PublishedState

# Streams are spread over the VMs by groups, since ranking all VMs for each stream is slow.
GROUPS = 256
# VMs of a region that are ranked for a group: some of them may be leaving.
RANKED = 5
# VMs of the own region that are asked. The second one kept the stream if the first has just joined,
# or had begun the stream itself.
ASKED_IN_REGION = 2
# A round trip between the farthest regions, and one in which the answering VM is busy.
ANSWER_TIMEOUT_S = 0.25
# The same inside a region. Where one version serves, an answer is hardly ever needed.
NEARBY_ANSWER_TIMEOUT_S = 0.05
# A record takes 14 bytes, and a datagram must fit into one packet.
RECORDS_PER_DATAGRAM = 64
MAX_TARGET_BYTES = 1_000
# Two keys already make the software of a stream uncertain, as any number does.
MAX_STATED_KEYS = 2
# The VMs that have run for the longest time; two of them may be cut off.
ASKED_FOR_HISTORY = 3
MS_PER_S = 1_000.0
MAX_KNOWN_FOR_MS = (1 << 32) - 1


@frozen(kw_only=True)
class PeersKnowledge:
    """What peers know of a stream: its software, if recorded, and else their histories."""

    software_key: int | None = None
    histories: tuple[HistoryStatement, ...] = ()
    # How many VMs were asked. A VM that answers states its history if it has no record.
    asked: int = 0


@define(kw_only=True)
class StreamSoftwareUpdates:
    """Send records of streams to their keepers, keep those of peers, and ask for a stream's."""

    view: MembershipView
    regions: Sequence[str]
    datagrams: PeerDatagrams
    streams: StreamSoftware = field(factory=StreamSoftware)

    def __attrs_post_init__(self) -> None:
        self.streams.publish = self.send
        self.datagrams.handlers["streams_began"] = self._on_began
        self.datagrams.handlers["stream_query"] = self._on_query

    def send(self, records: Iterable[StreamBegan]) -> None:
        """Send records to the keepers of each region."""
        by_keeper: defaultdict[str, list[StreamBegan]] = defaultdict(list)
        members: dict[str, Member] = {}
        for record in records:
            for region in self.regions:
                for member in self._keepers(record.stream_key, region, 1):
                    members[member.vm] = member
                    by_keeper[member.vm].append(record)
        for vm, kept in by_keeper.items():
            self._send_to(members[vm], kept)

    async def find(self, request_id: str, target: StreamTarget, is_certain: bool) -> PeersKnowledge:
        """Return the software that began a stream, or what peers know without a record of it.

        Where this VM is certain of the software without a record, it is enough that VMs of its own
        region are, too: they know of another version if this VM's list is out of date.
        """
        key = stream_key(request_id)
        known = self.streams.software_of(key)
        if known is not None:
            return PeersKnowledge(software_key=known)
        query, nearby = _query_of(key, target), self._keepers_nearby(key)
        if not is_certain:
            return await self._ask([*nearby, *self._farther(key, nearby)], query, ANSWER_TIMEOUT_S)
        found = await self._ask(nearby, query, NEARBY_ANSWER_TIMEOUT_S)
        if found.software_key is not None or self._is_certain(found.histories):
            return found
        farther = await self._ask(self._farther(key, nearby), query, ANSWER_TIMEOUT_S)
        return evolve(
            farther,
            histories=found.histories + farther.histories,
            asked=found.asked + farther.asked,
        )

    def _is_certain(self, histories: Iterable[HistoryStatement]) -> bool:
        return only_software(histories, self.streams.history.retention_s) is not None

    async def _ask(
        self, members: Iterable[Member], query: pb.StreamQuery, timeout_s: float
    ) -> PeersKnowledge:
        """Return the first record that any of these VMs has, or else all their histories."""
        queries = [asyncio.create_task(self._query(each, query, timeout_s)) for each in members]
        histories: list[HistoryStatement] = []
        try:
            for answer in asyncio.as_completed(queries):
                found = await answer
                if found.software_key is not None:
                    return evolve(found, asked=len(queries))
                histories += found.histories
        finally:
            for each in queries:
                each.cancel()
        return PeersKnowledge(histories=tuple(histories), asked=len(queries))

    def _keepers_nearby(self, key: int) -> list[Member]:
        return self._keepers(key, self.view.own_region, ASKED_IN_REGION)

    def _farther(self, key: int, asked: Iterable[Member]) -> list[Member]:
        """Return the keepers of the other regions and the VMs that know the history best.

        Those that have been asked aren't among them.
        """
        others = (region for region in self.regions if region != self.view.own_region)
        keepers = [member for region in others for member in self._keepers(key, region, 1)]
        by_vm = {member.vm: member for member in (*keepers, *self._historians())}
        for member in asked:
            by_vm.pop(member.vm, None)
        return list(by_vm.values())

    def _historians(self) -> list[Member]:
        """Return the VMs of all regions that started first, and the readers of the store here."""
        now = now_unix_s()
        live = (member for region in self.regions for member in self.view.live(region, now))
        staying = (member for member in live if self._is_staying(member))
        first = nsmallest(ASKED_FOR_HISTORY, staying, key=lambda member: member.incarnation)
        readers = watchers(self.view, self.view.own_region, now_unix_s=now)
        return [*first, *(member for member in readers if self._is_staying(member))]

    def _keepers(self, key: int, region: str, count: int) -> list[Member]:
        """Return the other VMs of a region that keep a stream's record, the first in charge.

        This VM isn't among them: what it began must be known when it is gone.
        """
        staying = (m for m in self._ranked(key, region) if self._is_staying(m))
        return list(islice(staying, count))

    def _is_staying(self, member: Member) -> bool:
        known = self.view.get(member.vm)
        return known is not None and known.phase == READY and member.vm != self.view.own_vm

    def _ranked(self, key: int, region: str) -> tuple[Member, ...]:
        now, group = now_unix_s(), key % GROUPS

        def rank() -> tuple[Member, ...]:
            members = {name_of(member): member for member in self.view.live(region, now)}
            return tuple(members[vm] for vm in rendezvous(f"stream/{group}", members, RANKED))

        return self.view.memoized(f"stream/{group}/{region}", rank, now)

    def _send_to(self, member: Member, records: Sequence[StreamBegan]) -> None:
        left = iter(records)
        while batch := list(islice(left, RECORDS_PER_DATAGRAM)):
            began = pb.StreamsBegan(
                stream_keys=[each.stream_key for each in batch],
                software_keys=[each.software_key for each in batch],
            )
            self.datagrams.send(self._address(member), pb.Datagram(streams_began=began))

    async def _query(
        self, member: Member, query: pb.StreamQuery, timeout_s: float
    ) -> PeersKnowledge:
        message = pb.Datagram(stream_query=query)
        answer = await self.datagrams.query(self._address(member), message, timeout_s)
        if not isinstance(answer, pb.StreamAnswer):
            return PeersKnowledge()
        if answer.is_known:
            return PeersKnowledge(software_key=answer.software_key)
        stated = HistoryStatement(
            software_keys=frozenset(answer.recent_software_keys),
            known_for_s=answer.known_for_ms / MS_PER_S,
        )
        return PeersKnowledge(histories=(stated,))

    def _address(self, member: Member) -> tuple[str, int]:
        return member.host, self.datagrams.port

    def _on_began(self, began: pb.StreamsBegan, reply: Reply) -> None:
        now = now_unix_s()
        for key, software in zip(began.stream_keys, began.software_keys, strict=False):
            self.streams.note_of_peer(StreamBegan(stream_key=key, software_key=software), now)

    def _on_query(self, query: pb.StreamQuery, reply: Reply) -> None:
        software = self.streams.software_of(query.stream_key)
        if software is None:
            answer = self._history_answer(query)
        else:
            answer = pb.StreamAnswer(number=query.number, is_known=True, software_key=software)
        reply(pb.Datagram(stream_answer=answer))

    def _history_answer(self, query: pb.StreamQuery) -> pb.StreamAnswer:
        """Return what this VM's history says; nothing if the query names no path."""
        if not query.path:
            return pb.StreamAnswer(number=query.number)
        target = StreamTarget(query.host, query.path)
        history = self.streams.history
        stated = history.statement(target, now_unix_s())
        # Versions that have been gone for longer are forgotten here.
        remembered_ms = math.ceil(history.retention_s * MS_PER_S)
        return pb.StreamAnswer(
            number=query.number,
            recent_software_keys=nsmallest(MAX_STATED_KEYS, stated.software_keys),
            known_for_ms=min(int(stated.known_for_s * MS_PER_S), remembered_ms, MAX_KNOWN_FOR_MS),
        )


def _query_of(key: int, target: StreamTarget) -> pb.StreamQuery:
    target_bytes = len(target.host.encode()) + len(target.path.encode())
    if target_bytes > MAX_TARGET_BYTES:
        return pb.StreamQuery(stream_key=key)
    return pb.StreamQuery(stream_key=key, host=target.host, path=target.path)


def follow_published(published: PublishedState, streams: StreamSoftware) -> None:
    """Let new lists of servers and new routes update which software may begin streams."""

    def on_applied(name: str, source: str) -> None:
        # A departure may become known before the first list.
        if name == VMS and published.copies[VMS].revision:
            streams.observe_servers(published.backend_servers, now_unix_s())
        if name == CONFIG and published.routing is not None:
            streams.observe_routing(published.routing, now_unix_s())

    published.listeners.append(on_applied)
