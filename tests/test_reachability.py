"""Which failed connections show that this VM reaches no server of a pool."""

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st
from work_builders import SERVER

from pomelobarrow.decision.reachability import FAILURE_RETENTION_S, ServerReachability

S1, S2, S3 = (evolve(SERVER, name=name) for name in ("s1", "s2", "s3"))
MANY = [evolve(SERVER, name=f"s{number}") for number in range(40)]


def _reachability(*servers: object) -> ServerReachability:
    return ServerReachability(pool_servers=lambda pool: servers)  # type: ignore[arg-type,return-value]


def test_pool_is_unreachable_once_each_of_its_servers_failed() -> None:
    reachability = _reachability(S1, S2)
    assert not reachability.note_failure(S1, 10.0)
    assert not reachability.note_failure(S1, 10.1)
    assert reachability.is_reachable(SERVER.pool)
    assert reachability.note_failure(S2, 10.2)
    assert not reachability.is_reachable(SERVER.pool)
    assert reachability.unreachable_pools == {SERVER.pool}


def test_answer_between_the_failures_of_two_servers_shows_that_the_links_work() -> None:
    reachability = _reachability(S1, S2)
    reachability.note_failure(S1, 10.0)
    reachability.note_answer(S2, 10.05, 10.1)
    assert not reachability.note_failure(S2, 10.2)
    assert reachability.is_reachable(SERVER.pool)


def test_answer_on_a_connection_opened_before_the_failures_proves_nothing() -> None:
    """Open connections may live on while new ones are refused."""
    reachability = _reachability(S1, S2)
    reachability.note_failure(S1, 10.0)
    reachability.note_failure(S2, 10.0)
    assert reachability.note_answer(S1, 9.9, 10.5) is None
    assert not reachability.is_reachable(SERVER.pool)
    assert reachability.note_answer(S1, 11.0, 11.5) == 1.5
    assert reachability.is_reachable(SERVER.pool)


def test_few_servers_of_a_large_pool_are_enough() -> None:
    reachability = _reachability(*MANY)
    found = [reachability.note_failure(server, 10.0) for server in MANY[:5]]
    assert found == [False, False, False, True, False]


def test_failure_long_ago_does_not_count() -> None:
    reachability = _reachability(S1, S2)
    reachability.note_failure(S1, 10.0)
    assert not reachability.note_failure(S2, 10.1 + FAILURE_RETENTION_S)


def test_failed_server_that_is_no_longer_listed_does_not_count() -> None:
    listed = [S1, S2]
    reachability = ServerReachability(pool_servers=lambda pool: listed)
    reachability.note_failure(S1, 10.0)
    listed[:] = [S2, S3]
    assert not reachability.note_failure(S2, 10.1)
    assert reachability.note_failure(S3, 10.2)


def test_restarted_server_is_another_one() -> None:
    reachability = _reachability(evolve(S1, born_unix_ms=2), S2)
    reachability.note_failure(S1, 10.0)
    assert not reachability.note_failure(S2, 10.1)


def test_pools_are_judged_apart() -> None:
    other = evolve(SERVER, name="o1", pool="other")
    by_pool = {SERVER.pool: (S1,), "other": (other,)}
    reachability = ServerReachability(pool_servers=lambda pool: by_pool[pool])
    assert reachability.note_failure(other, 10.0)
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
            reachability.note_failure(MANY[index], now)
