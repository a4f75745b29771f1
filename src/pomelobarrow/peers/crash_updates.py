"""Broadcast which requests crashed servers, and which answers cleared them, to all VMs."""

import math
from collections.abc import Callable, Iterable, Iterator
from itertools import islice

from attrs import define, field

from pomelobarrow.decision.members.clocks import ClockOffsets
from pomelobarrow.decision.servers.crash_suspects import (
    CRASH_RETENTION_S,
    Answered,
    Crash,
    CrashSuspects,
    Finding,
)
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.ages import age_ms, unix_s_from_age

FINDINGS_PER_MESSAGE = 500
# What is read of a message, more than any peer sends in one.
MAX_FINDINGS_READ = 2_000

# Sends a message to every peer except the named one.
Broadcast = Callable[[pb.PeerMessage, str], None]


@define(kw_only=True)
class CrashUpdates:
    """Exchange crash findings: a new stream gets all of them, open streams each one as it arrives.

    Findings aren't part of heartbeats, because one heartbeat interval per hop would be too slow
    between regions. A VM passes findings that are new to it on to all peers except the sender, so
    that each finding crosses each stream once or twice.
    """

    suspects: CrashSuspects = field(factory=CrashSuspects)
    offsets: ClockOffsets = field(factory=ClockOffsets)
    broadcast: Broadcast = lambda message, except_vm: None

    def notify_peers(self, findings: Iterable[Finding], except_vm: str = "") -> None:
        """Send findings to all peers except one."""
        for message in _messages(findings):
            self.broadcast(message, except_vm)

    def all_messages(self) -> Iterator[pb.PeerMessage]:
        """Return the messages with all findings, for a newly connected peer."""
        return _messages(self.suspects.crashes())

    def apply(self, message: pb.CrashFindings, peer_vm: str) -> None:
        """Record the findings of a peer and pass on those that are new."""
        now = now_unix_s()
        sent_unix_s = self.offsets.sent_unix_s(peer_vm, message.sent_unix_s, now)
        new_findings: list[Finding] = []
        for each in islice(message.findings, MAX_FINDINGS_READ):
            unix_s = unix_s_from_age(each.age_ms, sent_unix_s)
            # Also false for NaN.
            if now - CRASH_RETENTION_S < unix_s <= now:
                new_findings += self.suspects.note(_finding(each, unix_s, sent_unix_s))
        self.notify_peers(new_findings, peer_vm)


def _messages(findings: Iterable[Finding]) -> Iterator[pb.PeerMessage]:
    left = iter(findings)
    while batch := list(islice(left, FINDINGS_PER_MESSAGE)):
        now = now_unix_s()
        message = pb.CrashFindings(
            sent_unix_s=now, findings=[_message(each, now) for each in batch]
        )
        yield pb.PeerMessage(crash_findings=message)


def _message(finding: Finding, now_unix_s: float) -> pb.CrashFinding:
    if isinstance(finding, Answered):
        return pb.CrashFinding(
            fingerprint=finding.fingerprint,
            age_ms=age_ms(finding.answered_unix_s, now_unix_s),
            is_answered=True,
        )
    return pb.CrashFinding(
        fingerprint=finding.fingerprint,
        server_key=finding.server_key,
        age_ms=age_ms(finding.ended_unix_s, now_unix_s),
        running_age_ms=age_ms(finding.running_unix_s, now_unix_s),
        request_key=finding.request_key,
        pool_key=finding.pool_key,
    )


def _finding(message: pb.CrashFinding, unix_s: float, sent_unix_s: float) -> Finding:
    if message.is_answered:
        return Answered(fingerprint=message.fingerprint, answered_unix_s=unix_s)
    return Crash(
        fingerprint=message.fingerprint,
        server_key=message.server_key,
        ended_unix_s=unix_s,
        running_unix_s=_running_unix_s(message.running_age_ms, sent_unix_s),
        request_key=message.request_key,
        pool_key=message.pool_key,
    )


def _running_unix_s(age_ms: int, sent_unix_s: float) -> float:
    return unix_s_from_age(age_ms, sent_unix_s) if age_ms else -math.inf
