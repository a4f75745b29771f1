"""Handle the messages of an exchange stream, in the same way at both ends."""

from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

import orjson
import structlog
from attrs import define, field

from pomelobarrow.decision.members.membership import MembershipView
from pomelobarrow.decision.published.keyspace import ApplyOutcome, Delta, KeyspaceSummary
from pomelobarrow.kernel.background import report_failure
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.crash_updates import CrashUpdates
from pomelobarrow.peers.heartbeats import Heartbeats, SentUpdates
from pomelobarrow.peers.keyspace_messages import (
    DeltaTooLargeError,
    keyspace_delta,
    keyspace_request,
    read_after_revision,
    read_delta,
    read_summary,
)
from pomelobarrow.published.keyspaces import PublishedState
from pomelobarrow.published.watcher import SOURCE_PLATFORM

# Limits pulls to one at a time per keyspace. All peers of a region announce a change, and a pull
# from each of them would multiply the bytes by the size of the region.
PULL_INTERVAL_S = 1.0
SOURCE_PEER = "peer "

log = structlog.get_logger(__name__)
Reply = Callable[[pb.PeerMessage], None]


@define(kw_only=True)
class Exchange:
    """Apply the messages of all peers, and track which keyspace revisions each peer holds."""

    view: MembershipView
    published: PublishedState
    heartbeats: Heartbeats
    crash_updates: CrashUpdates = field(factory=CrashUpdates)
    _next_pull_unix_s: dict[str, float] = field(factory=dict)
    _keyspaces_with_gap: set[str] = field(factory=set)
    # The revision that each peer holds, by its last heartbeat or this VM's last push to it.
    _peer_copies: dict[str, dict[str, KeyspaceSummary]] = field(factory=dict)

    def handle(
        self, message: pb.PeerMessage, peer_vm: str, reply: Reply, sent: SentUpdates | None = None
    ) -> None:
        """Apply one message and send the answer, if it needs one, through reply."""
        kind = message.WhichOneof("kind")
        handlers: dict[str, Callable[[Any, str, Reply], None]] = {
            "heartbeat": partial(self._on_heartbeat, sent=sent),
            "delta": self._on_delta,
            "request": self._on_request,
            "leave": self._on_leave,
            "member_request": self._on_member_request,
            "member_descriptions": partial(self._on_member_descriptions, sent=sent),
            "crash_findings": self._on_crash_findings,
            "closing": self._on_closing,
        }
        handler = handlers.get(kind or "")
        if handler is None:
            return
        # An unhandled error would end the link, and the next link would deliver the same message
        # again.
        try:
            handler(getattr(message, kind), peer_vm, reply)
        except (orjson.JSONDecodeError, DeltaTooLargeError) as error:
            log.warning("malformed peer message ignored", peer=peer_vm, kind=kind, error=str(error))
        except Exception as error:
            report_failure(f"{kind} of a peer", error)

    def forget(self, peer_vm: str) -> None:
        """Drop the recorded revisions of a peer that left for good."""
        self._peer_copies.pop(peer_vm, None)

    def unsent_delta_for(self, name: str, peer_vm: str) -> pb.PeerMessage | None:
        """Return the changes that a peer isn't known to hold, for an immediate push."""
        copy = self.published.copies[name]
        summaries = self._peer_copies.get(peer_vm, {})
        known = summaries.get(name)
        if known is None or known.revision >= copy.observed_revision:
            return None
        summaries[name] = copy.summary
        return keyspace_delta(copy.changes_after(known.revision))

    def _on_heartbeat(
        self, heartbeat: pb.Heartbeat, peer_vm: str, reply: Reply, sent: SentUpdates | None
    ) -> None:
        is_newest = self.heartbeats.apply(heartbeat, sent)
        # A heartbeat overtaken by one of another stream may be the only one that names a member.
        if (request := self.heartbeats.missing_members_request(heartbeat, sent)) is not None:
            reply(request)
        if not is_newest:
            return
        for state in heartbeat.keyspaces:
            if state.name not in self.published.copies:
                continue
            summary = read_summary(state, self.published.copies[state.name])
            self._peer_copies.setdefault(peer_vm, {})[state.name] = summary
            self._pull_if_behind(summary, reply)

    def _pull_if_behind(self, summary: KeyspaceSummary, reply: Reply) -> None:
        copy, now = self.published.copies[summary.name], now_unix_s()
        after, in_force = copy.sync_after_revision(summary), False
        if after is None and copy.lacks_in_force(summary):
            after, in_force = min(copy.revision, summary.revision_in_force - 1), True
        if after is None or now < self._next_pull_unix_s.get(summary.name, 0.0):
            return
        self._next_pull_unix_s[summary.name] = now + PULL_INTERVAL_S
        reply(keyspace_request(summary.name, after, in_force))

    def _on_delta(self, delta: pb.KeyspaceDelta, peer_vm: str, reply: Reply) -> None:
        if delta.name not in self.published.copies:
            return
        self._next_pull_unix_s.pop(delta.name, None)
        copy = self.published.copies[delta.name]
        received = read_delta(delta, copy)
        if delta.in_force:
            self._apply_in_force(received, peer_vm, reply)
            return
        # Without any server or route, all requests are refused; only the store may have it so.
        if copy.values and received.lists_nothing:
            log.warning("empty listing of a peer ignored", keyspace=delta.name, peer=peer_vm)
            return
        result = self.published.apply(
            received.name,
            received.changes,
            received.head_revision,
            after_revision=received.after_revision,
            source=SOURCE_PEER + peer_vm,
        )
        if result.outcome is ApplyOutcome.GAP:
            self._fill_gap(delta.name, reply)
        else:
            self._keyspaces_with_gap.discard(delta.name)

    def _apply_in_force(self, delta: Delta, peer_vm: str, reply: Reply) -> None:
        result = self.published.apply_in_force(delta, SOURCE_PEER + peer_vm)
        if result.outcome is ApplyOutcome.GAP:
            reply(keyspace_request(delta.name, 0, in_force=True))

    def _fill_gap(self, name: str, reply: Reply) -> None:
        """Request the changes after this copy's revision; after a second gap, all values.

        A push can overtake a lost one, which the first request repairs. A second gap means that
        the peer no longer holds the record of the keys deleted in between.
        """
        copy = self.published.copies[name]
        if name in self._keyspaces_with_gap:
            copy.await_all()
        self._keyspaces_with_gap.add(name)
        reply(keyspace_request(name, copy.request_after_revision))

    def _on_request(self, request: pb.KeyspaceRequest, peer_vm: str, reply: Reply) -> None:
        copy = self.published.copies.get(request.name)
        if copy is None:
            return
        after_revision = read_after_revision(request, copy)
        if request.in_force:
            reply(keyspace_delta(copy.in_force_after(after_revision), in_force=True))
        else:
            reply(keyspace_delta(copy.changes_after(after_revision)))

    def _on_leave(self, leave: pb.Leave, peer_vm: str, reply: Reply) -> None:
        self.view.observe_leave(leave.vm, leave.incarnation, leave.successor, now_unix_s())
        self.heartbeats.forget(leave.vm)

    def _on_member_request(self, request: pb.MemberRequest, peer_vm: str, reply: Reply) -> None:
        for answer in self.heartbeats.describe_members(request):
            reply(answer)

    def _on_member_descriptions(
        self, message: pb.MemberDescriptions, peer_vm: str, reply: Reply, sent: SentUpdates | None
    ) -> None:
        self.heartbeats.receive_members(message, peer_vm, sent)

    def _on_crash_findings(self, message: pb.CrashFindings, peer_vm: str, reply: Reply) -> None:
        self.crash_updates.apply(message, peer_vm)

    def _on_closing(self, closing: pb.Closing, peer_vm: str, reply: Reply) -> None:
        self.view.observe_link_closed(peer_vm, now_unix_s())

    def is_behind(self, reachable: Iterable[str]) -> bool:
        """Return whether a reachable peer has announced a higher revision than this VM holds."""
        summaries = (self._peer_copies.get(vm, {}).values() for vm in reachable)
        return any(self._is_behind_summary(summary) for held in summaries for summary in held)

    def _is_behind_summary(self, summary: KeyspaceSummary) -> bool:
        copy = self.published.copies[summary.name]
        is_behind = summary.revision > copy.observed_revision or copy.lacks_in_force(summary)
        is_newer_in_force = summary.revision_in_force > copy.revision
        return is_behind or (is_newer_in_force and summary.version >= copy.version)

    def pushes_change_to(self, source: str, to_region: str) -> bool:
        """Return whether a change from a source is pushed on to a linked peer of a region.

        The VM that got a change from the platform or another region pushes it to its own region;
        the other VMs there need not push it to each other again. Links to other regions always
        get it, because the VM that read the platform may have no such link.
        """
        own_region = self.view.own_region
        if source == SOURCE_PLATFORM or to_region != own_region:
            return True
        member = self.view.get(source.removeprefix(SOURCE_PEER))
        return member is not None and member.region != own_region
