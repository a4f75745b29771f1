"""The table counts each request once, whichever of charge, peer and report tells of it."""

import pytest
from attrs import evolve
from work_builders import POOL, SERVER, report, servers, table_of

from pomelobarrow.decision.load_table import LoadTable
from pomelobarrow.decision.work import InFlight, LoadReport


def requests(table: LoadTable, now_unix_s: float, server: str = "s1") -> int:
    states = {s.server.name: s for s in table.usable(POOL, now_unix_s)}
    return states[server].requests


def usable(table: LoadTable, now_unix_s: float) -> list[str]:
    return [state.server.name for state in table.usable(POOL, now_unix_s)]


def test_a_charge_counts_until_its_release() -> None:
    table = table_of(1)
    table.charge("r1", "s1", 100, 1.0)
    assert requests(table, 1.0) == 1
    table.release("r1", 2.0)
    assert requests(table, 2.0) == 0
    assert table.in_flight() == {}


def test_a_charge_adds_to_an_older_report_and_not_to_a_newer_one() -> None:
    table = table_of(1)
    table.observe_report(report("s1", 1.0, running=3), 1.5)
    table.charge("r1", "s1", 100, 2.0)
    assert requests(table, 2.0) == 4
    table.observe_report(report("s1", 2.5, running=4), 3.0)
    table.observe_report(report("s1", 3.5, running=4), 4.0)
    assert requests(table, 4.0) == 4


def test_a_peers_request_in_the_report_counts_once() -> None:
    table = table_of(1)
    table.observe_peer("vm-2", {"s1": InFlight(requests=2)}, 1.0)
    table.observe_report(report("s1", 1.1, running=2), 1.5)
    assert requests(table, 1.5) == 2
    table.observe_peer("vm-2", {"s1": InFlight(requests=5)}, 2.0)
    assert requests(table, 2.0) == 5
    table.observe_peer("vm-2", {}, 3.0)
    assert requests(table, 3.0) == 0


def test_a_dead_peers_requests_stay_counted_by_the_reports() -> None:
    # An entry VM dies with two requests on a server, which goes on with them. Its peers forget its
    # counts; the server must not look empty before its own report says so.
    table = table_of(1)
    table.observe_peer("vm-2", {"s1": InFlight(requests=2)}, 1.0)
    for at in (1.1, 2.1):
        table.observe_report(report("s1", at, running=2), at + 0.2)
    table.forget_peer("vm-2")
    assert requests(table, 2.5) == 2
    for at in (3.1, 4.1):
        table.observe_report(report("s1", at, running=0), at + 0.2)
    assert requests(table, 4.5) == 0


def test_an_out_of_order_report_is_left_out() -> None:
    table = table_of(1)
    table.observe_report(report("s1", 5.0, running=4), 5.1)
    table.observe_report(report("s1", 3.0, running=1), 5.2)
    assert requests(table, 5.3) == 4


@pytest.mark.parametrize("skew_s", [30.0, -30.0], ids=["ahead", "behind"])
def test_a_servers_wrong_clock_neither_hides_nor_doubles_a_request(skew_s: float) -> None:
    # A server's clock is half a minute off. Taken as it is, its report would count a request that
    # is also charged, or hide charges made after it.
    table = table_of(1)
    table.charge("r1", "s1", 100, 1.0)
    for at in (2.0, 3.0):
        table.observe_report(report("s1", at + skew_s, running=1), at + 0.1)
    table.charge("r2", "s1", 100, 4.0)
    assert requests(table, 4.0) == 2


def test_a_server_that_leaves_by_list_or_report_gets_no_new_work() -> None:
    table = table_of(3)
    table.observe_report(report("s2", 1.0, leaving=True), 1.1)
    table.set_servers([*servers(2), evolve(SERVER, name="s3", leaving=True)])
    assert usable(table, 1.2) == ["s1"]


def test_a_server_that_left_the_list_is_kept_until_its_requests_end() -> None:
    table = table_of(2)
    table.charge("r1", "s2", 100, 1.0)
    table.set_servers(servers(1))
    assert usable(table, 1.1) == ["s1"]
    assert table.in_flight() == {"s2": InFlight(requests=1, tokens=100)}
    table.release("r1", 2.0)
    table.set_servers(servers(1))
    assert table.in_flight() == {}


def test_a_failing_server_is_ejected_for_longer_each_time() -> None:
    # A server refuses connections, comes back, fails again: it is left out for a second, then two.
    table = table_of(2)
    table.mark_failed("s1", 1.0)
    assert usable(table, 1.0) == ["s1", "s2"]
    table.mark_failed("s1", 1.0)
    assert usable(table, 1.5) == ["s2"]
    assert usable(table, 2.1) == ["s1", "s2"]
    table.mark_failed("s1", 2.1)
    assert usable(table, 3.5) == ["s2"]


def test_a_server_that_came_back_fills_its_slots_slowly() -> None:
    table = table_of(1)
    for _ in range(2):
        table.mark_failed("s1", 1.0)
    slots = [table.usable(POOL, at)[0].slots for at in (2.1, 7.0, 12.0)]
    assert slots == sorted(slots)
    assert slots[0] < SERVER.slots
    assert slots[-1] == SERVER.slots


