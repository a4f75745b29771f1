"""Which failed connections show that this VM reaches no server of a pool."""

from random import Random

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st
from work_builders import SERVER

from pomelobarrow.decision.requests.short_key import short_key
from pomelobarrow.decision.servers.reachability import (
    FAILURE_RETENTION_S,
    MAX_STATED_POOLS,
    RECENT_CONNECTION_S,
    REFUSAL_VALID_S,
    STATEMENT_VALID_S,
    PeerReachability,
    ServerReachability,
)

S1, S2, S3 = (evolve(SERVER, name=name) for name in ("s1", "s2", "s3"))
MANY = [evolve(SERVER, name=f"s{number}") for number in range(40)]


def _reachability(*servers: object) -> ServerReachability:
    return ServerReachability(pool_servers=lambda pool: servers)  # type: ignore[arg-type,return-value]


def test_pool_is_unreachable_once_each_of_its_servers_failed() -> None:
    reachability = _reachability(S1, S2)
    assert not reachability.note_failure(S1, 10.0, 10.0)
    assert not reachability.note_failure(S1, 10.1, 10.1)
    assert reachability.is_reachable(SERVER.pool)
    assert reachability.note_failure(S2, 10.2, 10.2)
    assert not reachability.is_reachable(SERVER.pool)
    assert reachability.unreachable_pools == {SERVER.pool}


def test_answer_between_the_failures_of_two_servers_shows_that_the_links_work() -> None:
    reachability = _reachability(S1, S2)
    reachability.note_failure(S1, 10.0, 10.0)
    reachability.note_answer(S2, 10.05, 10.1)
    assert not reachability.note_failure(S2, 10.2, 10.2)
    assert reachability.is_reachable(SERVER.pool)


def test_answer_on_a_connection_opened_before_the_failures_proves_nothing() -> None:
    """Open connections may live on while new ones are refused."""
    reachability = _reachability(S1, S2)
    reachability.note_failure(S1, 10.0, 10.0)
    reachability.note_failure(S2, 10.0, 10.0)
    assert reachability.note_answer(S1, 9.9, 10.5) is None
    assert not reachability.is_reachable(SERVER.pool)
    assert reachability.note_answer(S1, 11.0, 11.5) == 1.5
    assert reachability.is_reachable(SERVER.pool)


def test_few_servers_of_a_large_pool_are_enough() -> None:
    reachability = _reachability(*MANY)
    found = [reachability.note_failure(server, 10.0, 10.0) for server in MANY[:5]]
    assert found == [False, False, False, True, False]


def test_failure_long_ago_does_not_count() -> None:
    reachability = _reachability(S1, S2)
    reachability.note_failure(S1, 10.0, 10.0)
    assert not reachability.note_failure(S2, 10.1 + FAILURE_RETENTION_S, 10.1 + FAILURE_RETENTION_S)


def test_failed_server_that_is_no_longer_listed_does_not_count() -> None:
    listed = [S1, S2]
    reachability = ServerReachability(pool_servers=lambda pool: listed)
    reachability.note_failure(S1, 10.0, 10.0)
    listed[:] = [S2, S3]
    assert not reachability.note_failure(S2, 10.1, 10.1)
    assert reachability.note_failure(S3, 10.2, 10.2)


def test_restarted_server_is_another_one() -> None:
    reachability = _reachability(evolve(S1, born_unix_ms=2), S2)
    reachability.note_failure(S1, 10.0, 10.0)
    assert not reachability.note_failure(S2, 10.1, 10.1)


def test_pools_are_judged_apart() -> None:
    other = evolve(SERVER, name="o1", pool="other")
    by_pool = {SERVER.pool: (S1,), "other": (other,)}
    reachability = ServerReachability(pool_servers=lambda pool: by_pool[pool])
    assert reachability.note_failure(other, 10.0, 10.0)
    assert reachability.is_reachable(SERVER.pool)


