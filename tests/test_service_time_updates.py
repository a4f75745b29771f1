"""Neighbours tell each other how long the servers of a pool take."""

import pytest
from work_builders import POOL, table_of

from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.service_time_updates import (
    TOLD_EVERY_S,
    SentServiceTimes,
    ServiceTimeUpdates,
)

NOW_UNIX_S = 1_000.0


@pytest.fixture
def teller() -> ServiceTimeUpdates:
    table = table_of(1)
    table.service_times(POOL).observe_start(10_000, 0.1)
    return ServiceTimeUpdates(table)


def told(teller: ServiceTimeUpdates, sent: SentServiceTimes, now_unix_s: float) -> pb.Heartbeat:
    heartbeat = pb.Heartbeat(vm="vm-1")
    teller.write(heartbeat, sent, now_unix_s)
    return heartbeat


def test_a_neighbour_takes_over_what_was_seen(teller: ServiceTimeUpdates) -> None:
    hearer = ServiceTimeUpdates(table_of(1))
    hearer.take(told(teller, SentServiceTimes(), NOW_UNIX_S), NOW_UNIX_S)

    heard = hearer.table.service_times(POOL).s_per_prefill_token
    assert heard == pytest.approx(1e-5, rel=0.05)


def test_nothing_new_is_not_told_again(teller: ServiceTimeUpdates) -> None:
    sent = SentServiceTimes()
    told(teller, sent, NOW_UNIX_S)

    assert not told(teller, sent, NOW_UNIX_S + TOLD_EVERY_S).times


def test_news_waits_until_the_peer_may_be_told_again(teller: ServiceTimeUpdates) -> None:
    sent = SentServiceTimes()
    told(teller, sent, NOW_UNIX_S)
    teller.table.service_times(POOL).observe_finish(1.0)

    assert not told(teller, sent, NOW_UNIX_S + TOLD_EVERY_S / 2).times
    assert told(teller, sent, NOW_UNIX_S + TOLD_EVERY_S).times


def test_pools_without_servers_here_are_left_out(teller: ServiceTimeUpdates) -> None:
    heartbeat = told(teller, SentServiceTimes(), NOW_UNIX_S)
    heartbeat.times[0].pool = "elsewhere"
    hearer = ServiceTimeUpdates(table_of(1))
    hearer.take(heartbeat, NOW_UNIX_S)

    assert [pool for pool, _ in hearer.table.all_service_times()] == []
