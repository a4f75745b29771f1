"""Spread crashes under requests, and answers that clear them, to all VMs at once."""

from collections.abc import Callable, Iterable, Iterator
from itertools import islice

from attrs import define, field

from pomelobarrow.decision.clocks import ClockOffsets
from pomelobarrow.decision.crash_suspects import KEPT_S, Answered, Crash, CrashSuspects, Finding
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.ages import age_ms, time_of

FINDINGS_PER_MESSAGE = 500

# Send a message to every peer but one.
Broadcast = Callable[[pb.PeerMessage, str], None]


@define(kw_only=True)
class CrashUpdates:
    """Hold what is told: a new stream gets all of it, open ones each finding as it comes.

    A heartbeat a hop would be too late between regions. A VM passes on what was new to it, to all
    but the peer that told it, so that each finding crosses each stream once or twice.
    """

    suspects: CrashSuspects = field(factory=CrashSuspects)
    offsets: ClockOffsets = field(factory=ClockOffsets)
    broadcast: Broadcast = lambda message, but_vm: None

    def tell(self, findings: Iterable[Finding], but_vm: str = "") -> None:
        """Tell all peers but one."""
        for message in _messages(findings):
            self.broadcast(message, but_vm)

    def whole(self) -> Iterator[pb.PeerMessage]:
        """Return what a peer is told that has just been reached."""
        return _messages(self.suspects.crashes())

    def take(self, told: pb.CrashFindings, peer_vm: str) -> None:
        """Take in what a peer tells and pass on what is new."""
        now = now_unix_s()
        sent_unix_s = self.offsets.sent_unix_s(peer_vm, told.sent_unix_s, now)
        news: list[Finding] = []
        for each in told.findings:
            unix_s = time_of(each.age_ms, sent_unix_s)
            # False for a time that is no number, too.
            if now - KEPT_S < unix_s <= now:
                news += self.suspects.note(_finding(each, unix_s))
        self.tell(news, peer_vm)


def _messages(findings: Iterable[Finding]) -> Iterator[pb.PeerMessage]:
    left = iter(findings)
    while batch := list(islice(left, FINDINGS_PER_MESSAGE)):
        now = now_unix_s()
        told = pb.CrashFindings(sent_unix_s=now, findings=[_message(each, now) for each in batch])
        yield pb.PeerMessage(crash_findings=told)


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
    )


def _finding(message: pb.CrashFinding, unix_s: float) -> Finding:
    if message.is_answered:
        return Answered(fingerprint=message.fingerprint, answered_unix_s=unix_s)
    return Crash(
        fingerprint=message.fingerprint, server_key=message.server_key, ended_unix_s=unix_s
    )
