"""Choose the peers to keep links to, and open and close the links."""

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable

from attrs import evolve
from mode import Service

from pomelobarrow.decision.members.clocks import PauseDetector
from pomelobarrow.decision.members.member import ListedVm, Member, Phase
from pomelobarrow.decision.members.member_roles import reads_platform, relays_among
from pomelobarrow.decision.members.membership import MembershipView
from pomelobarrow.kernel.background import background_task
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.events import ProcessPauseDetected
from pomelobarrow.peers.exchange import Exchange
from pomelobarrow.peers.grid import neighbours
from pomelobarrow.peers.heartbeats import Heartbeats
from pomelobarrow.peers.links import PeerLink
from pomelobarrow.peers.liveness_changes import liveness_changes
from pomelobarrow.peers.streams import AcceptedStreams, PeerStream
from pomelobarrow.published.keyspaces import VMS, PublishedState

REVIEW_EVERY_S = 0.5
HEARTBEAT_EVERY_S = 1.0
# Without jitter, VMs that send at the same time would all be woken by all others at once.
HEARTBEAT_JITTER = 0.1
# Most of a fleet is known after this time. Waiting so long is harmless, because a server that
# leaves in the meantime goes on serving for 3 s.
SETTLE_S = 2.0
# Members are dropped after minutes, so that the check need not be exact to the second.
FORGET_EVERY_S = 5.0
# Of two VMs the one with the lower name dials; the other waits this long before it dials itself.
AWAIT_STREAM_S = 1.0
ON_DEMAND_KEPT_S = 60.0
SEED_PREFIX = "seed "
# In a region that doesn't answer, this many listed VMs are tried at a time, in rotation: the list
# may be outdated, and its first two VMs may no longer exist.
CONTACTS_TRIED = 2
# With more other regions than this, each relay links only to its partner in each region. In a fleet
# of many regions, the links between them would cost a small region's VMs more than all else.
ALL_PAIRS_UP_TO_REGIONS = 4
CONTACT_ROTATION_S = 10.0

STARTING = Phase.STARTING.value

LinkFactory = Callable[[ListedVm], PeerLink]


