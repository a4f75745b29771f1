"""Simulate the peers that exchange heartbeats with the daemon, each with the daemon's own code."""

import asyncio
from collections.abc import Sequence
from typing import Any

from attrs import define, field, frozen
from grpclib.server import Server, Stream

from harness.peer_handlers import PeerHandlersStub
from pomelobarrow.decision.clocks import ClockOffsets
from pomelobarrow.decision.limits import AccountLimits
from pomelobarrow.decision.load_table import LoadTable
from pomelobarrow.decision.member import ListedVm, Member
from pomelobarrow.decision.membership import MembershipView
from pomelobarrow.dispatch.local import LocalDispatch
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.kernel.settings import PeerKey
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.exchange import Exchange
from pomelobarrow.peers.grid import neighbours
from pomelobarrow.peers.heartbeats import Heartbeats
from pomelobarrow.peers.keys import PeerKeys
from pomelobarrow.peers.links import PeerLink
from pomelobarrow.peers.region_loads import RegionLoads
from pomelobarrow.peers.streams import PeerStream
from pomelobarrow.published.keyspaces import PublishedState

REGIONS = ("ra", "rb", "rc")
DOMAINS_PER_REGION = 2
HEARD_EVERY_S = 1.0


@frozen(kw_only=True)
class Place:
    """Name a VM of the fleet and its address of loopback."""

    vm: str
    region: str
    failure_domain: str
    ip: str


def places(vms: int) -> list[Place]:
    """Return the fleet's VMs, spread evenly over the regions."""
    found = []
    for number in range(vms):
        region = REGIONS[number % len(REGIONS)]
        place = number // len(REGIONS)
        found.append(
            Place(
                vm=f"{region}-{place:03d}",
                region=region,
                failure_domain=f"{region}-{place % DOMAINS_PER_REGION}",
                ip=f"127.{1 + number % len(REGIONS)}.{place // 200}.{1 + place % 200}",
            )
        )
    return found


class _Handlers(PeerHandlersStub):
    """Answer the daemon's heartbeats as one peer does."""

    def __init__(self, peer: "SimulatedPeer") -> None:
        self._peer = peer

    async def Exchange(self, stream: Stream[pb.PeerMessage, pb.PeerMessage]) -> None:  # noqa: N802
        accepted = self._peer.stream(ListedVm(vm=self._peer.daemon.vm))
        self._peer.accepted.append(accepted)
        try:
            await accepted.accepted(stream)
        finally:
            self._peer.accepted.remove(accepted)


@define(slots=False, eq=False)
class SimulatedPeer:
    """Hold one peer: what it knows, and its link to the daemon."""

    place: Place
    daemon: Place
    port: int
    key: PeerKey
    fleet: Sequence[Place]
    published: PublishedState
    _server: Server | None = None
    _link: PeerLink | None = None
    accepted: list[PeerStream] = field(factory=list)
    view: MembershipView = field(init=False)
    heartbeats: Heartbeats = field(init=False)
    exchange: Exchange = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.view = MembershipView(self.place.vm, self.place.region)
        self.view.observe_own(self._member(self.place, now_unix_s()))
        table = LoadTable(self.place.region)
        self.heartbeats = Heartbeats(
            view=self.view,
            offsets=ClockOffsets(),
            published=self.published,
            local=LocalDispatch(table=table, run_attempt=_nothing, observe=lambda event: None),
            limits=AccountLimits(),
            region_loads=RegionLoads(now_unix_s()),
            own_reports=lambda: (),
        )
        local = [each.vm for each in self.fleet if each.region == self.place.region]
        self.heartbeats.set_neighbours(neighbours(self.place.vm, local))
        self.exchange = Exchange(
            view=self.view, published=self.published, heartbeats=self.heartbeats
        )

    async def start(self) -> None:
        """Listen, and dial the daemon where that falls to this peer."""
        self._server = Server([_Handlers(self)])
        await self._server.start(self.place.ip, self.port)
        # Of two VMs the one first by name dials.
        if self.daemon.vm < self.place.vm:
            return
        self._link = PeerLink(
            peer=ListedVm(
                vm=self.daemon.vm,
                region=self.daemon.region,
                peer_address=f"{self.daemon.ip}:{self.port}",
            ),
            own_vm=self.place.vm,
            dial=lambda address: address,
            keys=PeerKeys((self.key,)),
            make_stream=self.stream,
        )
        await self._link.start()

    async def stop(self) -> None:
        """Close the link and the port."""
        if self._link is not None:
            await self._link.stop()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def hear_everyone(self) -> None:
        """Take a heartbeat of every VM but the daemon."""
        now = now_unix_s()
        for place in self.fleet:
            if place.vm not in (self.daemon.vm, self.place.vm):
                self.view.observe_heartbeat(self._member(place, now), now)

    def stream(self, peer: ListedVm) -> PeerStream:
        """Return a stream to be dialed or accepted."""
        return PeerStream(peer, self.place.region, self.exchange, self.heartbeats)

    def send_heartbeat(self) -> None:
        """Send a heartbeat on each open stream."""
        dialed = [self._link.stream] if self._link is not None else []
        for stream in (*dialed, *self.accepted):
            stream.send_heartbeat()

    def _member(self, place: Place, now_unix_s: float) -> Member:
        return Member(
            vm=place.vm,
            incarnation=1,
            region=place.region,
            failure_domain=place.failure_domain,
            caller_address=f"{place.ip}:{self.port + 1}",
            peer_address=f"{place.ip}:{self.port}",
            sequence=int(now_unix_s * 1e3),
        )


@define(slots=False)
class SimulatedPeers:
    """Hold the peers that the daemon exchanges heartbeats with."""

    peers: list[SimulatedPeer]
    _hearing: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start them all."""
        for peer in self.peers:
            peer.hear_everyone()
        self._hearing = asyncio.create_task(self._hear())
        for peer in self.peers:
            await peer.start()

    async def stop(self) -> None:
        """Stop them all."""
        if self._hearing is not None:
            self._hearing.cancel()
        for peer in self.peers:
            await peer.stop()

    async def _hear(self) -> None:
        while True:
            for peer in self.peers:
                peer.hear_everyone()
                peer.send_heartbeat()
                await asyncio.sleep(HEARD_EVERY_S / len(self.peers))


def peers_of(
    daemon: Place, fleet: Sequence[Place], port: int, key: PeerKey, published: PublishedState
) -> SimulatedPeers:
    """Return the daemon's neighbours in its region."""
    local = [each.vm for each in fleet if each.region == daemon.region]
    near = neighbours(daemon.vm, local).all
    return SimulatedPeers(
        [
            SimulatedPeer(place, daemon, port, key, fleet, published)
            for place in fleet
            if place.vm in near
        ]
    )


def _nothing(*parts: object) -> Any:
    raise NotImplementedError("a simulated peer runs no requests")
