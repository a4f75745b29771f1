"""VMs of two regions, their clocks and their datagrams, for models without real time."""

import asyncio
import enum
import math
from collections.abc import Callable
from contextvars import ContextVar, Token
from typing import Any

from attrs import define, field

from pomelobarrow.decision.members.member import Member
from pomelobarrow.decision.streams.list_evidence import ListEvidence
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.stream_software import StreamSoftwareUpdates

REGION_BY_VM = {"a-1": "a", "a-2": "a", "a-3": "a", "b-1": "b", "b-2": "b"}
REGIONS = ("a", "b")
CUT_OFF_REGION = "b"
START_UNIX_S = 1_000_000.0
KEYSPACES = ("config", "vms")
# A VM that reads the store before it answers takes some steps of the loop.
MAX_ANSWER_STEPS = 20


class Loss(enum.Enum):
    """Which datagrams are lost."""

    NONE = "none"
    EACH_SECOND = "each second"
    ALL = "all"


@define(kw_only=True)
class View:
    """The members as a VM sees them: all others, each with its newest incarnation."""

    own_vm: str
    own_region: str
    started_unix_s: dict[str, float]

    def get(self, vm: str) -> Member:
        started_ms = int(self.started_unix_s[vm] * 1_000)
        return Member(
            vm=vm, region=REGION_BY_VM[vm], incarnation=started_ms, peer_address=f"{vm}:1"
        )

    def known(self) -> tuple[Member, ...]:
        return tuple(self.get(vm) for vm in REGION_BY_VM if vm != self.own_vm)

    def last_seen_unix_s(self, vm: str) -> float:
        is_cut = CUT_OFF_REGION in (REGION_BY_VM[vm], self.own_region)
        return START_UNIX_S if is_cut else math.inf

    def live(self, region: str, now_unix_s: float) -> tuple[Member, ...]:
        return tuple(self.get(vm) for vm in REGION_BY_VM if REGION_BY_VM[vm] == region)

    def memoized(self, key: str, compute: Callable[[], Any], now_unix_s: float) -> Any:
        return compute()


@define(kw_only=True)
class Network:
    """Deliver datagrams at once, or lose them."""

    clock: "Clock"
    vms: "dict[str, Datagrams]" = field(factory=dict)
    loss: Loss = Loss.NONE
    # No datagram of another region reaches this one or leaves it.
    cut_off_region: str = ""
    # Pairs of senders and receivers between which all datagrams are lost.
    cut_pairs: frozenset[tuple[str, str]] = frozenset()
    _sent: int = 0

    def is_cut(self, sender: str, receiver: str) -> bool:
        regions = {REGION_BY_VM[sender], REGION_BY_VM[receiver]}
        is_across = len(regions) > 1 and self.cut_off_region in regions
        return is_across or (sender, receiver) in self.cut_pairs

    def is_lost(self) -> bool:
        self._sent += 1
        return self.loss is Loss.ALL or (self.loss is Loss.EACH_SECOND and self._sent % 2 == 0)

    def deliver(self, to: str, message: pb.Datagram, reply: Callable[[pb.Datagram], None]) -> None:
        if self.is_lost():
            return
        kind = message.WhichOneof("kind")
        with self.clock.of(to):
            self.vms[to].handlers[kind](getattr(message, kind), reply)


@define(kw_only=True)
class Datagrams:
    """The part of `PeerDatagrams` that updates of streams use."""

    network: Network
    vm: str
    port: int = 1
    handlers: dict[str, Any] = field(factory=dict)

    def send(self, address: tuple[str, int], message: pb.Datagram) -> None:
        if not self.network.is_cut(self.vm, address[0]):
            self.network.deliver(address[0], message, lambda answer: None)

    async def query(self, address: tuple[str, int], message: pb.Datagram, timeout_s: float) -> Any:
        answers: list[pb.Datagram] = []
        if not self.network.is_cut(self.vm, address[0]):
            self.network.deliver(address[0], message, answers.append)
        for _ in range(MAX_ANSWER_STEPS):
            if not answers:
                await asyncio.sleep(0)
        if not answers or self.network.is_cut(address[0], self.vm) or self.network.is_lost():
            return None
        return answers[0].stream_answer


# The VM whose code runs; tasks that it starts are its own.
reader: ContextVar[str] = ContextVar("reader", default="")


@define
class Clock:
    """The time, which each VM reads with an offset of its own."""

    unix_s: float = START_UNIX_S
    offset_s: dict[str, float] = field(factory=dict)

    def now(self) -> float:
        return self.unix_s + self.offset_s.get(reader.get(), 0.0)

    def of(self, vm: str) -> "ClockReader":
        return ClockReader(vm)


@define
class ClockReader:
    """Let a VM read the clock."""

    vm: str
    token: Token[str] | None = None

    def __enter__(self) -> None:
        self.token = reader.set(self.vm)

    def __exit__(self, *error: object) -> None:
        assert self.token is not None
        reader.reset(self.token)


def evidence_of(updates: StreamSoftwareUpdates) -> ListEvidence:
    """Return the evidence on which a VM relies from now on."""
    evidence = ListEvidence(view=updates.view, regions=REGIONS, keyspaces=KEYSPACES)
    updates.streams.is_current = evidence.is_current
    updates.streams.history.proven_unix_s = lambda: evidence.proven_unix_s
    return evidence


def note_reads(evidence: ListEvidence, unix_s: float) -> None:
    for each in KEYSPACES:
        evidence.note_read(each, unix_s)
