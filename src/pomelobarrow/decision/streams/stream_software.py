"""Decide at which backend servers a stream may go on: those of the software that began it.

Load pattern: servers of several software versions serve one pool during an upgrade. Meanwhile
servers crash and VMs restart, and clients take up their streams at other VMs some milliseconds
later. What two versions write doesn't fit together.
"""

import functools
from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator, Mapping

import xxhash
from attrs import define, evolve, field, frozen

from pomelobarrow.decision.requests.placement_request import ExcludedTargets
from pomelobarrow.decision.requests.short_key import short_key
from pomelobarrow.decision.requests.work import BackendServer

# Clients take up a stream within the time that they grant the request; few grant more than this.
STREAM_RETENTION_S = 120.0
MAX_STREAMS = 16_384
MAX_CACHED_KEYS = 1_024
# The software of a stream whose server is unknown. No server has this key.
UNKNOWN_SOFTWARE = -1


def stream_key(request_id: str) -> int:
    """Return the key of the stream that a client attempt began."""
    return xxhash.xxh64_intdigest(request_id.encode())


def software_key(server: BackendServer) -> int:
    """Return the key of a server's software; servers whose entries name no version share one."""
    return _software_key(server.pool, server.software_version)


@functools.lru_cache(MAX_CACHED_KEYS)
def _software_key(pool: str, version: str) -> int:
    return short_key(f"{pool}\0{version}")


@frozen(kw_only=True)
class StreamBegan:
    """The software of the server that sent a stream's first event."""

    stream_key: int
    software_key: int


@define(kw_only=True)
class StreamRecords:
    """The software of recent streams; the oldest records are dropped first."""

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

    def of_software(self, keys: Iterable[int]) -> Iterator[StreamBegan]:
        """Yield the recorded streams of any of these software versions."""
        wanted = set(keys)
        for key, (software, _) in self._records.items():
            if software in wanted:
                yield StreamBegan(stream_key=key, software_key=software)

    def _drop_old(self, now_unix_s: float) -> None:
        while self._records:
            _, noted_unix_s = next(iter(self._records.values()))
            is_old = noted_unix_s < now_unix_s - STREAM_RETENTION_S
            if not is_old and len(self._records) < MAX_STREAMS:
                return
            self._records.popitem(last=False)


@define(kw_only=True)
class SoftwareHistory:
    """The software versions that servers of each pool have run recently, by the list of servers."""

    # By pool and software: until when it was listed, if it no longer is.
    _gone_unix_s: dict[str, dict[int, float]] = field(factory=dict, init=False)
    # The software of the servers that are listed, by pool.
    _listed: dict[str, set[int]] = field(factory=dict, init=False)
    # When this VM received its first list.
    _first_list_unix_s: float | None = field(default=None, init=False)

    def observe(self, servers: Mapping[str, BackendServer], now_unix_s: float) -> None:
        """Record the present list; the one before was valid until now."""
        if self._first_list_unix_s is None:
            self._first_list_unix_s = now_unix_s
        for pool, keys in self._listed.items():
            self._gone_unix_s.setdefault(pool, {}).update(dict.fromkeys(keys, now_unix_s))
        self._listed = {}
        for server in servers.values():
            self._listed.setdefault(server.pool, set()).add(software_key(server))
        self._forget_old(now_unix_s)

    def known_for_s(self, now_unix_s: float) -> float:
        """Return for how long this VM has known which servers are listed."""
        return 0.0 if self._first_list_unix_s is None else now_unix_s - self._first_list_unix_s

    def recent(self, pool: str, now_unix_s: float) -> frozenset[int]:
        """Return the versions whose streams may still be taken up."""
        oldest_unix_s = now_unix_s - STREAM_RETENTION_S
        gone = self._gone_unix_s.get(pool, {})
        left = (key for key, until_unix_s in gone.items() if until_unix_s > oldest_unix_s)
        return frozenset(self._listed.get(pool, ())).union(left)

    def recent_by_pool(self, now_unix_s: float) -> dict[str, frozenset[int]]:
        """Return the same for each pool."""
        return {pool: self.recent(pool, now_unix_s) for pool in {*self._listed, *self._gone_unix_s}}

    def assumed(self, pool: str, now_unix_s: float) -> int | None:
        """Return the software of a stream of which there is no record, None if it isn't certain.

        A VM that has just started can't know which versions have left before.
        """
        if self.known_for_s(now_unix_s) < STREAM_RETENTION_S:
            return None
        recent = self.recent(pool, now_unix_s)
        return next(iter(recent)) if len(recent) == 1 else None

    def _forget_old(self, now_unix_s: float) -> None:
        oldest_unix_s = now_unix_s - STREAM_RETENTION_S
        for pool, gone in list(self._gone_unix_s.items()):
            kept = {key: unix_s for key, unix_s in gone.items() if unix_s > oldest_unix_s}
            if kept:
                self._gone_unix_s[pool] = kept
            else:
                del self._gone_unix_s[pool]


@define(kw_only=True)
class StreamSoftware:
    """What this VM knows of the software of streams: its own ones and those of peers."""

    history: SoftwareHistory = field(factory=SoftwareHistory)
    # Sends records to the VMs that keep them.
    publish: Callable[[Iterable[StreamBegan]], None] = lambda records: None
    _own: StreamRecords = field(factory=StreamRecords)
    _of_peers: StreamRecords = field(factory=StreamRecords)
    # Pools whose streams may be of several versions.
    mixed_pools: frozenset[str] = frozenset()

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

    def note_began(self, request_id: str, pool: str, software: int, now_unix_s: float) -> None:
        """Record the software that begins a stream of this VM, before its client gets an event.

        Other VMs need the record unless they assume this software without one. A peer's server may
        run a version that this VM's list of servers doesn't have yet.
        """
        began = StreamBegan(stream_key=stream_key(request_id), software_key=software)
        self._own.note(began, now_unix_s)
        if self.history.assumed(pool, now_unix_s) != software:
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