def test_all_servers_are_tried_when_all_fail() -> None:
    table = table_of(2)
    for name in ("s1", "s1", "s2", "s2"):
        table.mark_failed(name, 1.0)
    assert usable(table, 1.1) == ["s1", "s2"]


def test_the_prefill_speed_is_learned_from_first_tokens() -> None:
    table = table_of(1)
    for number in range(200):
        at = float(number)
        table.charge(f"r{number}", "s1", 2_000, at)
        table.started(f"r{number}", at + 0.5)
        table.release(f"r{number}", at + 0.9)
    times = table.service_times(POOL)
    assert times.s_per_prefill_token == pytest.approx(0.5 / 2_000, rel=0.05)
    assert times.hold_s == pytest.approx(0.9, rel=0.05)


def test_vms_that_are_not_heard_have_as_much_as_those_that_are() -> None:
    """Nine VMs share a region; this one hears four of the others, and servers report nothing.

    Of 24 slots 16 are taken. With what is heard alone a server looks two thirds empty, and every
    VM fills it up at the same time.
    """
    table = table_of(1)
    table.prefill_rates.region_vms = 9
    for number in range(4):
        table.observe_peer(f"vm-{number}", {"s1": InFlight(requests=2, tokens=500)}, 1.0)
    table.charge("r1", "s1", 100, 1.0)
    [state] = table.usable(POOL, 1.0)
    assert (state.requests, state.others_requests) == (17, 16)
    assert (state.own_tokens, state.others_tokens) == (100, 4_000)


def test_what_coordinators_send_to_be_read_is_not_taken_for_a_part_of_it() -> None:
    """One VM for each server sends it nearly all that it has to read; of nine VMs five are heard.

    As much again for those that aren't heard would make a server look busy that has read it all
    in a moment, just because its coordinator is among the neighbours.
    """
    table = table_of(1)
    table.prefill_rates.region_vms = 9
    table.is_coordinated = True
    for number in range(4):
        table.observe_peer(f"vm-{number}", {"s1": InFlight(requests=2, tokens=500)}, 1.0)
    [state] = table.usable(POOL, 1.0)
    assert (state.others_requests, state.others_tokens) == (16, 2_000)


def test_reports_tell_of_vms_that_are_not_heard() -> None:
    table = table_of(1)
    table.prefill_rates.region_vms = 9
    table.observe_peer("vm-2", {"s1": InFlight(requests=2)}, 1.0)
    table.observe_report(report("s1", 1.1, running=7), 1.5)
    assert requests(table, 1.5) == 7


def glimpse(at_unix_s: float, running: int, waiting: int = 0) -> LoadReport:
    """Return what server s1 told with an answer."""
    return LoadReport(
        server="s1", measured_unix_s=at_unix_s, running=running, waiting=waiting, is_partial=True
    )


def in_region_of(vms: int, heard: int, hold_s: float = 2.0) -> LoadTable:
    """Return the table of a VM that hears some of its region's, each with one request on s1."""
    table = table_of(1)
    table.prefill_rates.region_vms = vms
    for number in range(heard):
        table.observe_peer(f"vm-{number}", {"s1": InFlight(requests=1)}, 1.0)
    for _ in range(500):
        table.service_times(POOL).observe_finish(hold_s)
    return table


def test_what_a_server_tells_with_an_answer_goes_before_what_few_vms_tell() -> None:
    """A full server gets more requests, and an empty one none.

    In a region of 65 VMs one hears 14 others. By chance these have little on a server that the
    others have filled, so that it looks empty; the answer that it has just given says that it runs
    twelve requests.
    """
    table = in_region_of(65, heard=14)
    assert requests(table, 1.0) > 50

    table.observe_partial_report(glimpse(1.0, running=12), 1.0)

    assert requests(table, 1.0) == 12


def test_an_old_glimpse_counts_less_than_what_is_heard() -> None:
    table = in_region_of(65, heard=14, hold_s=0.02)
    heard = requests(table, 1.0)
    table.observe_partial_report(glimpse(1.0, running=2), 1.0)

    assert requests(table, 1.5) == heard


def test_a_glimpse_leaves_out_what_this_vm_has_placed_since() -> None:
    table = table_of(1)
    table.charge("r1", "s1", 100, 0.5)
    table.observe_partial_report(glimpse(1.0, running=3), 1.0)
    table.charge("r2", "s1", 100, 1.1)

    assert requests(table, 1.1) == 4


def test_a_glimpse_says_nothing_of_prompts() -> None:
    table = table_of(1)
    table.observe_peer("vm-2", {"s1": InFlight(requests=2, tokens=9_000)}, 1.0)
    table.observe_partial_report(glimpse(1.1, running=2), 1.1)

    [state] = table.usable(POOL, 1.1)
    assert state.others_tokens == 9_000


def test_peers_are_told_of_fresh_glimpses_only() -> None:
    table = table_of(1)
    told = glimpse(1.0, running=2)
    table.observe_partial_report(told, 1.0)

    assert table.partial_reports(2.0) == [told]
    assert table.partial_reports(4.0) == []
