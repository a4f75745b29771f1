"""The meters of all regions together keep an account to its limit, and refuse little below it."""

import heapq
from random import Random

import hypothesis.strategies as st
import pytest
from attrs import define, evolve, field
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule
from result import Err, Ok

from pomelobarrow.decision.accounts.account_meter import (
    MIN_BURST_S,
    AccountMeter,
    Exhausted,
)
from pomelobarrow.decision.accounts.local_allowance import KEPT_S, UNMETERED_SHARE
from pomelobarrow.decision.published.accounts import RateLimit

LIMIT = RateLimit(per_s=1_000.0, burst=1_000.0, counts_tokens=True)
REGIONS = ("a", "b", "c")
WINDOW_S = 8.0
# How far the sum over all regions may exceed the limit in any window, as a share.
ALLOWED_EXCESS = 0.25
# What all VMs spend without the meters in a window.
UNMETERED = UNMETERED_SHARE * (WINDOW_S + KEPT_S) * LIMIT.per_s
# What the meters may grant in a window without tolerance.
BOUND = (WINDOW_S * LIMIT.per_s + LIMIT.burst) * (1.0 + ALLOWED_EXCESS) - UNMETERED


def refused(taken: object) -> Exhausted:
    assert isinstance(taken, Err)
    return taken.err_value


def meter(**more: float) -> AccountMeter:
    return AccountMeter(other_regions=(), **more)


def rested(at_unix_s: float = 100.0, **more: float) -> AccountMeter:
    """Return a meter whose bucket is full at a time."""
    full = meter(**more)
    full.take(0.0, LIMIT, at_unix_s - 60.0)
    return full


def take_all(full: AccountMeter, cost: float, at_unix_s: float) -> float:
    taken = 0.0
    while isinstance(full.take(cost, LIMIT, at_unix_s), Ok):
        taken += cost
    return taken


def test_bucket_grants_the_burst_at_once() -> None:
    assert take_all(rested(), 10.0, 100.0) == 1_000.0


def test_tolerance_enlarges_the_bucket() -> None:
    assert take_all(rested(tolerance=500.0), 10.0, 100.0) == 1_500.0


def test_limit_without_burst_still_grants_requests() -> None:
    no_burst = evolve(LIMIT, burst=0.0)
    full = meter()
    full.take(0.0, no_burst, 0.0)
    assert full.take(1.0, no_burst, 60.0).is_ok()
    taken = sum(full.take(10.0, no_burst, 60.0).is_ok() for _ in range(50))
    assert taken == pytest.approx(MIN_BURST_S * LIMIT.per_s / 10.0, abs=1)


def test_meter_starts_with_a_nearly_empty_bucket() -> None:
    """After a loss of all VMs nobody knows what was granted in the seconds before."""
    assert take_all(meter(), 10.0, 100.0) <= 100.0


def test_request_larger_than_the_bucket_is_granted_and_then_paid_off() -> None:
    full = rested()
    assert full.take(1_800.0, LIMIT, 100.0).is_ok()
    exhausted = refused(full.take(1.0, LIMIT, 100.0))
    assert exhausted.opens_unix_s == pytest.approx(100.8, abs=0.01)
    assert full.take(1.0, LIMIT, 100.81).is_ok()


def test_small_and_large_requests_are_refused_alike() -> None:
    full = rested()
    take_all(full, 10.0, 100.0)
    refused(full.take(1.0, LIMIT, 100.0))
    refused(full.take(900.0, LIMIT, 100.0))
    assert full.take(900.0, LIMIT, 100.1).is_ok()


def test_refused_requests_return_one_after_the_other() -> None:
    full = rested()
    take_all(full, 10.0, 100.0)
    retries = [refused(full.take(200.0, LIMIT, 100.0)).retry_unix_s for _ in range(5)]
    gaps_s = [later - earlier for earlier, later in zip(retries, retries[1:], strict=False)]
    assert gaps_s == pytest.approx([0.2] * 4)


def test_refund_makes_room_again() -> None:
    full = rested()
    take_all(full, 10.0, 100.0)
    full.refund(100.0)
    assert full.take(100.0, LIMIT, 100.0).is_ok()


def test_lowered_limit_comes_into_force_later_and_a_raised_one_at_once() -> None:
    low = evolve(LIMIT, per_s=10.0, burst=10.0)
    full = rested(lowered_after_s=3.0)
    assert full.take(900.0, low, 100.0).is_ok()
    assert full.take(900.0, low, 102.9).is_ok()
    assert full.take(20.0, low, 103.1).is_ok()
    assert full.take(20.0, low, 103.2).is_err()
    assert full.take(900.0, LIMIT, 103.3).is_ok()


def test_deputy_grants_its_share_at_once_and_the_whole_limit_in_charge() -> None:
    """A deputy's share was taken for a lowered limit, which comes into force only later."""
    full = rested(lowered_after_s=3.0)
    assert full.take(900.0, LIMIT, 100.0, share=0.2).is_ok()
    assert full.take(1.0, LIMIT, 100.5, share=0.2).is_err()
    assert full.take(1.0, LIMIT, 104.6, share=0.2).is_ok()
    assert full.take(900.0, LIMIT, 106.0).is_ok()


