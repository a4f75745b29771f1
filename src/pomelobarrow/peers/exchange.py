"""Handle the messages of an exchange stream, the same way at both of its ends."""

from collections.abc import Callable, Iterable
from typing import Any

import orjson
import structlog
from attrs import define, field

from pomelobarrow.decision.keyspace import ApplyOutcome, Change, KeyspaceSummary
from pomelobarrow.decision.membership import MembershipView
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.heartbeats import Heartbeats
from pomelobarrow.platform.keyspaces import PublishedState
from pomelobarrow.platform.watcher import SOURCE_PLATFORM

# One pull at a time: after a change all peers of a region know it, and asking each of them for
# it would multiply the bytes by the size of the region.
PULL_PAUSE_S = 1.0
SOURCE_PEER = "peer "

log = structlog.get_logger(__name__)
Reply = Callable[[pb.PeerMessage], None]


@define(kw_only=True)
class Exchange:
    """Hold what the exchange with all peers has shown."""

    view: MembershipView
    published: PublishedState
    heartbeats: Heartbeats
    _next_pull_unix_s: dict[str, float] = field(factory=dict)
    _gapped: set[str] = field(factory=set)
    _peer_revisions: dict[tuple[str, str], int] = field(factory=dict)

    def handle(self, message: pb.PeerMessage, peer_vm: str, reply: Reply) -> None:
        """Take one message and answer through reply where it asks for something."""
        kind = message.WhichOneof("kind")
        handlers: dict[str, Callable[[Any, str, Reply], None]] = {
            "heartbeat": self._on_heartbeat,
            "delta": self._on_delta,
            "request": self._on_request,
            "leave": self._on_leave,
        }
        handler = handlers.get(kind or "")
        if handler is not None:
            handler(getattr(message, kind), peer_vm, reply)

    def delta_for(self, name: str, after_revision: int) -> pb.PeerMessage:
        """Return the changes of a keyspace after a revision."""
        delta = self.published.copies[name].changes_after(after_revision)
        return pb.PeerMessage(
            delta=pb.KeyspaceDelta(
                name=name,
                after_revision=delta.after_revision,
                head_revision=delta.head_revision,
                changes=[_change_message(change) for change in delta.changes],
            )
        )

    def fresh_delta_for(self, name: str, peer_vm: str) -> pb.PeerMessage | None:
        """Return the change that a peer has not said to have, for pushing it at once."""
        copy = self.published.copies[name]
        known = self._peer_revisions.get((peer_vm, name))
        if known is None or known >= copy.observed_revision:
            return None
        self._peer_revisions[(peer_vm, name)] = copy.observed_revision
        return self.delta_for(name, known)

    def _on_heartbeat(self, heartbeat: pb.Heartbeat, peer_vm: str, reply: Reply) -> None:
        if not self.heartbeats.take(heartbeat):
            return
        for state in heartbeat.keyspaces:
            if state.name not in self.published.copies:
                continue
            self._peer_revisions[(peer_vm, state.name)] = state.revision
            self._pull_if_behind(state, reply)

    def _pull_if_behind(self, state: pb.KeyspaceState, reply: Reply) -> None:
        copy = self.published.copies[state.name]
        summary = KeyspaceSummary(name=state.name, revision=state.revision, digest=state.digest)
        after = copy.needs(summary)
        now = now_unix_s()
        if after is None or now < self._next_pull_unix_s.get(state.name, 0.0):
            return
        self._next_pull_unix_s[state.name] = now + PULL_PAUSE_S
        request = pb.KeyspaceRequest(name=state.name, after_revision=after)
        reply(pb.PeerMessage(request=request))

    def _on_delta(self, delta: pb.KeyspaceDelta, peer_vm: str, reply: Reply) -> None:
        if delta.name not in self.published.copies:
            return
        changes = [_change(each) for each in delta.changes]
        result = self.published.apply(
            delta.name,
            changes,
            delta.head_revision,
            after_revision=delta.after_revision,
            source=SOURCE_PEER + peer_vm,
        )
        self._next_pull_unix_s.pop(delta.name, None)
        if result.outcome is ApplyOutcome.GAP:
            self._fill_gap(delta.name, reply)
        else:
            self._gapped.discard(delta.name)

    def _fill_gap(self, name: str, reply: Reply) -> None:
        """Ask from where this copy stands; start over when even that answer starts too late.

        A push can overtake a lost one, which the first question heals. A second gap means that
        the peer no longer knows which keys were deleted in between.
        """
        copy = self.published.copies[name]
        if name in self._gapped:
            copy.restart()
        self._gapped.add(name)
        request = pb.KeyspaceRequest(name=name, after_revision=copy.observed_revision)
        reply(pb.PeerMessage(request=request))

    def _on_request(self, request: pb.KeyspaceRequest, peer_vm: str, reply: Reply) -> None:
        if request.name in self.published.copies:
            reply(self.delta_for(request.name, request.after_revision))

    def _on_leave(self, leave: pb.Leave, peer_vm: str, reply: Reply) -> None:
        self.view.observe_leave(leave.vm, leave.incarnation, leave.successor, now_unix_s())
        self.heartbeats.forget(leave.vm)

    def is_behind(self, reachable: Iterable[str]) -> bool:
        """Tell whether a reachable peer has said to hold a higher revision than this VM."""
        vms = set(reachable)
        return any(
            vm in vms and revision > self.published.copies[name].observed_revision
            for (vm, name), revision in self._peer_revisions.items()
        )

    def is_first_hand(self, source: str) -> bool:
        """Tell whether a change came from the platform or from another region."""
        if source == SOURCE_PLATFORM:
            return True
        member = self.view.get(source.removeprefix(SOURCE_PEER))
        return member is not None and member.region != self.view.own_region


def _change_message(change: Change) -> pb.Change:
    if change.value is None:
        return pb.Change(revision=change.revision, key=change.key, deleted=True)
    return pb.Change(revision=change.revision, key=change.key, value=orjson.dumps(change.value))


def _change(message: pb.Change) -> Change:
    value = None if message.deleted else orjson.loads(message.value)
    return Change(revision=message.revision, key=message.key, value=value)
