"""What the daemons of a region tell each other: neighbours of the peers' grid, as in the field."""

from collections.abc import Mapping, Sequence
from functools import partial
from typing import TYPE_CHECKING

from bench.fakes.daemon import FakeDaemon
from bench.fakes.engine import FakeEngine
from pomelobarrow.decision.configuration import Rank
from pomelobarrow.decision.rendezvous import rendezvous
from pomelobarrow.decision.work import InFlight, LoadReport
from pomelobarrow.peers.grid import neighbours

if TYPE_CHECKING:
    from bench.fakes.region import FakeRegion

POLLERS = 2
SWEEP_EVERY_S = 0.1


class Exchange:
    """Send heartbeats and poll reports for one region."""

    def __init__(self, region: "FakeRegion") -> None:
        self.messages = 0
        self._region = region
        self._rows: dict[str, list[FakeDaemon]] = {}
        self._columns: dict[str, list[FakeDaemon]] = {}

    def start(self) -> None:
        """Start the timers."""
        spec = self._region.spec
        by_name = {d.name: d for d in self._region.daemons}
        for daemon in self._region.daemons:
            near = neighbours(daemon.name, by_name)
            self._rows[daemon.name] = [by_name[vm] for vm in sorted(near.row)]
            self._columns[daemon.name] = [by_name[vm] for vm in sorted(near.column)]
            if self._region.way.has_queue:
                self._region.clock.every(
                    SWEEP_EVERY_S, SWEEP_EVERY_S, partial(self._region.sweep, daemon)
                )
            first = self._region.random.random() * spec.heartbeat_s
            self._region.clock.every(spec.heartbeat_s, first, partial(self._heartbeat, daemon))
        for engine in self._region.engines.values():
            first = self._region.random.random() * spec.report_every_s
            pollers = rendezvous(engine.server.name, by_name, POLLERS)
            for vm in pollers:
                poll = partial(self._poll, engine, by_name[vm])
                self._region.clock.every(spec.report_every_s, first, poll)

    def _poll(self, engine: FakeEngine, daemon: FakeDaemon) -> None:
        if not engine.is_up or not daemon.works:
            return
        self.messages += 1
        report = engine.report()
        if report is None:
            return
        daemon.table.observe_report(report, self._region.now)
        daemon.fresh_reports.append(report)
        self._pass_cache_events(engine, daemon)
        self._region.pump(daemon)

    def _pass_cache_events(self, engine: FakeEngine, daemon: FakeDaemon) -> None:
        if not self._region.way.uses_prefixes:
            return
        lossy = 1.0 / self._region.spec.event_loss_every
        for kind, block in engine.events_for(daemon.name):
            if self._region.random.random() > lossy:
                daemon.table.prefixes.observe_event(engine.server.name, kind, block)

    def _heartbeat(self, sender: FakeDaemon) -> None:
        if not sender.works:
            return
        in_flight = dict(sender.table.in_flight())
        own, sender.fresh_reports = sender.fresh_reports, []
        from_row, sender.row_reports = sender.row_reports, []
        waiting = (sender.queue.waiting(Rank.PAYING), sender.queue.waiting(Rank.TRIAL))
        row_waiting = [waiting, *sender.row_waiting.values()]
        row_sum = tuple(sum(each) for each in zip(*row_waiting, strict=True))
        for peer in self._rows[sender.name]:
            if peer.works:
                peer.row_reports.extend(own)
                peer.row_waiting[sender.name] = waiting
                self._tell(sender.name, peer, in_flight, own, waiting)
        for peer in self._columns[sender.name]:
            if peer.works:
                self._tell(sender.name, peer, in_flight, own + from_row, row_sum)

    def _tell(
        self,
        sender: str,
        peer: FakeDaemon,
        in_flight: Mapping[str, InFlight],
        reports: Sequence[LoadReport],
        waiting: tuple[int, ...],
    ) -> None:
        self.messages += 1
        for report in reports:
            peer.table.observe_report(report, self._region.now)
        if not self._region.way.exchanges:
            return
        peer.peer_counts[sender] = in_flight
        peer.table.observe_peer(sender, in_flight, self._region.now)
        peer.queue.observe_peer_waiting(sender, waiting[0], self._region.now, waiting[1])
        self._region.pump(peer)
