"""Choose the region that serves a request."""

import enum
from collections import defaultdict
from collections.abc import Mapping
from random import Random

from attrs import frozen

from pomelobarrow.decision.requests.work import Work
from pomelobarrow.decision.streams.stream_pauses import EngineLoad

# A region whose load is older than this may have been lost.
MAX_LOAD_AGE_S = 5.0
# After a loss, a region's work returns to it over this time, since its caches are cold.
SLOW_START_S = 20.0
SLOW_START_SHARE = 0.1
MAX_SHARE_CREDIT = 5.0


class RegionReason(enum.Enum):
    """Why a region was chosen."""

    HOME_BOUND = "work may not leave its home region"
    HOME_MEETS_TARGET = "home meets the target"
    HOME_IS_FASTEST = "no other region meets the target either"
    HOME_LOST = "home can't be reached"
    HOME_OVERLOADED = "home misses the target and this region meets it"
    HOME_RECOVERING = "home has just come back with cold caches"
    SHARE_USED_UP = "the class's share outside home is used up"
    NO_REGION = "no region with servers of the pool is known"


@frozen(kw_only=True)
class RegionLoad:
    """The last known load of one pool in one region."""

    region: str
    pool: str
    expected_wait_s: float
    round_trip_s: float
    measured_unix_s: float
    servers: int
    # Extra prefill time of a prompt whose prefix isn't cached there.
    cold_prefill_s: float = 0.0
    # When the region was seen again after a loss.
    returned_unix_s: float = float("-inf")
    # Load of the server whose streams are disturbed least by one more long prompt.
    least_disturbed: EngineLoad = EngineLoad()

    def is_fresh(self, now_unix_s: float) -> bool:
        """Return whether the load is recent enough to describe the region."""
        return now_unix_s - self.measured_unix_s <= MAX_LOAD_AGE_S


@frozen(kw_only=True)
class RegionChoice:
    """The region chosen, or None if no region may serve the request, and the reason."""

    region: str | None
    reason: RegionReason


class ShareOutsideHome:
    """Limits the share of each class's requests that this VM sends outside their home region.

    Each request adds the share to its class's credit; one served outside its home subtracts 1.
    Every VM keeps the limit for its own requests, so their sum does too, without coordination.
    """

    def __init__(self, max_share_by_class: Mapping[str, float] | None = None) -> None:
        self._max_share_by_class = dict(max_share_by_class or {})
        self._credit: defaultdict[str, float] = defaultdict(float)

    def set_max_shares(self, max_share_by_class: Mapping[str, float]) -> None:
        """Replace the maximum shares by the published ones."""
        self._max_share_by_class = dict(max_share_by_class)

    def allows(self, class_name: str) -> bool:
        """Return whether the class's next request may be served outside its home."""
        return self._credit[class_name] + self._share(class_name) >= 1.0 - 1e-9

    def record(self, class_name: str, outside: bool) -> None:
        """Update the class's credit by one request that was sent to its region."""
        credit = self._credit[class_name] + self._share(class_name) - (1.0 if outside else 0.0)
        self._credit[class_name] = min(MAX_SHARE_CREDIT, credit)

    def _share(self, class_name: str) -> float:
        return self._max_share_by_class.get(class_name, 0.0)


def choose_region(
    work: Work,
    own_region: str,
    loads: Mapping[str, RegionLoad],
    share: ShareOutsideHome,
    now_unix_s: float,
    random: Random,
) -> RegionChoice:
    """Return the home region unless it misses the target and another region meets it."""
    if work.home_bound:
        return RegionChoice(region=work.home_region, reason=RegionReason.HOME_BOUND)
    usable = {
        name: load for name, load in loads.items() if _is_usable(load, own_region, now_unix_s)
    }
    home = usable.pop(work.home_region, None)
    reason = _evaluate_home(work, own_region, home, now_unix_s, random)
    if reason is RegionReason.HOME_MEETS_TARGET:
        return RegionChoice(region=work.home_region, reason=reason)
    others = list(usable.values())
    in_time = [load for load in others if _slack_s(work, load, own_region, now_unix_s) > 0.0]
    if not in_time and (home is not None or not others):
        return _stay_home(work, home, RegionReason.HOME_IS_FASTEST)
    if not share.allows(work.class_name):
        return _stay_home(work, home, RegionReason.SHARE_USED_UP)
    if not in_time:
        least = min(others, key=lambda load: _first_token_s(load, own_region))
        return RegionChoice(region=least.region, reason=reason)
    # All VMs of an overloaded region see the same loads. If they all chose the least loaded region,
    # it would get the whole overflow and be overloaded before its next heartbeat shows it.
    weights = [load.servers * _slack_s(work, load, own_region, now_unix_s) for load in in_time]
    return RegionChoice(region=random.choices(in_time, weights)[0].region, reason=reason)


def _stay_home(work: Work, home: RegionLoad | None, reason: RegionReason) -> RegionChoice:
    if home is not None:
        return RegionChoice(region=work.home_region, reason=reason)
    lost = RegionReason.NO_REGION if reason is RegionReason.HOME_IS_FASTEST else reason
    return RegionChoice(region=None, reason=lost)


def _evaluate_home(
    work: Work, own_region: str, home: RegionLoad | None, now_unix_s: float, random: Random
) -> RegionReason:
    if home is None:
        return RegionReason.HOME_LOST
    if _slack_s(work, home, own_region, now_unix_s, is_cold=False) <= 0.0:
        return RegionReason.HOME_OVERLOADED
    ramp = (now_unix_s - home.returned_unix_s) / SLOW_START_S
    if random.random() > max(SLOW_START_SHARE, ramp):
        return RegionReason.HOME_RECOVERING
    return RegionReason.HOME_MEETS_TARGET


def _is_usable(load: RegionLoad, own_region: str, now_unix_s: float) -> bool:
    return load.servers > 0 and (load.is_fresh(now_unix_s) or load.region == own_region)


def _first_token_s(load: RegionLoad, own_region: str, is_cold: bool = True) -> float:
    trip_s = 0.0 if load.region == own_region else load.round_trip_s
    return load.expected_wait_s + trip_s + (load.cold_prefill_s if is_cold else 0.0)


def _slack_s(
    work: Work, load: RegionLoad, own_region: str, now_unix_s: float, is_cold: bool = True
) -> float:
    """Return the seconds between the expected first token and its due time, negative if late."""
    first_token_unix_s = now_unix_s + _first_token_s(load, own_region, is_cold)
    return min(work.first_token_due_unix_s, work.deadline_unix_s) - first_token_unix_s