class PeerTable(Service):
    """Keep links to neighbours, to relays in other regions and to targets of forwards."""

    def __init__(
        self,
        *,
        view: MembershipView,
        published: PublishedState,
        heartbeats: Heartbeats,
        exchange: Exchange,
        seeds: tuple[str, ...],
        make_link: LinkFactory,
        accepted: AcceptedStreams,
        observe: Callable[[object], None],
    ) -> None:
        super().__init__()
        self.links: dict[str, PeerLink] = {}
        # Callbacks that run after each review.
        self.review_listeners: list[Callable[[], None]] = []
        self._view = view
        self._published = published
        self._heartbeats = heartbeats
        self._exchange = exchange
        self._seeds = seeds
        self._make_link = make_link
        self._accepted = accepted
        self._observe = observe
        self._on_demand_until_unix_s: dict[str, float] = {}
        self._suspects: frozenset[str] = frozenset()
        self._forget_at_unix_s = 0.0
        self._settled_unix_s = now_unix_s() + SETTLE_S
        # Until when each peer is expected to dial.
        self._awaited_until_unix_s: dict[str, float] = {}
        self._pauses = PauseDetector(REVIEW_EVERY_S)
        self._random = random.Random()
        published.listeners.append(self._on_applied)

    async def on_start(self) -> None:
        """Dial the seeds, so that a VM can join while the platform is unreachable."""
        await self._dial_seeds()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds; they are dialed the next time that no peer is reachable."""
        self._seeds = seeds

    async def _dial_seeds(self) -> None:
        for seed in self._seeds:
            name = SEED_PREFIX + seed
            if name not in self.links:
                await self._open(ListedVm(vm=name, peer_address=seed))

    @background_task
    async def _review_all(self) -> None:
        while not self.should_stop:
            self._detect_pause()
            await self.review()
            await asyncio.sleep(REVIEW_EVERY_S)

    @background_task
    async def _send_heartbeats(self) -> None:
        while not self.should_stop:
            self.send_heartbeats()
            jitter = self._random.uniform(1.0 - HEARTBEAT_JITTER, 1.0 + HEARTBEAT_JITTER)
            await asyncio.sleep(HEARTBEAT_EVERY_S * jitter)

    def send_heartbeats(self) -> None:
        """Send a heartbeat to each linked peer."""
        with self._heartbeats.round.opened():
            for stream in self._all_streams():
                stream.send_heartbeat()

    async def review(self) -> None:
        """Open the wanted links and close the others."""
        now = now_unix_s()
        for change in liveness_changes(self._view, now):
            self._observe(change)
        self._rekey_seed_links()
        # After a long partition all peers have been dropped, and only the seeds are left to dial.
        if not self.reachable():
            await self._dial_seeds()
        wanted = self._wanted(now)
        for vm in self._to_dial(wanted, now):
            await self._open(wanted[vm])
        for vm in [each for each in self.links if not self._is_kept(each, wanted, now)]:
            await self._close(vm)
        suspects = self._view.suspects(now)
        for vm in suspects - self._suspects:
            self._heartbeats.forget(vm)
        self._suspects = suspects
        self._forget_gone(now)
        for listener in self.review_listeners:
            listener()

    def _forget_gone(self, now: float) -> None:
        if 0.0 <= self._forget_at_unix_s - now <= FORGET_EVERY_S:
            return
        self._forget_at_unix_s = now + FORGET_EVERY_S
        for vm in self._view.forget(now):
            self._heartbeats.forget_for_good(vm)
            self._exchange.forget(vm)

    def _to_dial(self, wanted: dict[str, ListedVm], now: float) -> list[str]:
        """Return the wanted peers to dial: those without a stream that aren't expected to dial.

        One stream per pair of VMs carries the messages of both. Either VM may be unable to dial the
        other, so that the wait is short. A starting VM doesn't wait, because it serves only once it
        has received the others' heartbeats.
        """
        accepted, is_starting = self._accepted.up(), self._view.own.phase == STARTING
        missing = [vm for vm in wanted if vm not in self.links and vm not in accepted]
        until_unix_s = {
            vm: self._awaited_until_unix_s.get(vm, now + AWAIT_STREAM_S) for vm in missing
        }
        self._awaited_until_unix_s = until_unix_s
        return [
            vm for vm in missing if is_starting or self._view.own_vm < vm or now >= until_unix_s[vm]
        ]

    def _rekey_seed_links(self) -> None:
        """File a seed's link under the name of the VM that answered on it."""
        for key in [each for each in self.links if each.startswith(SEED_PREFIX)]:
            vm = self.links[key].peer.vm
            if vm != key and vm not in self.links:
                self.links[vm] = self.links.pop(key)

    async def link_to(self, member: Member) -> PeerLink:
        """Return a link to a peer; open one for ON_DEMAND_KEPT_S if there is none."""
        self._on_demand_until_unix_s[member.vm] = now_unix_s() + ON_DEMAND_KEPT_S
        link = self.links.get(member.vm)
        return link if link is not None else await self._open(_listed(member))

    def is_linked(self, vm: str) -> bool:
        """Return whether a peer sends on an open stream, whichever VM dialed it."""
        link = self.links.get(vm)
        return (link is not None and link.is_up) or vm in self._accepted.up()

    def reachable(self) -> list[str]:
        """Return the peers that send on an open stream."""
        return list(self._streams_up())

    def _streams_up(self) -> dict[str, PeerStream]:
        """Return one open stream for each peer that sends on one."""
        dialed = {link.peer.vm: link.stream for link in self.links.values() if link.is_up}
        return self._accepted.up() | dialed

    def _all_streams(self) -> list[PeerStream]:
        dialed = [link.stream for link in self.links.values()]
        return [*dialed, *self._accepted.all()]

    def send_all_again(self) -> None:
        """Let the next heartbeat on each stream be complete."""
        for stream in self._all_streams():
            stream.send_all_again()

    def broadcast(self, message: pb.PeerMessage) -> None:
        """Send to every linked peer."""
        for stream in self._streams_up().values():
            stream.send(message)

    def broadcast_except(self, message: pb.PeerMessage, except_vm: str) -> None:
        """Send to every peer except one."""
        # This includes streams whose other end hasn't sent yet: the first messages sent to it hold
        # only what was known at that time.
        for stream in self._all_streams():
            if stream.peer.vm != except_vm:
                stream.send(message)

    async def flush(self) -> None:
        """Wait until the messages queued for the linked peers are sent."""
        await asyncio.gather(*(stream.flush() for stream in self._streams_up().values()))

    def set_phase(self, phase: Phase) -> None:
        """Change this VM's phase and send it to the linked peers at once."""
        self._view.observe_own(evolve(self._view.own, phase=phase.value))
        for vm, stream in self._streams_up().items():
            stream.send(pb.PeerMessage(heartbeat=self._heartbeats.brief(vm)))

    def clock_offset_s(self, vm: str) -> float:
        """Return the offset of a peer's clock: its time minus this VM's."""
        return self._heartbeats.offsets.offset_s(vm)

    def is_watcher(self) -> bool:
        """Return whether this VM reads the platform for its region.

        A starting VM knows few others at first and would consider itself a watcher. In a fleet that
        starts together, each VM would make four more calls to the platform before the VMs know each
        other. The lists read at the start are recent enough until then.
        """
        now = now_unix_s()
        if now < self._settled_unix_s and self._published.is_read:
            return False
        return reads_platform(self._view, now)

    async def wait_for_answers(self, timeout_s: float) -> None:
        """Wait until each linked peer has sent a message, for at most timeout_s."""
        waits = [asyncio.create_task(link.first_answer.wait()) for link in self.links.values()]
        if not waits:
            return
        _, pending = await asyncio.wait(waits, timeout=timeout_s)
        for task in pending:
            task.cancel()

    def _wanted(self, now: float) -> dict[str, ListedVm]:
        rotation = int(now / CONTACT_ROTATION_S)
        wanted_by_rotation: dict[int, dict[str, ListedVm]]
        wanted_by_rotation = self._view.memoized("wanted peers", dict, now)
        if rotation not in wanted_by_rotation:
            wanted_by_rotation.clear()
            wanted_by_rotation[rotation] = self._choose_wanted(now)
        return wanted_by_rotation[rotation]

    def _choose_wanted(self, now: float) -> dict[str, ListedVm]:
        own = self._view.own_vm
        known = {m.vm: _listed(m) for m in self._view.live_peers(now_unix_s=now)}
        known.update({vm.vm: vm for vm in self._view.contacts(now) if vm.vm != own})
        local = {vm: p for vm, p in known.items() if p.region == self._view.own_region}
        own_neighbours = neighbours(own, local)
        self._heartbeats.set_neighbours(own_neighbours)
        wanted = {vm: peer for vm, peer in local.items() if vm in own_neighbours.all}
        return wanted | self._wanted_relays(known, now)

    def _wanted_relays(self, known: dict[str, ListedVm], now: float) -> dict[str, ListedVm]:
        wanted: dict[str, ListedVm] = {}
        live: defaultdict[str, list[Member]] = defaultdict(list)
        for member in self._view.live(now_unix_s=now):
            live[member.region].append(member)
        own = self._view.own_region
        regions = {p.region for p in known.values()} - {own, ""}
        for region in regions:
            names = [member.vm for member in relays_among(live[own], own, region)]
            if self._view.own_vm not in names:
                continue
            partners = relays_among(live[region], region, own)
            if len(regions) > ALL_PAIRS_UP_TO_REGIONS:
                partners = _partner_relay(partners, names.index(self._view.own_vm))
            chosen = [_listed(member) for member in partners]
            chosen = chosen or _rotating_contacts(known, region, now)
            wanted.update({peer.vm: peer for peer in chosen})
        return wanted

    def _is_kept(self, vm: str, wanted: dict[str, ListedVm], now: float) -> bool:
        if vm.startswith(SEED_PREFIX):
            name = self.links[vm].peer.vm
            return name == vm or name not in self.links
        is_on_demand = now < self._on_demand_until_unix_s.get(vm, 0.0)
        is_wanted = vm in wanted and not self._is_second_stream(vm)
        return is_wanted or is_on_demand or self.links[vm].is_in_use

    def _is_second_stream(self, vm: str) -> bool:
        """Return whether both VMs have dialed and the stream dialed here is the one to close."""
        return vm < self._view.own_vm and vm in self._accepted.up()

    async def _open(self, peer: ListedVm) -> PeerLink:
        link = self._make_link(peer)
        self.links[peer.vm] = link
        await self.add_runtime_dependency(link)
        return link

    async def _close(self, vm: str) -> None:
        # Joining calls review() too: while one review waits here, another may close or rename the
        # link. Without this check the daemon would crash at its start.
        link = self.links.pop(vm, None)
        if link is None:
            return
        self._on_demand_until_unix_s.pop(vm, None)
        is_up = link.is_up
        await link.stream.send_closing()
        await self.remove_dependency(link)
        await link.stop()
        if is_up and link.peer.vm not in self._streams_up():
            self._view.observe_link_closed(link.peer.vm, now_unix_s())

    def _on_applied(self, name: str, source: str) -> None:
        if name == VMS:
            self._view.observe_listed(_listed_vms(self._published))
        for vm, stream in self._streams_up().items():
            if not self._exchange.pushes_change_to(source, stream.peer.region):
                continue
            delta = self._exchange.unsent_delta_for(name, vm)
            if delta is not None:
                stream.send(delta)

    def _detect_pause(self) -> None:
        now = now_unix_s()
        gap_s = self._pauses.tick(now)
        self._view.observe_tick(now + self._pauses.longest_gap_s)
        if gap_s:
            self._view.observe_pause(now, gap_s)
            self._observe(ProcessPauseDetected(gap_s))


def _partner_relay(relays: tuple[Member, ...], index: int) -> tuple[Member, ...]:
    """Return the relay at the same index: two separate links per pair of regions, not four."""
    return relays[index : index + 1] or relays[:1]


def _rotating_contacts(known: dict[str, ListedVm], region: str, now: float) -> list[ListedVm]:
    contacts = [peer for peer in known.values() if peer.region == region]
    start = int(now / CONTACT_ROTATION_S) * CONTACTS_TRIED % len(contacts)
    return (contacts + contacts)[start : start + min(CONTACTS_TRIED, len(contacts))]


def _listed(member: Member) -> ListedVm:
    return ListedVm(
        vm=member.vm,
        region=member.region,
        failure_domain=member.failure_domain,
        caller_address=member.caller_address,
        peer_address=member.peer_address,
    )


def _listed_vms(published: PublishedState) -> list[ListedVm]:
    return [
        ListedVm(
            vm=vm.name,
            region=vm.region,
            failure_domain=vm.failure_domain,
            caller_address=vm.caller_address,
            peer_address=vm.peer_address,
            leaving=vm.leaving,
        )
        for vm in published.entry_vms.values()
    ]
