"""Which software may have begun a stream of which no VM has a record."""

import math

import pytest
from attrs import evolve

from pomelobarrow.decision.published.routing import PoolShare, Route, RouteKind, Routing
from pomelobarrow.decision.requests.work import BackendServer
from pomelobarrow.decision.streams.software_history import (
    MAX_FORMER_ROUTES,
    STREAM_RETENTION_S,
    TAKE_UP_S,
    HistoryStatement,
    SoftwareHistory,
    StreamTarget,
    only_software,
    software_key,
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
V_OTHER = evolve(V1, name="s8", pool="other")
FIRST, SECOND, OTHER = software_key(V1), software_key(V2), software_key(V_OTHER)
HOST = "shop.example"
TARGET = StreamTarget(HOST, "/drafts/new")
OTHER_TARGET = StreamTarget(HOST, "/other/new")


def listed(*servers: BackendServer) -> dict[str, BackendServer]:
    return {server.name: server for server in servers}


def stream_route(
    prefix: str, *pools: str, kind: RouteKind = RouteKind.STREAM, timeout_s: float = 5.0
) -> Route:
    return Route(
        name=prefix,
        host=HOST,
        path_prefix=prefix,
        kind=kind,
        pools=tuple(PoolShare(pool=pool) for pool in pools),
        timeout_s=timeout_s,
        first_answer_target_s=1.0,
    )


def routes(*pools: str) -> Routing:
    """Return the routes where that of the target has these pools."""
    return Routing(routes=(stream_route("/drafts/", *pools), stream_route("/other/", V_OTHER.pool)))


ROUTES = routes(POOL)


def stated(*keys: int, known_for_s: float, list_age_s: float = 0.0) -> HistoryStatement:
    return HistoryStatement(
        software_keys=frozenset(keys), known_for_s=known_for_s, list_age_s=list_age_s
    )


def known_since(unix_s: float, *servers: BackendServer) -> SoftwareHistory:
    """Return the history of a VM that received its lists at a time."""
    history = SoftwareHistory()
    history.observe_routing(ROUTES, unix_s)
    history.observe(listed(*servers), unix_s)
    return history


def test_software_is_that_of_pool_and_version() -> None:
    assert software_key(V1) == software_key(V1_ELSEWHERE)
    assert len({FIRST, SECOND, software_key(evolve(V1, pool="other"))}) == 3


def test_servers_whose_entries_name_no_version_share_one() -> None:
    unnamed = evolve(V1, software_version="")
    assert software_key(unnamed) == software_key(evolve(unnamed, name="s9"))
    assert software_key(unnamed) != FIRST


def test_unrecorded_stream_is_of_the_only_version() -> None:
    history = known_since(LONG_AGO, V1)
    assert history.assumed(TARGET, NOW) == FIRST


def test_vm_that_has_just_started_assumes_no_version() -> None:
    """The servers of another version may have left before, so that none of them is listed."""
    history = known_since(NOW, V2)
    assert history.assumed(TARGET, NOW) is None
    assert history.assumed(TARGET, NOW + STREAM_RETENTION_S - 1.0) is None
    assert history.assumed(TARGET, NOW + STREAM_RETENTION_S) == SECOND


def test_unrecorded_stream_is_of_no_version_once_another_has_appeared() -> None:
    """Its record may be lost, so that a stream of the new version went on at the one before."""
    history = known_since(LONG_AGO, V1)
    history.observe(listed(V1, V2), NOW + 1.0)
    assert history.assumed(TARGET, NOW + 1.0) is None


def test_unrecorded_stream_is_of_no_version_if_two_serve() -> None:
    history = known_since(LONG_AGO, V1, V2)
    assert history.assumed(TARGET, NOW) is None


def test_version_counts_until_no_stream_of_it_can_be_taken_up() -> None:
    history = known_since(NOW, V1, V2)
    history.observe(listed(V2), NOW + 1.0)
    assert history.assumed(TARGET, NOW + STREAM_RETENTION_S) is None
    assert len(history.recent(POOL, NOW + STREAM_RETENTION_S)) == 2
    assert history.assumed(TARGET, NOW + STREAM_RETENTION_S + 1.0) == SECOND
    assert history.recent(POOL, NOW + STREAM_RETENTION_S + 1.0) == {SECOND}


def test_pool_whose_list_does_not_change_keeps_its_version() -> None:
    """Two minutes after the last change of the list, no stream was taken up any more."""
    history = known_since(NOW, V1)
    later = NOW + 2 * STREAM_RETENTION_S
    assert history.recent(POOL, later) == {FIRST}
    assert history.assumed(TARGET, later) == FIRST


def test_version_that_is_replaced_at_once_counts_from_then_on() -> None:
    """Its last server left the list long after it had appeared, and the next one came at once."""
    history = known_since(NOW, V1)
    replaced = NOW + 2 * STREAM_RETENTION_S
    history.observe({}, replaced)
    history.observe(listed(V2), replaced + 1.0)
    assert history.assumed(TARGET, replaced + 1.0) is None
    assert history.recent(POOL, replaced + 1.0) == {FIRST, SECOND}


def test_unlisted_pool_has_no_version() -> None:
    assert SoftwareHistory().assumed(POOL, NOW) is None


def test_vm_without_routes_or_servers_assumes_no_version() -> None:
    """It may have received one of the lists long before the other."""
    without_routes, without_servers = SoftwareHistory(), SoftwareHistory()
    without_routes.observe(listed(V1), LONG_AGO)
    without_servers.observe_routing(ROUTES, LONG_AGO)
    without_routes.observe_routing(ROUTES, NOW)
    without_servers.observe(listed(V1), NOW)
    assert without_routes.known_for_s(NOW) == without_servers.known_for_s(NOW) == 0.0
    assert without_routes.assumed(TARGET, NOW) is without_servers.assumed(TARGET, NOW) is None


def test_stream_of_a_route_that_moved_is_of_no_certain_version() -> None:
    """It was taken for one of the pool that the route names now, and went on there."""
    history = known_since(LONG_AGO, V1, V_OTHER)
    assert history.observe_routing(routes(V_OTHER.pool), NOW)
    assert history.recent_of_target(TARGET, NOW) == {FIRST, OTHER}
    assert history.assumed(TARGET, NOW) is None
    later = NOW + STREAM_RETENTION_S
    assert history.assumed(TARGET, later) == OTHER
    assert history.assumed(OTHER_TARGET, NOW) == OTHER


def test_stream_of_a_split_route_is_of_no_certain_version() -> None:
    """It was taken for one of the pool that was drawn for the client's next request."""
    history = known_since(LONG_AGO, V1, V_OTHER)
    history.observe_routing(routes(POOL, V_OTHER.pool), LONG_AGO)
    assert history.assumed(TARGET, NOW) is None


def test_stream_whose_path_got_a_longer_prefix_is_of_no_certain_version() -> None:
    """The new route took over streams that another one had begun."""
    history = known_since(LONG_AGO, V1, V_OTHER)
    longer = stream_route("/drafts/new", V_OTHER.pool)
    history.observe_routing(Routing(routes=(*ROUTES.routes, longer)), NOW)
    assert history.recent_of_target(TARGET, NOW) == {FIRST, OTHER}
    assert history.recent_of_target(StreamTarget(HOST, "/drafts/old"), NOW) == {FIRST}


def test_routes_without_streams_begin_none() -> None:
    history = known_since(LONG_AGO, V1, V_OTHER)
    plain = stream_route("/drafts/new", V_OTHER.pool, kind=RouteKind.IDEMPOTENT)
    history.observe_routing(Routing(routes=(*ROUTES.routes, plain)), LONG_AGO)
    history.observe_routing(ROUTES, NOW)
    assert history.assumed(TARGET, NOW) == FIRST


def test_configuration_that_moves_no_route_is_none_of_the_former_ones() -> None:
    history = known_since(LONG_AGO, V1)
    slower = tuple(evolve(route, timeout_s=9.0) for route in ROUTES.routes)
    assert not history.observe_routing(Routing(version=2, routes=slower), NOW)
    assert history.assumed(TARGET, NOW) == FIRST


def test_history_that_drops_former_routes_is_known_from_then_on() -> None:
    """Which pool a stream began at is unknown if too many changes came since."""
    history = known_since(LONG_AGO, V1, V_OTHER)
    for number in range(MAX_FORMER_ROUTES + 2):
        history.observe_routing(routes(POOL, f"empty-{number}"), NOW + number)
    assert history.known_for_s(NOW + 100.0) == 99.0


def test_peer_that_has_known_for_long_makes_a_software_certain() -> None:
    """A VM that had restarted alone refused sound streams."""
    own = known_since(NOW, V1).statement(TARGET, NOW, NOW)
    peer = known_since(LONG_AGO, V1).statement(TARGET, NOW, NOW)
    assert only_software((own,)) is None
    assert only_software((own, peer)) == FIRST


def test_peers_that_have_just_started_make_no_software_certain() -> None:
    started = known_since(NOW, V1).statement(TARGET, NOW + 1.0, NOW + 1.0)
    assert only_software((started, started)) is None


def test_version_that_only_one_peer_has_seen_counts() -> None:
    """The list of the VM that has known for long may be out of date."""
    own = known_since(LONG_AGO, V1).statement(TARGET, NOW, NOW)
    peer = known_since(NOW, V1, V2).statement(TARGET, NOW, NOW)
    assert only_software((own, peer)) is None


def test_peer_that_does_not_know_the_route_makes_no_software_certain() -> None:
    """Its configuration may be out of date, so that it doesn't count the pool's former versions."""
    own = known_since(NOW, V2).statement(TARGET, NOW, NOW)
    elsewhere = StreamTarget(HOST, "/unknown/")
    peer = known_since(LONG_AGO, V1).statement(elsewhere, NOW, NOW)
    assert peer == stated(known_for_s=NOW - LONG_AGO)
    assert only_software((own, peer)) is None


@pytest.mark.parametrize("list_age_s", [0.01, 4.0, math.inf])
def test_list_from_before_the_question_makes_no_software_certain(list_age_s: float) -> None:
    """A stream of a version that a VM had missed for less than five seconds was joined there."""
    old = stated(FIRST, known_for_s=2 * STREAM_RETENTION_S, list_age_s=list_age_s)
    assert only_software((old, old)) is None


def test_lists_that_follow_on_each_other_make_a_software_certain() -> None:
    """The VM that has just read the list has started lately."""
    reader = stated(FIRST, known_for_s=10.0)
    older = stated(FIRST, known_for_s=2 * STREAM_RETENTION_S, list_age_s=9.0)
    assert only_software((older, reader)) == FIRST
    assert only_software((evolve(older, list_age_s=11.0), reader)) is None


def test_list_counts_from_the_read_that_it_contains() -> None:
    history = known_since(LONG_AGO, V1)
    history.proven_unix_s = lambda: NOW - 2.0
    assert history.statement(TARGET, NOW + 1.0, NOW).list_age_s == 2.0
    history.proven_unix_s = lambda: NOW + 0.5
    assert history.statement(TARGET, NOW + 1.0, NOW).list_age_s == 0.0


def test_version_of_long_streams_counts_until_they_are_taken_up() -> None:
    """A stream that had run for longer than two minutes went on at the version after its own."""
    long_s = 2 * STREAM_RETENTION_S
    history = SoftwareHistory()
    long = Routing(routes=(stream_route("/drafts/", POOL, timeout_s=long_s),))
    history.observe_routing(long, NOW - 2 * long_s)
    history.observe(listed(V1), NOW - 2 * long_s)
    history.observe(listed(V2), NOW)
    assert history.assumed(TARGET, NOW + long_s) is None
    assert history.assumed(TARGET, NOW + long_s + TAKE_UP_S) == SECOND


def test_history_that_is_shorter_than_a_stream_makes_no_software_certain() -> None:
    long_s = 2 * STREAM_RETENTION_S
    history = SoftwareHistory()
    history.observe_routing(
        Routing(routes=(stream_route("/drafts/", POOL, timeout_s=long_s),)), NOW
    )
    history.observe(listed(V1), NOW)
    assert history.assumed(TARGET, NOW + long_s) is None
    assert history.assumed(TARGET, NOW + long_s + TAKE_UP_S) == FIRST


def test_system_that_starts_for_the_first_time_has_no_earlier_versions() -> None:
    """Streams that clients took up without naming a request were refused for two minutes."""
    history = SoftwareHistory(first_lists_until_unix_s=NOW)
    history.observe_routing(ROUTES, NOW)
    history.observe(listed(V1), NOW)
    assert history.assumed(TARGET, NOW) == FIRST
    history.observe(listed(V1, V2), NOW + 1.0)
    assert history.assumed(TARGET, NOW + 1.0) is None


def test_late_first_list_does_not_show_what_was_before() -> None:
    """A VM vouched for the time up to its first list, in which a version came and went."""
    late_routes, late_servers = (SoftwareHistory(first_lists_until_unix_s=NOW) for _ in range(2))
    late_servers.observe_routing(ROUTES, NOW)
    late_routes.observe(listed(V2), NOW)
    late_servers.observe(listed(V2), NOW + 1.0)
    late_routes.observe_routing(ROUTES, NOW + 1.0)
    assert late_routes.known_for_s(NOW + 1.0) == late_servers.known_for_s(NOW + 1.0) == 0.0
    assert late_routes.assumed(TARGET, NOW + 1.0) is late_servers.assumed(TARGET, NOW + 1.0) is None
