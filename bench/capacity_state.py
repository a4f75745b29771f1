"""Measure memory and processor time of one daemon's state and decisions, at several sizes."""

import time
import tracemalloc
from collections.abc import Callable
from random import Random
from typing import Any

from attrs import evolve, frozen

from bench.capacity_fit import Line, fit_line
from bench.capacity_region import (
    POOLS,
    START_UNIX_S,
    RegionSize,
    account_value,
    other_members,
    published_state,
)
from pomelobarrow.decision.configuration import Rank
from pomelobarrow.decision.keyspace import Change
from pomelobarrow.decision.load_table import LoadTable
from pomelobarrow.decision.member import Member
from pomelobarrow.decision.member_roles import relays_among
from pomelobarrow.decision.membership import MembershipView
from pomelobarrow.decision.prefix_index import PrefixIndex
from pomelobarrow.decision.region_choice import RegionLoad, ShareOutsideHome, choose_region
from pomelobarrow.decision.request_ids import RequestIdLedger
from pomelobarrow.decision.server_choice import choose_server
from pomelobarrow.decision.work import Work
from pomelobarrow.decision.work_queue import WorkQueue
from pomelobarrow.published.keyspaces import CONFIG, PublishedState

NOW_UNIX_S = START_UNIX_S
BLOCKS_PER_PROMPT = 16
MIN_TIMED_S = 0.15


@frozen
class Slope:
    """Hold one measured quantity at some sizes and the line through them."""

    name: str
    unit: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    line: Line


def slope(name: str, unit: str, measure: Callable[[int], float], sizes: tuple[int, ...]) -> Slope:
    """Measure at each size and fit."""
    values = tuple(measure(size) for size in sizes)
    return Slope(name, unit, sizes, values, fit_line(sizes, values))


def memory_slopes() -> list[Slope]:
    """Return the bytes that each kind of state takes."""
    return [
        slope("configuration, by account", "B", _configuration_bytes, (100, 200, 400)),
        slope("VM list, by VM", "B", _vm_list_bytes, (600, 1_300, 2_540)),
        slope("members, by daemon", "B", _members_bytes, (80, 160, 340)),
        slope("request-id ledger, by claimed id", "B", _ledger_bytes, (500, 1_000, 2_000)),
        slope("prefix index, by block", "B", _prefix_bytes, (10_000, 20_000, 40_000)),
    ]


def time_slopes() -> list[Slope]:
    """Return the processor seconds that each decision takes."""
    return [
        slope("choose a server, by server", "s", _choose_server_s, (32, 130, 325)),
        slope("choose a region, by region", "s", _choose_region_s, (3, 9, 17)),
        slope("queue and take one, by waiting work", "s", _queue_s, (10, 200, 1_500)),
        slope("put a change in force, by account", "s", _apply_s, (100, 200, 400)),
        slope("choose relays to 16 regions, by daemon", "s", _relays_s, (80, 160, 340)),
        slope("claim and finish an id, by claimed id", "s", _claim_s, (100, 500, 1_500)),
    ]


def _allocated(build: Callable[[], Any]) -> float:
    tracemalloc.start()
    kept = build()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return float(size)


def _each_s(call: Callable[[], object]) -> float:
    call()
    count, started_s = 0, time.process_time()
    while time.process_time() - started_s < MIN_TIMED_S:
        call()
        count += 1
    return (time.process_time() - started_s) / count


def _configuration_bytes(accounts: int) -> float:
    size = RegionSize(daemons=1, servers=1, accounts=accounts)
    return _allocated(lambda: published_state(size))


