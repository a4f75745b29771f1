"""Which software a stream was begun by, and which servers may go on with it."""

from attrs import evolve

from pomelobarrow.decision.requests.placement_request import ExcludedTargets
from pomelobarrow.decision.requests.work import BackendServer
from pomelobarrow.decision.streams.stream_software import (
    MAX_STREAMS,
    STREAM_RETENTION_S,
    SoftwareHistory,
    StreamBegan,
    StreamRecords,
    StreamSoftware,
    exclude_other_software,
    software_key,
    stream_key,
)

NOW = 1_000.0
# A VM that started then knows all versions whose streams are still taken up.
LONG_AGO = NOW - 2 * STREAM_RETENTION_S
POOL = "drafters"
V1 = BackendServer(
    name="s1",
    region="a",
    failure_domain="a-1",
    address="10.0.0.1:80",
    pool=POOL,
    slots=4,
    kv_capacity_tokens=1_000,
    software_version="v1",
)
V2 = evolve(V1, name="s2", software_version="v2")
V1_ELSEWHERE = evolve(V1, name="s3", region="b")
FIRST, SECOND = software_key(V1), software_key(V2)


def listed(*servers: BackendServer) -> dict[str, BackendServer]:
    return {server.name: server for server in servers}


def test_software_is_that_of_pool_and_version() -> None:
    assert software_key(V1) == software_key(V1_ELSEWHERE)
    assert len({FIRST, SECOND, software_key(evolve(V1, pool="other"))}) == 3


def test_servers_whose_entries_name_no_version_share_one() -> None:
    unnamed = evolve(V1, software_version="")
    assert software_key(unnamed) == software_key(evolve(unnamed, name="s9"))
    assert software_key(unnamed) != FIRST


def test_unrecorded_stream_is_of_the_only_version() -> None:
    history = SoftwareHistory()
    history.observe(listed(V1), LONG_AGO)
    assert history.assumed(POOL, NOW) == FIRST


def test_vm_that_has_just_started_assumes_no_version() -> None:
    """The servers of another version may have left before, so that none of them is listed."""
    history = SoftwareHistory()
    history.observe(listed(V2), NOW)
    assert history.assumed(POOL, NOW) is None
    assert history.assumed(POOL, NOW + STREAM_RETENTION_S - 1.0) is None
    assert history.assumed(POOL, NOW + STREAM_RETENTION_S) == SECOND


def test_unrecorded_stream_is_of_no_version_once_another_has_appeared() -> None:
    """Its record may be lost, so that a stream of the new version went on at the one before."""
    history = SoftwareHistory()
    history.observe(listed(V1), LONG_AGO)
    history.observe(listed(V1, V2), NOW + 1.0)
    assert history.assumed(POOL, NOW + 1.0) is None


def test_unrecorded_stream_is_of_no_version_if_two_serve() -> None:
    history = SoftwareHistory()
    history.observe(listed(V1, V2), LONG_AGO)
    assert history.assumed(POOL, NOW) is None


def test_version_counts_until_no_stream_of_it_can_be_taken_up() -> None:
    history = SoftwareHistory()
    history.observe(listed(V1, V2), NOW)
    history.observe(listed(V2), NOW + 1.0)
    assert history.assumed(POOL, NOW + STREAM_RETENTION_S) is None
    assert len(history.recent(POOL, NOW + STREAM_RETENTION_S)) == 2
    assert history.assumed(POOL, NOW + STREAM_RETENTION_S + 1.0) == SECOND
    assert history.recent(POOL, NOW + STREAM_RETENTION_S + 1.0) == {SECOND}


def test_pool_whose_list_does_not_change_keeps_its_version() -> None:
    """Two minutes after the last change of the list, no stream was taken up any more."""
    history = SoftwareHistory()
    history.observe(listed(V1), NOW)
    later = NOW + 2 * STREAM_RETENTION_S
    assert history.recent(POOL, later) == {FIRST}
    assert history.assumed(POOL, later) == FIRST


def test_version_that_is_replaced_at_once_counts_from_then_on() -> None:
    """Its last server left the list long after it had appeared, and the next one came at once."""
    history = SoftwareHistory()
    history.observe(listed(V1), NOW)
    replaced = NOW + 2 * STREAM_RETENTION_S
    history.observe({}, replaced)
    history.observe(listed(V2), replaced + 1.0)
    assert history.assumed(POOL, replaced + 1.0) is None
    assert history.recent(POOL, replaced + 1.0) == {FIRST, SECOND}


def test_unlisted_pool_has_no_version() -> None:
    assert SoftwareHistory().assumed(POOL, NOW) is None


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


def test_records_are_bounded() -> None:
    records = StreamRecords()
    for key in range(MAX_STREAMS + 5):
        records.note(StreamBegan(stream_key=key, software_key=FIRST), NOW)
    assert len(records) == MAX_STREAMS
    assert records.software_of(0) is None


def test_streams_are_published_while_a_pool_has_two_versions() -> None:
    published: list[StreamBegan] = []
    streams = StreamSoftware(publish=published.extend)
    streams.observe_servers(listed(V1), LONG_AGO)
    streams.note_began("r1", POOL, FIRST, NOW)
    streams.note_began("r2", POOL, FIRST, NOW)
    streams.note_complete("r2")
    assert published == []
    # Those that go on when the second version appears are published then.
    streams.observe_servers(listed(V1, V2), NOW + 1.0)
    streams.note_began("r3", POOL, SECOND, NOW + 2.0)
    keys = [stream_key("r1"), stream_key("r3")]
    assert [each.stream_key for each in published] == keys
    assert [streams.software_of(key) for key in keys] == [FIRST, SECOND]


def test_streams_of_another_pool_are_not_published() -> None:
    published: list[StreamBegan] = []
    streams = StreamSoftware(publish=published.extend)
    other = evolve(V1, name="s8", pool="other")
    streams.observe_servers(listed(V1, V2, other), LONG_AGO)
    streams.note_began("r1", other.pool, software_key(other), NOW)
    assert published == []


def test_stream_of_a_version_that_is_not_listed_here_is_published() -> None:
    """A VM with an old list of servers gets the answer of a new one from a peer."""
    published: list[StreamBegan] = []
    streams = StreamSoftware(publish=published.extend)
    streams.observe_servers(listed(V1), LONG_AGO)
    streams.note_began("r1", POOL, SECOND, NOW)
    assert [each.software_key for each in published] == [SECOND]


def test_streams_of_a_vm_that_has_just_started_are_published() -> None:
    """No VM may assume their version if all started at the same time, and this one may end."""
    published: list[StreamBegan] = []
    streams = StreamSoftware(publish=published.extend)
    streams.observe_servers(listed(V1), NOW)
    streams.note_began("r1", POOL, FIRST, NOW + STREAM_RETENTION_S - 1.0)
    streams.note_began("r2", POOL, FIRST, NOW + STREAM_RETENTION_S)
    assert [each.stream_key for each in published] == [stream_key("r1")]


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
