"""Transfer the request ids of a stopping VM to one successor."""

import asyncio
import math

import structlog
from result import Ok

from pomelobarrow.decision.members.member import Member
from pomelobarrow.decision.requests.issued_id import Issuer, parse_issuer
from pomelobarrow.decision.requests.request_ids import (
    AlreadyExportedError,
    EntryState,
    LedgerEntry,
    LedgerExport,
    Outcome,
    RequestIdLedger,
)
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.calls import CONNECTION_ERRORS
from pomelobarrow.peers.keys import PeerKeys
from pomelobarrow.peers.links import PeerLink
from pomelobarrow.peers.peers_grpc import PeerStub

HAND_OVER_PATH = "/pomelobarrow.peers.v1.Peer/HandOver"
HAND_OVER_TIMEOUT_S = 3.0
# A state that only a newer version defines is treated as lost: retries are answered "unknown".
_STATE_BY_VALUE = {state.value: state for state in EntryState}

log = structlog.get_logger(__name__)


async def hand_over(
    ledger: RequestIdLedger, own: Member, link: PeerLink, keys: PeerKeys
) -> tuple[tuple[str, int], ...]:
    """Send the ids of each issuer to the successor; return the issuers that it accepted."""
    accepted = []
    for vm, incarnation in ledger.issuers:
        try:
            export = ledger.export((vm, incarnation))
        except AlreadyExportedError as error:
            log.warning("request ids not handed over", issuer=vm, reason=str(error))
            continue
        if await _send(_message(vm, incarnation, export, own.vm), own.vm, link, keys):
            accepted.append((vm, incarnation))
    return tuple(accepted)


def adopt_message(ledger: RequestIdLedger, message: pb.HandOverRequest) -> bool:
    """Adopt another VM's ids; return False if the ledger can't take them.

    Without the time up to which ids have expired, one that has run could run again.
    """
    # Also false for NaN.
    has_expiry = message.expired_through_unix_s < math.inf
    if not (has_expiry and all(_fits_id(each, message) for each in message.entries)):
        log.warning("request ids not adopted", issuer=message.vm, reason="times or ids don't fit")
        return False
    export = LedgerExport(
        secret=message.secret,
        entries=tuple(_entry(each) for each in message.entries),
        expired_through_unix_s=message.expired_through_unix_s,
    )
    return ledger.adopt(message.vm, message.incarnation, export)


def _fits_id(entry: pb.LedgerEntry, message: pb.HandOverRequest) -> bool:
    """Return whether an entry has the issuer and the expiry that its id states."""
    stated = Issuer(message.vm, message.incarnation, entry.expires_unix_s)
    return parse_issuer(entry.request_id) == Ok(stated)


async def _send(message: pb.HandOverRequest, own_vm: str, link: PeerLink, keys: PeerKeys) -> bool:
    channel = link.open_channel()
    try:
        async with asyncio.timeout(HAND_OVER_TIMEOUT_S):
            metadata = keys.metadata(own_vm, HAND_OVER_PATH)
            reply = await PeerStub(channel).HandOver(message, metadata=metadata)
            return bool(reply.accepted)
    except (*CONNECTION_ERRORS, AttributeError) as error:
        # The successor may or may not have received the ids. They stay retired here, and if the
        # successor has them, it answers for them, so that none can run twice. Otherwise retries
        # get "unknown".
        log.warning("hand-over unconfirmed", successor=link.peer.vm, error=repr(error))
        return False
    finally:
        channel.close()


def _message(vm: str, incarnation: int, export: LedgerExport, own_vm: str) -> pb.HandOverRequest:
    return pb.HandOverRequest(
        vm=vm,
        incarnation=incarnation,
        secret=export.secret,
        entries=[_entry_message(entry) for entry in export.entries],
        expired_through_unix_s=export.expired_through_unix_s,
        from_vm=own_vm,
    )


def _entry_message(entry: LedgerEntry) -> pb.LedgerEntry:
    message = pb.LedgerEntry(
        request_id=entry.request_id,
        account=entry.account,
        expires_unix_s=entry.expires_unix_s,
        state=entry.state.value,
    )
    if entry.outcome is not None:
        message.has_outcome = True
        message.status = entry.outcome.status
        message.run = entry.outcome.run
        message.has_body = entry.outcome.body is not None
        message.body = entry.outcome.body or b""
        message.headers.extend(
            pb.Header(name=name, value=value) for name, value in entry.outcome.headers
        )
    return message


def _entry(message: pb.LedgerEntry) -> LedgerEntry:
    outcome = None
    if message.has_outcome:
        outcome = Outcome(
            status=message.status,
            headers=tuple((each.name, each.value) for each in message.headers),
            body=message.body if message.has_body else None,
            run=message.run,
        )
    return LedgerEntry(
        request_id=message.request_id,
        account=message.account,
        expires_unix_s=message.expires_unix_s,
        state=_STATE_BY_VALUE.get(message.state, EntryState.LOST),
        outcome=outcome,
    )
