"""Neighbours exchange the service times of a pool's servers."""

import pytest
from work_builders import POOL, table_of

from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.service_time_updates import (
    SEND_INTERVAL_S,
    SentServiceTimes,
    ServiceTimeUpdates,
)

NOW_UNIX_S = 1_000.0


@pytest.fixture
def sender() -> ServiceTimeUpdates:
    table = table_of(1)
    table.service_times(POOL).observe_start(10_000, 0.1)
    return ServiceTimeUpdates(table)


def heartbeat_of(
    sender: ServiceTimeUpdates, sent: SentServiceTimes, now_unix_s: float
) -> pb.Heartbeat:
    heartbeat = pb.Heartbeat(vm="vm-1")
    sender.write(heartbeat, sent, now_unix_s)
    return heartbeat


def test_a_neighbour_adopts_received_service_times(sender: ServiceTimeUpdates) -> None:
    receiver = ServiceTimeUpdates(table_of(1))
    receiver.apply(heartbeat_of(sender, SentServiceTimes(), NOW_UNIX_S), NOW_UNIX_S)

    learned = receiver.table.service_times(POOL).s_per_prefill_token
    assert learned == pytest.approx(1e-5, rel=0.05)


def test_unchanged_sums_are_not_sent_again(sender: ServiceTimeUpdates) -> None:
    sent = SentServiceTimes()
    heartbeat_of(sender, sent, NOW_UNIX_S)

    assert not heartbeat_of(sender, sent, NOW_UNIX_S + SEND_INTERVAL_S).times


def test_new_samples_are_sent_after_the_send_interval(sender: ServiceTimeUpdates) -> None:
    sent = SentServiceTimes()
    heartbeat_of(sender, sent, NOW_UNIX_S)
    sender.table.service_times(POOL).observe_finish(1.0)

    assert not heartbeat_of(sender, sent, NOW_UNIX_S + SEND_INTERVAL_S / 2).times
    assert heartbeat_of(sender, sent, NOW_UNIX_S + SEND_INTERVAL_S).times


def test_pools_without_local_servers_are_ignored(sender: ServiceTimeUpdates) -> None:
    heartbeat = heartbeat_of(sender, SentServiceTimes(), NOW_UNIX_S)
    heartbeat.times[0].pool = "elsewhere"
    receiver = ServiceTimeUpdates(table_of(1))
    receiver.apply(heartbeat, NOW_UNIX_S)

    assert [pool for pool, _ in receiver.table.all_service_times()] == []
