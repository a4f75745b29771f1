"""Keep this VM's proof that its configuration is current: from own reads and from peers."""

import asyncio
import math
import random
from collections.abc import Callable, Iterator

from mode import Service

from pomelobarrow.decision.members.member import Member
from pomelobarrow.decision.members.member_roles import WATCHERS, watchers
from pomelobarrow.decision.members.membership import MembershipView
from pomelobarrow.decision.published.config_proof import ConfigProof, Proof
from pomelobarrow.decision.published.store_position import era_of, position, revision_of
from pomelobarrow.kernel.background import background_task
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.datagrams import PeerDatagrams, Reply
from pomelobarrow.published.keyspaces import CONFIG, PublishedState
from pomelobarrow.published.watcher import PlatformWatcher

ANSWER_TIMEOUT_S = 0.25
# Other VMs that are queried if no watcher has a recent proof, in this region or another one.
OTHERS_QUERIED = 2
# Own reads of a VM without a source follow each other at this interval at least.
OWN_READ_EVERY_S = 0.6
JITTER = 0.15
MS_PER_S = 1_000.0


class ConfigProofs(Service):
    """Query the region's watchers for proofs, then other VMs, and read the platform at last.

    Reads are charged and limited, so that in normal operation only the watchers read.
    """

    def __init__(
        self,
        *,
        proof: ConfigProof,
        view: MembershipView,
        published: PublishedState,
        datagrams: PeerDatagrams,
        watcher: PlatformWatcher,
        is_watcher: Callable[[], bool],
    ) -> None:
        super().__init__()
        self.proof = proof
        self._view = view
        self._published = published
        self._datagrams = datagrams
        self._watcher = watcher
        self._is_watcher = is_watcher
        self._random = random.Random()
        self._source = ""
        self._next_read_unix_s = -math.inf
        datagrams.handlers["proof_query"] = self._answer

    def is_confirmed(self) -> bool:
        """Return whether requests with a key may run under the configuration in force."""
        return self.proof.confirms(self._published.confirmable_revision, now_unix_s())

    @property
    def is_needed(self) -> bool:
        """Return whether accounts are published, so that requests have keys."""
        routing = self._published.routing
        return routing is not None and bool(routing.needs_account)

    @background_task
    async def _refresh_all(self) -> None:
        while not self.should_stop:
            if self.is_needed and not self._has_own_reads():
                await self._refresh()
            jitter = self._random.uniform(1.0 - JITTER, 1.0 + JITTER)
            await asyncio.sleep(self.proof.refresh_s * jitter)

    def _has_own_reads(self) -> bool:
        return self._is_watcher() and not self.proof.is_stale(now_unix_s())

    async def _refresh(self) -> None:
        for member in self._sources():
            await self._query(member)
            if self.proof.age_s(now_unix_s()) <= 3.0 * self.proof.refresh_s:
                self._source = member.vm
                return
        now = now_unix_s()
        if self.proof.is_stale(now) and now >= self._next_read_unix_s:
            self._next_read_unix_s = now + OWN_READ_EVERY_S
            await self._watcher.read_now(CONFIG)

    def _sources(self) -> Iterator[Member]:
        """Yield the last good source, the region's watchers, and other VMs once those are stale."""
        now = now_unix_s()
        own, ranked = self._view.own_vm, watchers(self._view, self._view.own_region, WATCHERS, now)
        first = [m for m in self._view.live_peers(now_unix_s=now) if m.vm == self._source]
        queried = {own}
        for member in (*first, *ranked):
            if member.vm not in queried:
                queried.add(member.vm)
                yield member
        if not self.proof.is_stale(now_unix_s()):
            return
        others = [m for m in self._view.live_peers(now_unix_s=now) if m.vm not in queried]
        yield from self._random.sample(others, min(OTHERS_QUERIED, len(others)))

    async def _query(self, member: Member) -> None:
        sent_unix_s = now_unix_s()
        query = pb.Datagram(proof_query=pb.ProofQuery())
        answer = await self._datagrams.query(
            (member.host, self._datagrams.port), query, ANSWER_TIMEOUT_S
        )
        if isinstance(answer, pb.ProofAnswer) and self._is_about_own_configuration(answer):
            # The peer's proof has this age when it answers, which is later than the query was sent.
            proven_unix_s = sent_unix_s - answer.age_ms / MS_PER_S
            era = answer.era or self._published.copies[CONFIG].default_era
            self.proof.observe_of_peer(Proof(proven_unix_s, position(era, answer.revision)))

    def _is_about_own_configuration(self, answer: pb.ProofAnswer) -> bool:
        """Return whether a peer's proof may confirm what is in force here.

        A peer of an earlier release states no era, and after the store's return it may hold another
        one's configuration. A newer version in force there is one that the store's copy lacks.
        """
        copy = self._published.copies[CONFIG]
        is_of_known_era = bool(answer.era) or not copy.has_seen_return
        return is_of_known_era and answer.version <= copy.version

    def _answer(self, query: pb.ProofQuery, reply: Reply) -> None:
        newest, age_s = self.proof.newest, self.proof.age_s(now_unix_s())
        if newest is None or age_s > self.proof.max_age_s:
            return
        age_ms = math.ceil(age_s * MS_PER_S)
        answer = pb.ProofAnswer(
            number=query.number,
            age_ms=age_ms,
            revision=revision_of(newest.revision),
            era=era_of(newest.revision),
            version=self._published.copies[CONFIG].version,
        )
        reply(pb.Datagram(proof_answer=answer))