def _vm_list_bytes(vms: int) -> float:
    size = RegionSize(daemons=vms // 8, servers=vms - vms // 8, accounts=1)
    return _allocated(lambda: published_state(size))


def _members_bytes(daemons: int) -> float:
    return _allocated(lambda: _view(daemons))


def _view(daemons: int) -> MembershipView:
    size = RegionSize(daemons=1, servers=1, other_daemons=daemons, other_regions=16)
    view = MembershipView("r00-vm000", "r00")
    view.observe_own(Member(vm="r00-vm000", region="r00"))
    for member in other_members(size, NOW_UNIX_S):
        view.observe_heartbeat(evolve(member, sequence=1), NOW_UNIX_S)
    return view


def _ledger(ids: int) -> RequestIdLedger:
    ledger = RequestIdLedger("r00-vm000", 1, b"s" * 32)
    for number in range(ids):
        account = f"account-{number % 60:03d}"
        for request_id in ledger.issue(account, 1, NOW_UNIX_S):
            ledger.claim(request_id, account, NOW_UNIX_S)
    return ledger


def _ledger_bytes(ids: int) -> float:
    return _allocated(lambda: _ledger(ids))


def _claim_s(ids: int) -> float:
    ledger = _ledger(ids)

    def claim() -> None:
        for request_id in ledger.issue("account-x", 1, NOW_UNIX_S):
            ledger.claim(request_id, "account-x", NOW_UNIX_S)
            ledger.lose(request_id)

    return _each_s(claim)


def _prefix_bytes(blocks: int) -> float:
    def build() -> PrefixIndex:
        index, random = PrefixIndex(), Random(1)
        servers = [f"server-{n}" for n in range(20)]
        index.set_capacities(dict.fromkeys(servers, 10**9))
        for number in range(blocks // BLOCKS_PER_PROMPT):
            hashes = [random.getrandbits(64) for _ in range(BLOCKS_PER_PROMPT)]
            index.observe_placement(servers[number % 20], hashes)
        return index

    return _allocated(build)


def _choose_server_s(servers: int) -> float:
    size = RegionSize(daemons=1, servers=servers)
    table, random = LoadTable("r00"), Random(1)
    table.set_servers(published_state(size).backend_servers.values())
    work = _work()
    for number in range(servers // 2):
        name = f"drafting-r00-{random.randrange(servers):03d}"
        table.charge(f"id-{number}", name, 300, NOW_UNIX_S)
    return _each_s(lambda: choose_server(table, work, NOW_UNIX_S, random, frozenset()))


def _choose_region_s(regions: int) -> float:
    loads = {
        f"r{n:02d}": RegionLoad(
            region=f"r{n:02d}",
            pool=POOLS[0],
            expected_wait_s=5.0,
            round_trip_s=0.11,
            measured_unix_s=NOW_UNIX_S,
            servers=129,
        )
        for n in range(regions)
    }
    share, random, work = ShareOutsideHome({"class-0": 0.5}), Random(1), _work()
    return _each_s(lambda: choose_region(work, "r00", loads, share, NOW_UNIX_S, random))


def _queue_s(waiting: int) -> float:
    queue, works = WorkQueue(POOLS[0]), [
        evolve(_work(), request_id=f"w{n}") for n in range(waiting)
    ]
    for work in works:
        queue.push(work, NOW_UNIX_S)

    def turn() -> None:
        taken = queue.pop_next(NOW_UNIX_S, lambda work: True)
        assert taken is not None
        queue.push(taken, NOW_UNIX_S)

    return _each_s(turn)


def _apply_s(accounts: int) -> float:
    published = published_state(RegionSize(daemons=1, servers=1, accounts=accounts))

    def apply() -> None:
        revision = published.copies[CONFIG].observed_revision + 1
        value = {**account_value(revision % accounts), "max_requests_per_s": revision}
        change = Change(
            revision=revision, key=f"accounts/account-{revision % accounts:03d}", value=value
        )
        _apply(published, change)

    return _each_s(apply)


def _apply(published: PublishedState, change: Change) -> None:
    after = published.copies[CONFIG].observed_revision
    published.apply(CONFIG, [change], change.revision, after_revision=after, source="bench")


def _relays_s(daemons: int) -> float:
    view = _view(daemons)

    def choose() -> None:
        live = [member for member in view.live(now_unix_s=NOW_UNIX_S) if member.region == "r01"]
        for number in range(16):
            relays_among(live, "r01", f"r{number:02d}")

    return _each_s(choose)


def _work() -> Work:
    return Work(
        request_id="w",
        class_name="class-0",
        account="account-000",
        rank=Rank.PAYING,
        pool=POOLS[0],
        model=None,
        home_region="r00",
        home_bound=False,
        repeatable=True,
        prompt_tokens=1_000,
        expected_output_tokens=226,
        prefix_hashes=tuple(range(BLOCKS_PER_PROMPT)),
        accepted_unix_s=NOW_UNIX_S,
        first_token_due_unix_s=NOW_UNIX_S + 1.0,
        deadline_unix_s=NOW_UNIX_S + 30.0,
    )
