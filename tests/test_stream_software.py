"""Which software a stream was begun by, and which servers may go on with it."""

from attrs import evolve
from test_software_history import (
    FIRST,
    LONG_AGO,
    NOW,
    OTHER_TARGET,
    POOL,
    ROUTES,
    SECOND,
    TARGET,
    V1,
    V2,
    V_OTHER,
    listed,
    routes,
    stream_route,
)

from pomelobarrow.decision.published.routing import Routing
from pomelobarrow.decision.requests.placement_request import ExcludedTargets
from pomelobarrow.decision.streams.software_history import STREAM_RETENTION_S, software_key
from pomelobarrow.decision.streams.stream_software import (
    MAX_STREAMS,
    StreamBegan,
    StreamRecords,
    StreamSoftware,
    exclude_other_software,
    stream_key,
)

V1_ELSEWHERE = evolve(V1, name="s3", region="b")


def test_first_record_of_a_stream_stays() -> None:
    records = StreamRecords()
    records.note(StreamBegan(stream_key=1, software_key=FIRST), NOW)
    records.note(StreamBegan(stream_key=1, software_key=SECOND), NOW)
    assert records.software_of(1) == FIRST


def test_old_records_are_dropped() -> None:
    records = StreamRecords()
    records.note(StreamBegan(stream_key=1, software_key=FIRST), NOW)
    late = NOW + STREAM_RETENTION_S + 1.0
    records.note(StreamBegan(stream_key=2, software_key=FIRST), late)
    assert (records.software_of(1), records.software_of(2)) == (None, FIRST)


def test_records_of_long_streams_are_kept_until_they_are_taken_up() -> None:
    """The keeper of a stream that had run for longer than two minutes had forgotten it."""
    streams, long_s = StreamSoftware(), 2 * STREAM_RETENTION_S
    streams.observe_routing(
        Routing(routes=(stream_route("/drafts/", POOL, timeout_s=long_s),)), LONG_AGO
    )
    streams.note_of_peer(StreamBegan(stream_key=1, software_key=FIRST), NOW)
    streams.note_of_peer(StreamBegan(stream_key=2, software_key=FIRST), NOW + long_s)
    assert streams.software_of(1) == FIRST


def test_records_are_bounded() -> None:
    records = StreamRecords()
    for key in range(MAX_STREAMS + 5):
        records.note(StreamBegan(stream_key=key, software_key=FIRST), NOW)
    assert len(records) == MAX_STREAMS
    assert records.software_of(0) is None


def test_streams_are_published_once_the_list_may_be_old() -> None:
    """A stream without a record was refused, or joined, at a VM of a region that was cut off."""
    published: list[StreamBegan] = []
    streams = StreamSoftware(publish=published.extend)
    streams.observe_routing(ROUTES, LONG_AGO)
    streams.observe_servers(listed(V1), LONG_AGO)
    streams.note_began("r1", TARGET, FIRST, NOW)
    streams.review(NOW)
    assert published == []
    streams.is_current = lambda now_unix_s: False
    streams.review(NOW + 1.0)
    streams.review(NOW + 2.0)
    streams.note_began("r2", TARGET, FIRST, NOW + 2.0)
    expected = [
        StreamBegan(stream_key=stream_key(each), software_key=FIRST) for each in ("r1", "r2")
    ]
    assert published == expected


def test_streams_are_published_while_a_pool_has_two_versions() -> None:
    published: list[StreamBegan] = []
    streams = StreamSoftware(publish=published.extend)
    streams.observe_routing(ROUTES, LONG_AGO)
    streams.observe_servers(listed(V1), LONG_AGO)
    streams.note_began("r1", TARGET, FIRST, NOW)
    streams.note_began("r2", TARGET, FIRST, NOW)
    streams.note_complete("r2")
    assert published == []
    # Those that go on when the second version appears are published then.
    streams.observe_servers(listed(V1, V2), NOW + 1.0)
    streams.note_began("r3", TARGET, SECOND, NOW + 2.0)
    keys = [stream_key("r1"), stream_key("r3")]
    assert [each.stream_key for each in published] == keys
    assert [streams.software_of(key) for key in keys] == [FIRST, SECOND]


def test_streams_of_another_pool_are_not_published() -> None:
    published: list[StreamBegan] = []
    streams = StreamSoftware(publish=published.extend)
    streams.observe_routing(ROUTES, LONG_AGO)
    streams.observe_servers(listed(V1, V2, V_OTHER), LONG_AGO)
    streams.note_began("r1", OTHER_TARGET, software_key(V_OTHER), NOW)
    assert published == []


def test_stream_of_a_version_that_is_not_listed_here_is_published() -> None:
    """A VM with an old list of servers gets the answer of a new one from a peer."""
    published: list[StreamBegan] = []
    streams = StreamSoftware(publish=published.extend)
    streams.observe_routing(ROUTES, LONG_AGO)
    streams.observe_servers(listed(V1), LONG_AGO)
    streams.note_began("r1", TARGET, SECOND, NOW)
    assert [each.software_key for each in published] == [SECOND]


def test_streams_of_a_vm_that_has_just_started_are_published() -> None:
    """No VM may assume their version if all started at the same time, and this one may end."""
    published: list[StreamBegan] = []
    streams = StreamSoftware(publish=published.extend)
    streams.observe_routing(ROUTES, NOW)
    streams.observe_servers(listed(V1), NOW)
    streams.note_began("r1", TARGET, FIRST, NOW + STREAM_RETENTION_S - 1.0)
    streams.note_began("r2", TARGET, FIRST, NOW + STREAM_RETENTION_S)
    assert [each.stream_key for each in published] == [stream_key("r1")]


def test_streams_of_a_route_that_moves_to_another_pool_are_published() -> None:
    """A VM that knows only the new pool let them go on there, once this VM had ended."""
    published: list[StreamBegan] = []
    streams = StreamSoftware(publish=published.extend)
    streams.observe_routing(ROUTES, LONG_AGO)
    streams.observe_servers(listed(V1, V_OTHER), LONG_AGO)
    streams.note_began("r1", TARGET, FIRST, NOW)
    assert published == []
    streams.observe_routing(routes(V_OTHER.pool), NOW + 1.0)
    streams.note_began("r2", TARGET, software_key(V_OTHER), NOW + 1.0)
    assert [each.stream_key for each in published] == [stream_key("r1"), stream_key("r2")]
    assert [each.software_key for each in published] == [FIRST, software_key(V_OTHER)]


def test_servers_of_other_software_and_regions_without_it_are_excluded() -> None:
    tried = ExcludedTargets(servers={"s9"}, regions={"c"})
    there = evolve(V2, name="s4", region="b")
    found = exclude_other_software(SECOND, [V1, V1_ELSEWHERE, V2], tried)
    assert found == ExcludedTargets(servers={"s9", "s1", "s3"}, regions={"c", "b"})
    assert exclude_other_software(SECOND, [V1, V2, there], ExcludedTargets()) == ExcludedTargets(
        servers={"s1"}
    )


def test_software_whose_last_server_leaves_is_gone() -> None:
    leaving = evolve(V2, leaving=True)
    assert exclude_other_software(SECOND, [V1, leaving], ExcludedTargets()) is None
