"""A backend server that starts again under its name is another server."""

from attrs import evolve

from pomelobarrow.decision.load_table import LoadTable
from pomelobarrow.decision.work import BackendServer, InFlight, LoadReport
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.grid import LinkKind
from pomelobarrow.peers.server_updates import SentServers, ServerUpdates
from pomelobarrow.published.vms import VmList
from pomelobarrow.relay.health_monitor import ServerHealthMonitor
from pomelobarrow.relay.messages import AttemptEnd, AttemptReport

FIRST = BackendServer(
    name="s1",
    region="a",
    failure_domain="a1",
    address="10.0.0.1:1",
    pool="p",
    slots=8,
    kv_capacity_tokens=100_000,
    born_unix_ms=1_000,
)
SECOND = evolve(FIRST, born_unix_ms=2_000)
OTHER = evolve(FIRST, name="s2")
BLOCKS = (11, 12)
VM_VALUE = {
    "role": "backend_server",
    "region": "a",
    "failure_domain": "a1",
    "state": "ready",
    "address": "10.0.0.1:1",
    "pool": "p",
    "slots": 8,
    "leased": True,
}


def table_of(*servers: BackendServer) -> LoadTable:
    table = LoadTable("a")
    table.set_servers(servers)
    return table


def requests_at(table: LoadTable, now_unix_s: float = 10.0) -> int:
    return table.usable("p", now_unix_s)[0].requests


def news(table: LoadTable, server: BackendServer) -> ServerUpdates:
    return ServerUpdates(table=table, servers=lambda: {server.name: server}, own_reports=lambda: ())


def heartbeat_of(sender: ServerUpdates, sent: SentServers | None = None) -> pb.Heartbeat:
    heartbeat = pb.Heartbeat(vm="vm-b", is_whole=sent is None)
    sender.write(heartbeat, sent or SentServers(), LinkKind.ROW, 10.0)
    return heartbeat


def take(receiver: ServerUpdates, heartbeat: pb.Heartbeat) -> None:
    receiver.take(heartbeat, LinkKind.ROW, 10.0, float)


def test_restarted_server_holds_nothing_of_before() -> None:
    """A server crashes with requests and a cached prompt and is back under its name.

    Were it still taken as full and warm, it would get none of the new work it could do, and long
    prompts for a cache that is empty.
    """
    table = table_of(FIRST)
    table.prefixes.observe_placement("s1", BLOCKS)
    table.charge("r1", "s1", 500, 1.0)
    table.observe_peer("vm-b", {"s1": InFlight(requests=3, tokens=90)}, 1.0)
    table.observe_report(LoadReport(server="s1", measured_unix_s=1.0, running=9, waiting=0), 1.0)
    table.set_servers([SECOND])
    assert requests_at(table) == 0
    assert table.report("s1") is None
    assert not table.prefixes.holds("s1", BLOCKS[0])


def test_late_end_of_the_earlier_incarnation_takes_nothing_off_the_new_one() -> None:
    """A request was under way when its server restarted; its connection ends only later."""
    table = table_of(FIRST)
    table.charge("r1", "s1", 500, 1.0)
    table.set_servers([SECOND])
    table.charge("r2", "s1", 500, 2.0)
    table.release("r1", 3.0)
    assert requests_at(table) == 1


def test_ejection_ends_with_the_incarnation() -> None:
    table = table_of(FIRST, OTHER)
    table.eject("s1", 1.0)
    table.set_servers([SECOND, OTHER])
    assert not table.is_ejected("s1", 1.1)


def test_failure_of_the_earlier_incarnation_is_not_held_against_the_new_one() -> None:
    """Requests that the crash broke off end after the server is listed anew.

    Each would count as a failure of the new incarnation, which would be ejected while healthy.
    """
    table = table_of(FIRST, OTHER)
    monitor = ServerHealthMonitor(table=table, observe=lambda _: None)
    table.set_servers([SECOND, OTHER])
    for _ in range(10):
        monitor.monitor(FIRST, AttemptReport(end=AttemptEnd.LOST), 0.1, 1.0)
    assert not table.is_ejected("s1", 1.0)


def test_server_that_vanished_and_came_back_counts_its_peers_requests_once() -> None:
    """A server's entry lapses and returns while a peer has requests there.

    Taken off again when the peer's count changes, they would make the server look emptier than it
    is for as long as it lives.
    """
    table = table_of(FIRST)
    table.observe_peer("vm-b", {"s1": InFlight(requests=3, tokens=90)}, 1.0)
    table.set_servers([])
    table.set_servers([FIRST])
    table.observe_peer("vm-b", {"s1": InFlight(requests=5, tokens=90)}, 2.0)
    assert requests_at(table) == 5


def test_news_of_the_earlier_incarnation_is_not_taken_for_the_new_one() -> None:
    """A peer that hasn't heard of the restart tells of its requests before it."""
    old_table, new_table = table_of(FIRST), table_of(SECOND)
    old_table.charge("r1", "s1", 500, 1.0)
    take(news(new_table, SECOND), heartbeat_of(news(old_table, FIRST)))
    assert requests_at(new_table) == 0


def test_same_count_on_the_new_incarnation_is_news() -> None:
    """One request was in flight before the restart and one is after it."""
    servers = {"s1": FIRST}
    sender_table, receiver_table = table_of(FIRST), table_of(SECOND)
    sender = ServerUpdates(table=sender_table, servers=lambda: servers, own_reports=lambda: ())
    receiver = news(receiver_table, SECOND)
    sent = SentServers()
    sender_table.charge("r1", "s1", 500, 1.0)
    take(receiver, heartbeat_of(sender, sent))
    sender_table.set_servers([SECOND])
    servers = {"s1": SECOND}
    sender_table.charge("r2", "s1", 500, 2.0)
    take(receiver, heartbeat_of(sender, sent))
    assert requests_at(receiver_table) == 1


def test_list_tells_the_start_of_an_incarnation() -> None:
    listed = VmList()
    listed.update({"vms/s1": {**VM_VALUE, "born_unix_ms": 2_000}}, 1.0)
    assert listed.servers["s1"].born_unix_ms == 2_000


def test_unusable_entry_ends_the_server_it_replaces_at_once() -> None:
    """Another writer overwrites a server's entry with bytes that can't be read.

    A lapsed lease keeps a server for a while; an entry that names no server doesn't.
    """
    listed = VmList()
    listed.update({"vms/s1": VM_VALUE}, 1.0)
    listed.update({"vms/s1": {"role": "unusable"}}, 2.0)
    assert not listed.servers
