"""Share which software began each stream with a few VMs of every region, over datagrams.

A client takes up its stream at any VM, and the VM that began it may be gone by then. Unless the
software follows from the histories of all VMs, a VM sends the record of a stream to one VM per
region before the client gets the first event; which VM keeps it follows from the stream's key. The
VM that a client comes back to asks the keepers. Without a record it needs a read of the store that
began after the client had come back: no list from before shows what may have begun the stream.
"""

import asyncio
import contextlib
import math
from collections import defaultdict
from collections.abc import Awaitable, Callable, Iterable, Sequence
from functools import partial
from heapq import nsmallest
from itertools import islice

from attrs import define, field, frozen

from pomelobarrow.decision.common.rendezvous import rendezvous
from pomelobarrow.decision.members.member import READY, Member, name_of
from pomelobarrow.decision.members.member_roles import watchers
from pomelobarrow.decision.members.membership import MembershipView
from pomelobarrow.decision.streams.list_evidence import MAX_LIST_AGE_S
from pomelobarrow.decision.streams.software_history import (
    HistoryStatement,
    StreamTarget,
    only_software,
)
from pomelobarrow.decision.streams.stream_software import StreamBegan, StreamSoftware, stream_key
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.datagrams import PeerDatagrams, Reply
from pomelobarrow.peers.peers_knowledge import Ask, PeersKnowledge, Stage, gather_knowledge
from pomelobarrow.published.keyspaces import CONFIG, VMS, PublishedState
from pomelobarrow.published.shared_read import no_read

# Streams are spread over the VMs by groups, since ranking all VMs for each stream is slow.
GROUPS = 256
# VMs of a region that are ranked for a group: some of them may be leaving.
RANKED = 5
# VMs of the own region that are asked. The second one kept the stream if the first has just joined,
# or had begun the stream itself.
ASKED_IN_REGION = 2
# A round trip between the farthest regions, and one in which the answering VM is busy.
ANSWER_TIMEOUT_S = 0.25
# Some round trips to the store of another region, which may be busy.
READ_TIMEOUT_S = 0.4
READ_ANSWER_TIMEOUT_S = 0.55
# Answers that hold a record may come later than this VM's own read, by a round trip in the region.
RECORD_WAIT_S = 0.05
# After this time, farther VMs are asked as well.
STAGE_TIMEOUT_S = 0.25
# Queries that wait for a read at a time; any more are answered without one.
MAX_READING = 1_024
# A record takes 14 bytes, and a datagram must fit into one packet.
RECORDS_PER_DATAGRAM = 64
MAX_TARGET_BYTES = 1_000
# Two keys already make the software of a stream uncertain, as any number does.
MAX_STATED_KEYS = 2
# The VMs that have run for the longest time; two of them may be cut off.
ASKED_FOR_HISTORY = 3
MS_PER_S = 1_000.0
MAX_AGE_MS = (1 << 32) - 1


@frozen(kw_only=True)
class _Question:
    """What is asked about a stream that a client has taken up, and when."""

    query: pb.StreamQuery
    asked_unix_s: float
    needs_read: bool