def test_grants_from_before_a_meter_started_are_not_paid_off() -> None:
    """A VM that meters for another one announces all that it has ever granted."""
    own = AccountMeter(other_regions=("b",))
    for second in range(60):
        own.observe("b", 1, 0.0, LIMIT, float(second))
        own.acknowledge("b", own.granted, float(second))
    own.observe("b", 2, 60_000.0, LIMIT, 60.0)
    own.observe("b", 1, 0.0, LIMIT, 62.0)
    own.acknowledge("b", own.granted, 62.0)
    assert own.take(10.0, LIMIT, 62.0).is_ok()


@define
class Fleet:
    """The meters of all regions, with messages that take a time or are cut off."""

    delay_s: float = 0.06
    tolerance: float = 0.0
    limit: RateLimit = LIMIT
    now_s: float = 0.0
    cut: set[tuple[str, str]] = field(factory=set)
    meters: dict[str, AccountMeter] = field(init=False)
    numbers: dict[str, int] = field(init=False)
    granted: list[tuple[float, float]] = field(factory=list)
    _messages: list[tuple[float, int, str, str, int, float, bool]] = field(factory=list)
    _sequence: int = 0

    def __attrs_post_init__(self) -> None:
        self.meters = {region: self._new(region) for region in REGIONS}
        self.numbers = {region: index for index, region in enumerate(REGIONS)}

    def _new(self, region: str) -> AccountMeter:
        others = [each for each in REGIONS if each != region]
        return AccountMeter(other_regions=others, tolerance=self.tolerance)

    def restart(self, region: str) -> None:
        self.meters[region] = self._new(region)
        self.numbers[region] += len(REGIONS)

    def advance(self, seconds: float) -> None:
        """Let time pass; meters review their announcements five times a second."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s = min(end_s, self.now_s + 0.05)
            self._deliver()
            for region in REGIONS:
                self._announce(region)

    def take(self, region: str, cost: float) -> bool:
        taken = self.meters[region].take(cost, self.limit, self.now_s).is_ok()
        if taken:
            self.granted.append((self.now_s, cost))
            self._announce(region)
        return taken

    def granted_in_window(self) -> float:
        return sum(cost for at_s, cost in self.granted if at_s > self.now_s - WINDOW_S)

    def _announce(self, region: str) -> None:
        sum_ = self.meters[region].announcement(self.limit, self.now_s)
        if sum_ is not None:
            for other in REGIONS:
                if other != region:
                    self._send(region, other, self.numbers[region], sum_, False)

    def _send(self, source: str, target: str, number: int, sum_: float, is_ack: bool) -> None:
        if (source, target) not in self.cut:
            self._sequence += 1
            message = (self.now_s + self.delay_s, self._sequence, source, target, number, sum_)
            heapq.heappush(self._messages, (*message, is_ack))

    def _deliver(self) -> None:
        while self._messages and self._messages[0][0] <= self.now_s:
            _, _, source, target, number, sum_, is_ack = heapq.heappop(self._messages)
            if is_ack:
                if number == self.numbers[target]:
                    self.meters[target].acknowledge(source, sum_, self.now_s)
                continue
            self.meters[target].observe(source, number, sum_, self.limit, self.now_s)
            self._send(target, source, number, sum_, True)


def used_share(fleet: Fleet, shares: dict[str, float], seconds: float, cost: float = 20.0) -> float:
    """Ask for shares of the limit in each region; return what is granted of what is asked."""
    random, asked, granted = Random(1), 0, 0
    step_s = 0.01
    for _ in range(round(seconds / step_s)):
        fleet.advance(step_s)
        for region, share in shares.items():
            expected = share * fleet.limit.per_s * step_s / cost
            for _ in range(int(expected) + (random.random() < expected % 1.0)):
                asked += 1
                granted += fleet.take(region, cost)
    return granted / asked


def test_use_below_the_limit_is_granted_wherever_it_is_asked() -> None:
    fleet = Fleet()
    used_share(fleet, {"a": 0.5, "b": 0.03, "c": 0.03}, 5.0)
    assert used_share(fleet, {"a": 0.5, "b": 0.03, "c": 0.03}, 10.0) >= 0.95
    # The peak moves to another region within a second.
    assert used_share(fleet, {"a": 0.25, "b": 0.25, "c": 0.03}, 1.0) >= 0.95
    assert used_share(fleet, {"a": 0.03, "b": 0.5, "c": 0.03}, 10.0) >= 0.95


def test_large_requests_below_the_limit_are_granted() -> None:
    fleet = Fleet(tolerance=1_000.0)
    used_share(fleet, {"a": 0.5, "b": 0.03, "c": 0.03}, 10.0, cost=300.0)
    assert used_share(fleet, {"a": 0.5, "b": 0.03, "c": 0.03}, 20.0, cost=300.0) >= 0.95


def test_use_above_the_limit_is_granted_up_to_it() -> None:
    fleet = Fleet()
    used_share(fleet, {"a": 2.0, "b": 0.5, "c": 0.5}, 10.0)
    share = used_share(fleet, {"a": 2.0, "b": 0.5, "c": 0.5}, 10.0)
    assert 0.85 <= share * 3.0 <= 1.05


def test_step_in_use_keeps_to_the_limit() -> None:
    fleet = Fleet()
    used_share(fleet, {"a": 0.5, "b": 0.03, "c": 0.03}, 10.0)
    worst = 0.0
    for _ in range(20):
        used_share(fleet, {"a": 3.8, "b": 0.2, "c": 0.2}, 0.5)
        worst = max(worst, fleet.granted_in_window())
    assert worst <= BOUND


@pytest.mark.parametrize(
    "cut",
    [
        {(s, t) for s in REGIONS for t in REGIONS},
        {("a", "b"), ("b", "a")},
        {("a", "b")},
        {("a", "b"), ("a", "c")},
    ],
    ids=["all regions", "two regions", "one way", "one region's messages"],
)
def test_sides_of_a_partition_together_keep_to_the_limit(cut: set[tuple[str, str]]) -> None:
    """Regions that lose sight of each other must not use the whole limit each."""
    fleet = Fleet(tolerance=200.0)
    used_share(fleet, {"a": 0.2, "b": 0.2, "c": 0.2}, 10.0)
    fleet.cut = cut
    worst = 0.0
    for _ in range(24):
        used_share(fleet, {"a": 2.5, "b": 2.5, "c": 2.5}, 0.5)
        worst = max(worst, fleet.granted_in_window())
    assert worst <= BOUND + 200.0


def test_large_request_does_not_stop_an_account_with_a_small_limit() -> None:
    fleet = Fleet(tolerance=4_000.0)
    used_share(fleet, {"a": 0.2, "b": 0.2, "c": 0.2}, 10.0)
    assert fleet.take("a", 700.0)
    assert fleet.take("a", 700.0)


def test_one_way_cut_does_not_stop_a_region() -> None:
    fleet = Fleet()
    used_share(fleet, {"a": 0.3, "b": 0.1, "c": 0.1}, 5.0)
    fleet.cut = {("b", "a"), ("b", "c")}
    used_share(fleet, {"a": 0.3, "b": 0.1, "c": 0.1}, 3.0)
    assert used_share(fleet, {"a": 0.3, "b": 0.1, "c": 0.1}, 10.0) >= 0.95


def test_all_meters_starting_at_once_keep_to_the_limit() -> None:
    fleet = Fleet()
    used_share(fleet, {"a": 2.0, "b": 1.0, "c": 1.0}, 8.0)
    for region in REGIONS:
        fleet.restart(region)
    worst = 0.0
    for _ in range(20):
        used_share(fleet, {"a": 2.0, "b": 1.0, "c": 1.0}, 0.5)
        worst = max(worst, fleet.granted_in_window())
    assert worst <= BOUND


class AnyHistory(RuleBasedStateMachine):
    """Requests, cuts, delays and restarts in any order keep to the bound."""

    MAX_COST = 100.0

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet(tolerance=300.0)

    @rule(seconds=st.floats(0.01, 3.0))
    def wait(self, seconds: float) -> None:
        self.fleet.advance(seconds)

    @rule(region=st.sampled_from(REGIONS), cost=st.floats(1.0, MAX_COST))
    def ask_much(self, region: str, cost: float) -> None:
        for _ in range(400):
            if not self.fleet.take(region, cost):
                break
        self._check()

    @rule(seconds=st.floats(0.1, 4.0), cost=st.floats(10.0, MAX_COST))
    def ask_much_everywhere(self, seconds: float, cost: float) -> None:
        for _ in range(round(seconds / 0.05)):
            self.fleet.advance(0.05)
            for region in REGIONS:
                while self.fleet.take(region, cost):
                    pass
        self._check()

    @rule(one=st.sampled_from(REGIONS), other=st.sampled_from(REGIONS))
    def cut(self, one: str, other: str) -> None:
        self.fleet.cut.add((one, other))

    @precondition(lambda self: self.fleet.cut)
    @rule()
    def heal(self) -> None:
        self.fleet.cut.clear()

    @rule(region=st.sampled_from(REGIONS))
    def restart(self, region: str) -> None:
        self.fleet.restart(region)

    @rule(delay_s=st.sampled_from([0.01, 0.06, 0.3, 2.0]))
    def change_delay(self, delay_s: float) -> None:
        self.fleet.delay_s = delay_s

    def _check(self) -> None:
        last_requests = len(REGIONS) * self.MAX_COST
        assert self.fleet.granted_in_window() <= BOUND + 300.0 + last_requests


AnyHistory.TestCase.settings = settings(max_examples=40, stateful_step_count=25, deadline=None)
TestAnyHistory = AnyHistory.TestCase
