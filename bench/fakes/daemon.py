"""One entry VM's decision state, without any I/O."""

from collections.abc import Callable, Iterable, Mapping
from random import Random

from attrs import define, field

from bench.fakes.traffic import Arrival
from pomelobarrow.decision.load_table import LoadTable
from pomelobarrow.decision.work import BackendServer, InFlight, LoadReport, Work
from pomelobarrow.decision.work_queue import DueFunction, WorkQueue


@define(kw_only=True, eq=False)
class FakeDaemon:
    """Hold what one entry VM knows."""

    name: str
    region: str
    pool: str
    random: Random
    servers: list[BackendServer]
    due: DueFunction | None = None
    # Servers this daemon may use; all but in the subset way.
    excluded: frozenset[str] = frozenset()
    # Servers whose requests another daemon dispatches; used in the owner way only.
    not_owned: frozenset[str] = frozenset()
    table: LoadTable = field(init=False)
    queue: WorkQueue = field(init=False)
    is_running: bool = True
    # Peers still count on this daemon.
    is_listed: bool = True
    # What arrived while it didn't work.
    inbox: list[Callable[[], None]] = field(factory=list)
    turn: int = 0
    arrivals: dict[str, Arrival] = field(factory=dict)
    peer_counts: dict[str, Mapping[str, InFlight]] = field(factory=dict)
    # Reports polled since the last heartbeat, which passes them on.
    fresh_reports: list[LoadReport] = field(factory=list)
    # What VMs of the same row told, to be passed on along the column.
    row_reports: list[LoadReport] = field(factory=list)
    row_waiting: dict[str, tuple[int, ...]] = field(factory=dict)

    def reset(self, servers: Iterable[BackendServer]) -> None:
        """Forget everything, as a replaced VM."""
        self.table = LoadTable(self.region)
        self.table.set_servers(servers)
        self.queue = WorkQueue(self.pool, self.due)
        self.arrivals.clear()
        self.peer_counts.clear()
        self.is_running = self.is_listed = True

    def run(self, event: Callable[[], None]) -> None:
        """Run an event now, or when the daemon works again."""
        if self.is_running:
            event()
        else:
            self.inbox.append(event)

    def exchanged_requests(self, server: str) -> int:
        """Count a server's requests in flight from here and, as last heard, from the peers."""
        own = self.table.in_flight().get(server, InFlight()).requests
        return own + sum(c[server].requests for c in self.peer_counts.values() if server in c)


Pick = Callable[[FakeDaemon, Work, float], str | None]