@given(st.lists(st.tuples(st.integers(0, 7), st.booleans()), max_size=40))
def test_pool_with_an_answer_after_all_failures_is_reachable(
    outcomes: list[tuple[int, bool]],
) -> None:
    reachability, now = _reachability(*MANY[:8]), 10.0
    for index, is_answer in outcomes:
        now += 0.1
        if is_answer:
            reachability.note_answer(MANY[index], now - 0.01, now)
            assert reachability.is_reachable(SERVER.pool)
        else:
            reachability.note_failure(MANY[index], now, now)


def test_peers_statement_replaces_the_earlier_ones() -> None:
    peers = PeerReachability()
    peers.observe("vm-1", [short_key("p"), short_key("q")], 10.0)
    peers.observe("vm-1", [short_key("q")], 11.0)
    assert peers.is_reachable("vm-1", "p", 11.0)
    assert not peers.is_reachable("vm-1", "q", 11.0)
    assert peers.is_reachable("vm-2", "q", 11.0)
    peers.observe("vm-1", [], 12.0)
    assert peers.is_reachable("vm-1", "q", 12.0)


def test_peer_that_states_nothing_any_more_is_tried_again() -> None:
    peers = PeerReachability()
    peers.observe("vm-1", [short_key("p")], 10.0)
    peers.note_refusal("vm-2", "p", 10.0)
    assert not peers.is_reachable("vm-1", "p", 9.9 + STATEMENT_VALID_S)
    assert peers.is_reachable("vm-1", "p", 10.0 + STATEMENT_VALID_S)
    assert not peers.is_reachable("vm-2", "p", 9.9 + REFUSAL_VALID_S)
    assert peers.is_reachable("vm-2", "p", 10.0 + REFUSAL_VALID_S)


def test_failure_beside_a_recent_answer_needs_no_probe() -> None:
    reachability = _reachability(S1, S2)
    assert reachability.needs_probe(SERVER.pool, 10.0)
    reachability.note_answer(S2, 10.0, 10.1)
    assert not reachability.needs_probe(SERVER.pool, 10.2)
    assert reachability.needs_probe(SERVER.pool, 10.1 + RECENT_CONNECTION_S)


def test_unreachable_pool_is_probed_whenever_it_answered_last() -> None:
    """Without a probe it stayed unreachable, as no request was sent to it any more."""
    reachability = _reachability(S1)
    reachability.note_answer(S1, 10.0, 10.05)
    assert reachability.note_failure(S1, 10.1, 10.1)
    assert reachability.needs_probe(SERVER.pool, 10.1)


def test_failure_older_than_an_answered_connection_proves_nothing() -> None:
    reachability = _reachability(S1)
    reachability.note_answer(S1, 10.2, 10.25)
    assert not reachability.note_failure(S1, 10.1, 10.3)


def test_servers_without_a_failure_are_probed_first() -> None:
    reachability = _reachability(*MANY)
    for server in MANY[4:]:
        reachability.note_failure(server, 10.0, 10.0)
    probed = reachability.servers_to_probe(SERVER.pool, Random(1))
    assert {server.name for server in probed} == {server.name for server in MANY[:4]}


def test_listeners_learn_what_vms_of_the_region_state_for_the_first_time() -> None:
    stated: list[set[int]] = []
    peers = PeerReachability(listeners=[lambda keys: stated.append(set(keys))])
    peers.observe("vm-2", [1], 10.0)
    peers.observe("vm-2", [1, 2], 11.0)
    peers.observe("vm-2", [1, 2], 12.0)
    peers.observe("vm-9", [3], 12.0, is_same_region=False)
    peers.observe("vm-2", [], 13.0)
    peers.observe("vm-2", [1], 14.0)
    assert stated == [{1}, {2}, {1}]


def test_unreachable_pools_of_a_peer_without_end_are_left_out() -> None:
    """Guards against a faulty VM that states pools that don't exist."""
    peers = PeerReachability()
    peers.observe("b", range(2 * MAX_STATED_POOLS), 10.0)
    assert len(peers._unreachable["b"]) == MAX_STATED_POOLS