@define(kw_only=True)
class StreamSoftwareUpdates:
    """Send records of streams to their keepers, keep those of peers, and ask for a stream's."""

    view: MembershipView
    regions: Sequence[str]
    datagrams: PeerDatagrams
    streams: StreamSoftware = field(factory=StreamSoftware)
    # Returns once a read of the store has ended that began after the call.
    read_lists: Callable[[], Awaitable[None]] = no_read
    # Queries that are answered after a read.
    _reading: set[asyncio.Task[None]] = field(factory=set, init=False)

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

        Where this VM would be certain if its list were complete, VMs of its own region can show
        that: they read the store. Others are asked as well if none of them does in time.
        """
        key = stream_key(request_id)
        known = self.streams.software_of(key)
        if known is not None:
            return PeersKnowledge(software_key=known)
        question, history = self._question(key, target), self.streams.history

        def is_settled(found: PeersKnowledge) -> bool:
            own = history.statement(target, now_unix_s(), question.asked_unix_s)
            stated = (own, *found.histories)
            only = only_software(stated, history.retention_s)
            return found.software_key is not None or only is not None

        nearby = self._nearby(key, question)
        stages: list[Stage] = [lambda: nearby, lambda: self._farther(key, question)]
        if not is_certain or not self.streams.is_current(now_unix_s()):
            stages = [lambda: nearby | self._farther(key, question)]
        return await gather_knowledge(stages, is_settled, STAGE_TIMEOUT_S, RECORD_WAIT_S)

    def _question(self, key: int, target: StreamTarget) -> "_Question":
        now = now_unix_s()
        recent = self.streams.history.recent_of_target(target, now)
        # Where several versions serve, only a record can tell which one began the stream.
        return _Question(
            query=_query_of(key, target), asked_unix_s=now, needs_read=len(recent) <= 1
        )

    def _nearby(self, key: int, question: "_Question") -> dict[str, Ask]:
        """Return how to ask the own region's keepers and its readers of the store."""
        asks = self._asks(self._keepers(key, self.view.own_region, ASKED_IN_REGION), question)
        if not question.needs_read:
            return asks
        readers = watchers(self.view, self.view.own_region, now_unix_s=now_unix_s())
        if any(each.vm == self.view.own_vm for each in readers):
            asks[self.view.own_vm] = self._read
        return asks | self._asks(readers, question, reads_store=True)

    def _farther(self, key: int, question: "_Question") -> dict[str, Ask]:
        """Return how to ask the keepers of the other regions and the VMs that know most."""
        others = [region for region in self.regions if region != self.view.own_region]
        keepers = [member for region in others for member in self._keepers(key, region, 1)]
        asks = self._asks(keepers, question)
        if not question.needs_read:
            return asks | self._asks(self._historians(), question)
        now = now_unix_s()
        readers = [
            each for region in others for each in watchers(self.view, region, now_unix_s=now)
        ]
        asks |= self._asks([*self._historians(), *readers], question, reads_store=True)
        return asks | {self.view.own_vm: self._read}

    def _asks(
        self, members: Iterable[Member], question: "_Question", reads_store: bool = False
    ) -> dict[str, Ask]:
        return {
            member.vm: partial(self._query, member, question, reads_store)
            for member in members
            if self._is_staying(member)
        }

    def _historians(self) -> list[Member]:
        """Return the VMs of all regions that started first."""
        now = now_unix_s()
        live = (member for region in self.regions for member in self.view.live(region, now))
        staying = (member for member in live if self._is_staying(member))
        return nsmallest(ASKED_FOR_HISTORY, staying, key=lambda member: member.incarnation)

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

    async def read_in_time(self) -> None:
        """Read the store; return without a result if that takes long."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(READ_TIMEOUT_S):
                await self.read_lists()

    async def _read(self) -> PeersKnowledge:
        """Read the store here, which counts as a part of this VM's own history."""
        await self.read_in_time()
        return PeersKnowledge()

    async def _query(
        self, member: Member, question: "_Question", reads_store: bool
    ) -> PeersKnowledge:
        query = pb.StreamQuery()
        query.CopyFrom(question.query)
        query.reads_store = reads_store
        timeout_s = READ_ANSWER_TIMEOUT_S if reads_store else ANSWER_TIMEOUT_S
        message = pb.Datagram(stream_query=query)
        answer = await self.datagrams.query(self._address(member), message, timeout_s)
        if not isinstance(answer, pb.StreamAnswer):
            return PeersKnowledge()
        if answer.is_known:
            return PeersKnowledge(software_key=answer.software_key)
        has_age = answer.HasField("list_age_ms")
        stated = HistoryStatement(
            software_keys=frozenset(answer.recent_software_keys),
            known_for_s=answer.known_for_ms / MS_PER_S,
            list_age_s=answer.list_age_ms / MS_PER_S if has_age else math.inf,
        )
        return PeersKnowledge(histories=(stated,))

    def _address(self, member: Member) -> tuple[str, int]:
        return member.host, self.datagrams.port

    def _on_began(self, began: pb.StreamsBegan, reply: Reply) -> None:
        now = now_unix_s()
        for key, software in zip(began.stream_keys, began.software_keys, strict=False):
            self.streams.note_of_peer(StreamBegan(stream_key=key, software_key=software), now)

    def _on_query(self, query: pb.StreamQuery, reply: Reply) -> None:
        is_known = self.streams.software_of(query.stream_key) is not None
        if is_known or not query.reads_store or len(self._reading) >= MAX_READING:
            reply(self._answer(query, now_unix_s()))
            return
        task = asyncio.create_task(self._answer_after_read(query, reply, now_unix_s()))
        self._reading.add(task)
        task.add_done_callback(self._reading.discard)

    async def _answer_after_read(
        self, query: pb.StreamQuery, reply: Reply, asked_unix_s: float
    ) -> None:
        await self.read_in_time()
        reply(self._answer(query, asked_unix_s))

    def _answer(self, query: pb.StreamQuery, asked_unix_s: float) -> pb.Datagram:
        """Return the record of a stream, or what this VM's history says."""
        software = self.streams.software_of(query.stream_key)
        if software is not None:
            known = pb.StreamAnswer(number=query.number, is_known=True, software_key=software)
            return pb.Datagram(stream_answer=known)
        # A query that names no path asks for a record only.
        if not query.path:
            return pb.Datagram(stream_answer=pb.StreamAnswer(number=query.number))
        target = StreamTarget(query.host, query.path)
        history = self.streams.history
        stated = history.statement(target, now_unix_s(), asked_unix_s)
        return pb.Datagram(stream_answer=_history_answer(query.number, stated, history.retention_s))


def _history_answer(number: int, stated: HistoryStatement, remembered_s: float) -> pb.StreamAnswer:
    # Versions that have been gone for longer are forgotten here. VMs of an earlier release don't
    # see how old the lists are.
    is_old = stated.list_age_s > MAX_LIST_AGE_S
    known_for_s = 0.0 if is_old else min(stated.known_for_s, remembered_s)
    answer = pb.StreamAnswer(
        number=number,
        recent_software_keys=nsmallest(MAX_STATED_KEYS, stated.software_keys),
        known_for_ms=min(int(known_for_s * MS_PER_S), MAX_AGE_MS),
    )
    if stated.list_age_s * MS_PER_S < MAX_AGE_MS:
        answer.list_age_ms = math.ceil(stated.list_age_s * MS_PER_S)
    return answer


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
