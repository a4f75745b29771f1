"""A server that said once, by whatever way, that it leaves counts as leaving until it has gone."""

import pytest
from attrs import evolve
from work_builders import POOL, REGION, SERVER

from pomelobarrow.decision.requests.short_key import server_key
from pomelobarrow.decision.requests.work import BackendServer, LoadReport
from pomelobarrow.decision.servers.departures import (
    MAX_STATED_BY_PEERS,
    UNLISTED_RETENTION_S,
    Departures,
    DepartureSource,
)
from pomelobarrow.decision.servers.load_table import LoadTable
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.departure_updates import DepartureUpdates, SentDepartures
from pomelobarrow.published.events import ServerLeaving
from pomelobarrow.published.keyspaces import VMS, Change, PublishedState
from pomelobarrow.published.vms import VmList

ANSWER = DepartureSource.ANSWER
AGAIN = evolve(SERVER, born_unix_ms=SERVER.born_unix_ms + 1)
OTHER = evolve(SERVER, name="other")
READY = {
    "role": "backend_server",
    "region": SERVER.region,
    "failure_domain": SERVER.failure_domain,
    "state": "ready",
    "address": "10.0.0.1:1",
    "pool": POOL,
    "slots": 8,
    "leased": True,
}
LISTED = evolve(SERVER, name="s1", born_unix_ms=0)


def table_of(*servers: BackendServer) -> LoadTable:
    table = LoadTable(REGION)
    table.set_servers(servers)
    return table


def usable_names(table: LoadTable) -> list[str]:
    return [server.name for server in table.usable_servers(POOL, 10.0)]


def test_leaving_server_is_not_usable_and_its_successor_is() -> None:
    table = table_of(SERVER, OTHER)
    table.departures.observe(server_key(SERVER), ANSWER, 1.0)
    assert usable_names(table) == ["other"]
    assert not table.is_in_service(SERVER)
    table.set_servers([AGAIN, OTHER])
    assert usable_names(table) == [SERVER.name, "other"]


def test_no_server_is_usable_where_all_leave() -> None:
    table = table_of(SERVER, OTHER)
    for server in (SERVER, OTHER):
        table.departures.observe(server_key(server), ANSWER, 1.0)
    assert usable_names(table) == []


@pytest.mark.parametrize("statement", ["list", "report"])
def test_later_statement_takes_no_departure_back(statement: str) -> None:
    table = table_of(SERVER, OTHER)
    table.departures.observe(server_key(SERVER), ANSWER, 1.0)
    if statement == "list":
        table.set_servers([SERVER, OTHER])
    else:
        report = LoadReport(server=SERVER.name, measured_unix_s=9.0, running=0, waiting=0)
        table.observe_report(report, 9.0)
    assert usable_names(table) == ["other"]


def test_load_report_that_announces_a_departure_counts_like_an_answer() -> None:
    table = table_of(SERVER, OTHER)
    for leaving in (True, False):
        at = 2.0 if leaving else 3.0
        report = LoadReport(
            server=SERVER.name, measured_unix_s=at, running=0, waiting=0, leaving=leaving
        )
        table.observe_report(report, at)
    assert usable_names(table) == ["other"]


def test_departure_outlasts_an_entry_that_vanishes_and_returns() -> None:
    vms = VmList()
    vms.update({"vms/s1": READY}, 1.0)
    vms.departures.observe(server_key(LISTED), ANSWER, 2.0)
    vms.update({}, 3.0)
    vms.update({"vms/s1": dict(READY)}, 4.0)
    assert vms.servers["s1"].leaving


def test_departure_is_forgotten_long_after_the_server_has_gone() -> None:
    departures = Departures()
    departures.observe(server_key(SERVER), ANSWER, 0.0)
    departures.forget_old([SERVER], 1_000.0)
    departures.forget_old([], 1_000.0 + UNLISTED_RETENTION_S)
    assert departures.keys
    departures.forget_old([], 1_001.0 + UNLISTED_RETENTION_S)
    assert not departures.keys


def test_published_servers_are_marked_and_listeners_notified() -> None:
    """The owners of prompt groups are chosen from the published servers."""
    events, notified = [], []
    published = PublishedState(observe=events.append)
    published.apply(VMS, [Change(1, "vms/s1", READY)], 1, after_revision=0, source="platform")
    published.listeners.append(lambda name, source: notified.append((name, source)))
    before = published.backend_servers
    published.departures.observe(server_key(LISTED), ANSWER, 1.0)
    assert published.backend_servers["s1"].leaving
    assert published.backend_servers is not before
    assert notified == [(VMS, "departure")]
    assert ServerLeaving(server="s1", pool=POOL, source="answer") in events


def test_departure_reaches_vms_that_are_two_links_away() -> None:
    first, second, third = (DepartureUpdates(Departures()) for _ in range(3))
    first.departures.observe(server_key(SERVER), ANSWER, 1.0)
    sent = SentDepartures()
    for sender, receiver in ((first, second), (second, third)):
        heartbeat = pb.Heartbeat(vm="sender")
        sender.write(heartbeat, sent if sender is first else SentDepartures())
        receiver.apply(heartbeat, 2.0)
    assert third.departures.is_leaving(SERVER)
    again = pb.Heartbeat(vm="sender")
    first.write(again, sent)
    assert not again.leaving_keys


def test_departure_of_a_server_that_is_listed_later_counts() -> None:
    """An update of a peer overtakes the entry of a server that has just started."""
    table = table_of(OTHER)
    heartbeat = pb.Heartbeat(vm="peer", leaving_keys=[server_key(SERVER)])
    DepartureUpdates(table.departures).apply(heartbeat, 1.0)
    table.set_servers([SERVER, OTHER])
    assert usable_names(table) == ["other"]


def test_departures_that_peers_state_without_end_are_left_out() -> None:
    """Guards against one faulty VM that fills the memory of all, which pass departures on."""
    departures = Departures()
    updates = DepartureUpdates(departures)
    for first in range(0, 4 * MAX_STATED_BY_PEERS, MAX_STATED_BY_PEERS):
        keys = range(first, first + MAX_STATED_BY_PEERS)
        updates.apply(pb.Heartbeat(vm="faulty", leaving_keys=keys), 1.0)
    assert len(departures.keys) == MAX_STATED_BY_PEERS
    departures.observe(server_key(SERVER), ANSWER, 2.0)
    assert departures.is_leaving(SERVER)


def test_departure_of_a_server_that_is_not_listed_wakes_nobody() -> None:
    """Guards against a list that is built again for each of thousands of unknown servers."""
    notified: list[str] = []
    state = PublishedState(observe=lambda event: None)
    state.listeners.append(lambda name, source: notified.append(name))
    state.departures.observe(server_key(LISTED), DepartureSource.PEER, 1.0)
    assert notified == []
    state.apply(VMS, [Change(1, "vms/s1", READY)], 1, after_revision=0, source="test")
    assert state.backend_servers["s1"].leaving
