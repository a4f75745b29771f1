"""Decide at which backend servers a stream may go on: those of the software that began it.

Load pattern: servers of several software versions serve one pool during an upgrade. Meanwhile
servers crash and VMs restart, and clients take up their streams at other VMs some milliseconds
later. What two versions write doesn't fit together.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator, Mapping

import xxhash
from attrs import define, evolve, field, frozen

from pomelobarrow.decision.published.routing import Routing
from pomelobarrow.decision.requests.placement_request import ExcludedTargets
from pomelobarrow.decision.requests.work import BackendServer
from pomelobarrow.decision.streams.software_history import (
    STREAM_RETENTION_S,
    SoftwareHistory,
    StreamTarget,
    software_key,
)

MAX_STREAMS = 16_384
# The software of a stream whose server is unknown. No server has this key.
UNKNOWN_SOFTWARE = -1


def stream_key(request_id: str) -> int:
    """Return the key of the stream that a client attempt began."""
    return xxhash.xxh64_intdigest(request_id.encode())


@frozen(kw_only=True)
class StreamBegan:
    """The software of the server that sent a stream's first event."""

    stream_key: int
    software_key: int


@define(kw_only=True)
class StreamRecords:
    """The software of recent streams; the oldest records are dropped first."""

    retention_s: float = STREAM_RETENTION_S
    _records: "OrderedDict[int, tuple[int, float]]" = field(factory=OrderedDict)

    def __len__(self) -> int:
        return len(self._records)

    def note(self, began: StreamBegan, now_unix_s: float) -> None:
        """Record a stream; the software that is recorded first stays."""
        self._drop_old(now_unix_s)
        self._records.setdefault(began.stream_key, (began.software_key, now_unix_s))

    def forget(self, key: int) -> None:
        """Drop the record of a stream that is complete."""
        self._records.pop(key, None)

    def software_of(self, key: int) -> int | None:
        """Return the software of a stream, None if it isn't known."""
        record = self._records.get(key)
        return record[0] if record else None

    def all(self) -> Iterator[StreamBegan]:
        """Yield all recorded streams."""
        for key, (software, _) in self._records.items():
            yield StreamBegan(stream_key=key, software_key=software)

    def of_software(self, keys: Iterable[int]) -> Iterator[StreamBegan]:
        """Yield the recorded streams of any of these software versions."""
        wanted = set(keys)
        return (began for began in self.all() if began.software_key in wanted)

    def _drop_old(self, now_unix_s: float) -> None:
        while self._records:
            _, noted_unix_s = next(iter(self._records.values()))
            is_old = noted_unix_s < now_unix_s - self.retention_s
            if not is_old and len(self._records) < MAX_STREAMS:
                return
            self._records.popitem(last=False)


@define(kw_only=True)
class StreamSoftware:
    """What this VM knows of the software of streams: its own ones and those of peers."""

    history: SoftwareHistory = field(factory=SoftwareHistory)
    # Returns whether other VMs can probably find out what is published; else they need records.
    is_current: Callable[[float], bool] = lambda now_unix_s: True
    # Sends records to the VMs that keep them.
    publish: Callable[[Iterable[StreamBegan]], None] = lambda records: None
    _own: StreamRecords = field(factory=StreamRecords)
    _of_peers: StreamRecords = field(factory=StreamRecords)
    # Pools whose streams may be of several versions.
    mixed_pools: frozenset[str] = frozenset()
    # Whether the lists of servers were current at the last review.
    _was_current: bool = field(default=True, init=False)

    @property
    def kept_records(self) -> int:
        """Return how many streams of peers are recorded here."""
        return len(self._of_peers)

    def observe_servers(self, servers: Mapping[str, BackendServer], now_unix_s: float) -> None:
        """Record the list of servers; publish own streams of pools that now have two versions."""
        self.history.observe(servers, now_unix_s)
        by_pool = self.history.recent_by_pool(now_unix_s)
        mixed = frozenset(pool for pool, recent in by_pool.items() if len(recent) > 1)
        for pool in mixed - self.mixed_pools:
            self.publish(self._own.of_software(by_pool[pool]))
        self.mixed_pools = mixed

    def review(self, now_unix_s: float) -> None:
        """Publish own streams once this VM's list may be out of date, as those of its peers may."""
        is_current = self.is_current(now_unix_s)
        if self._was_current and not is_current:
            self.publish(self._own.all())
        self._was_current = is_current

    def observe_routing(self, routing: Routing, now_unix_s: float) -> None:
        """Record the routes; publish own streams if any may be of another pool than its route's."""
        has_changed = self.history.observe_routing(routing, now_unix_s)
        self._own.retention_s = self._of_peers.retention_s = self.history.retention_s
        if has_changed:
            self.publish(self._own.all())

    def note_began(
        self, request_id: str, target: StreamTarget, software: int, now_unix_s: float
    ) -> None:
        """Record the software that begins a stream of this VM, before its client gets an event.

        Other VMs need the record unless they find out that no other software is listed. A peer's
        server may run a version that this VM's list of servers doesn't have yet.
        """
        began = StreamBegan(stream_key=stream_key(request_id), software_key=software)
        self._own.note(began, now_unix_s)
        is_only = self.history.assumed(target, now_unix_s) == software
        if not is_only or not self.is_current(now_unix_s):
            self.publish((began,))

    def note_complete(self, request_id: str) -> None:
        """Forget a stream of this VM that its client has received whole."""
        self._own.forget(stream_key(request_id))

    def note_of_peer(self, began: StreamBegan, now_unix_s: float) -> None:
        """Record a stream of a peer."""
        self._of_peers.note(began, now_unix_s)

    def software_of(self, key: int) -> int | None:
        """Return the software of a stream, None if it isn't known here."""
        own = self._own.software_of(key)
        return self._of_peers.software_of(key) if own is None else own


def exclude_other_software(
    software: int, servers: Iterable[BackendServer], excluded: ExcludedTargets
) -> ExcludedTargets | None:
    """Exclude a pool's servers of other software and the regions that have no server of this one.

    Return None if no server of this software is in service.
    """
    of_pool = tuple(servers)
    fitting = [s for s in of_pool if software_key(s) == software and not s.leaving]
    if not fitting:
        return None
    others = {server.name for server in of_pool if software_key(server) != software}
    regions = {server.region for server in of_pool} - {server.region for server in fitting}
    return evolve(excluded, servers=excluded.servers | others, regions=excluded.regions | regions)
