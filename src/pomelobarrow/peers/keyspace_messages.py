"""Translate keyspace messages between VMs, which carry eras and the store's own revisions."""

import orjson

from pomelobarrow.decision.published.keyspace import Change, Delta, KeyspaceCopy, KeyspaceSummary
from pomelobarrow.decision.published.keyspace_types import MAX_KEYSPACE_BYTES, held_bytes
from pomelobarrow.decision.published.store_position import (
    MAX_ERA,
    MAX_REVISION,
    era_of,
    position,
    revision_of,
)
from pomelobarrow.peers import peers_pb2 as pb


class DeltaTooLargeError(ValueError):
    """Raised instead of decoding a delta that no copy could hold."""


def keyspace_state(copy: KeyspaceCopy) -> pb.KeyspaceState:
    """Return the summary of a copy for heartbeats."""
    era, era_in_force = era_of(copy.observed_revision), era_of(copy.revision)
    return pb.KeyspaceState(
        name=copy.name,
        revision=revision_of(copy.observed_revision),
        digest=copy.digest,
        revision_in_force=revision_of(copy.revision),
        era=era,
        era_in_force=era_in_force if era_in_force != era else 0,
        version=copy.version,
    )


def keyspace_request(name: str, after_revision: int, in_force: bool = False) -> pb.PeerMessage:
    """Return a request for the changes after a revision, or for the values in force."""
    return pb.PeerMessage(
        request=pb.KeyspaceRequest(
            name=name,
            after_revision=revision_of(after_revision),
            in_force=in_force,
            era=era_of(after_revision),
        )
    )


def keyspace_delta(delta: Delta, in_force: bool = False) -> pb.PeerMessage:
    """Return the message with a delta; all its revisions are of the head's era."""
    return pb.PeerMessage(
        delta=pb.KeyspaceDelta(
            name=delta.name,
            after_revision=revision_of(delta.after_revision),
            head_revision=revision_of(delta.head_revision),
            changes=[_change_message(change) for change in delta.changes],
            in_force=in_force,
            era=era_of(delta.head_revision),
        )
    )


def read_summary(state: pb.KeyspaceState, copy: KeyspaceCopy) -> KeyspaceSummary:
    """Read a peer's summary of its copy, for comparison with this VM's copy."""
    era = state.era or copy.default_era
    return KeyspaceSummary(
        name=state.name,
        revision=_position(era, state.revision),
        digest=state.digest,
        revision_in_force=_position(state.era_in_force or era, state.revision_in_force),
        version=state.version,
    )


def read_after_revision(request: pb.KeyspaceRequest, copy: KeyspaceCopy) -> int:
    """Read after which revision a peer requests changes; 0 requests all of them."""
    if not request.after_revision:
        return 0
    return _position(request.era or copy.default_era, request.after_revision)


def read_delta(message: pb.KeyspaceDelta, copy: KeyspaceCopy) -> Delta:
    """Read a peer's delta for this VM's copy; raise DeltaTooLargeError if no copy could hold it."""
    if sum(held_bytes(each.key, each.value) for each in message.changes) > MAX_KEYSPACE_BYTES:
        raise DeltaTooLargeError(f"it holds more than {MAX_KEYSPACE_BYTES} bytes")
    era = message.era or copy.default_era
    after = message.after_revision
    return Delta(
        name=message.name,
        after_revision=_position(era, after) if after else 0,
        head_revision=_position(era, message.head_revision),
        changes=tuple(_change(each, era) for each in message.changes),
    )


def _change_message(change: Change) -> pb.Change:
    revision = revision_of(change.revision)
    if change.value is None:
        return pb.Change(revision=revision, key=change.key, deleted=True)
    return pb.Change(revision=revision, key=change.key, value=orjson.dumps(change.value))


def _change(message: pb.Change, era: int) -> Change:
    value = None if message.deleted else orjson.loads(message.value)
    return Change(revision=_position(era, message.revision), key=message.key, value=value)


def _position(era: int, revision: int) -> int:
    """Return the position of a revision that a peer states; 0 if no store has such a one.

    A copy that took an impossible position for its own would refuse all that the store publishes.
    """
    is_possible = 0 < revision <= MAX_REVISION and era <= MAX_ERA
    return position(era, revision) if is_possible else 0
