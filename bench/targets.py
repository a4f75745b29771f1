"""Evaluate the measured figures against the targets and the regression bounds."""

from typing import Any

from attrs import frozen

from bench.scenarios import GATEWAY, LEAST_LOAD, ROUND_ROBIN

Results = dict[str, Any]


@frozen(kw_only=True)
class Target:
    """A target and its measured value; `is_met` is None if nothing could be measured."""

    deployment: str
    name: str
    aim: str
    measured: str
    is_met: bool | None

    @property
    def verdict(self) -> str:
        """Return the verdict as text."""
        return {True: "met", False: "NOT met", None: "not measured"}[self.is_met]

    def line(self) -> str:
        """Return the target as one line of text."""
        return f"{self.deployment}: {self.name}: {self.measured} (aim {self.aim}): {self.verdict}"


MIN_PAYING_KEPT = 0.99
MAX_IDLE_SHARE = 0.02
MIN_TAIL_RATIO = 2.0
MAX_RECOMPUTED_RATIO = 0.6
MAX_MISS_S = 10.0
MAX_OVERSHOOT = 0.10
MIN_SECOND_TRIES = 0.9
REVIEW_BY_DEPLOYMENT = {"vasktoru": "contract-review", "rondinella": "draft"}

# Regression bounds. They are wider than the targets, because results vary on a loaded machine;
# results beyond them indicate a regression.
MIN_BOUND_PAYING_KEPT = 0.95
MIN_BOUND_TAIL_RATIO = 1.0
MAX_BOUND_RECOMPUTED_RATIO = 0.8


def evaluate(results: Results) -> list[Target]:
    """Return every target of every deployment whose scenario was run."""
    return [
        evaluate_one(name, each)
        for name, each in results.items()
        for part, evaluate_one in TARGET_EVALUATORS
        if part in each
    ]


def comparison_row(results: Results, policy: str, class_name: str) -> dict[str, Any]:
    """Return the row of a class in the comparison under one policy."""
    scenario = next(
        each
        for each in results["scenarios"]
        if each["name"] == "comparison" and each["policy"] == policy
    )
    return next(row for row in scenario["classes"] if row["class"] == class_name)


def paying_kept(results: Results) -> float | None:
    """Return the lowest ratio, over classes, of targets met under overload to those met alone."""
    alone = results["overload"]["paying_met_alone"]
    both = results["overload"]["paying_met_overloaded"]
    shares = [both[name]["met"] / each["met"] for name, each in alone.items() if each["met"]]
    return min(shares, default=None)


def tail_ratio(results: Results, class_name: str) -> float | None:
    """Return the ratio of round robin's p99 time to first token to the gateway's."""
    theirs = comparison_row(results, ROUND_ROBIN, class_name)["first_token_s"]["p99"]
    ours = comparison_row(results, GATEWAY, class_name)["first_token_s"]["p99"]
    return theirs / ours if theirs and ours else None


def recomputed_ratio(results: Results, class_name: str) -> float | None:
    """Return the ratio of recomputed tokens per repeated prompt, gateway to least load."""
    ours, theirs = (comparison_row(results, policy, class_name) for policy in (GATEWAY, LEAST_LOAD))
    if not ours["repeated_prompts"] or not theirs["recomputed_tokens"]:
        return None
    own = ours["recomputed_tokens"] / ours["repeated_prompts"]
    return float(own / (theirs["recomputed_tokens"] / theirs["repeated_prompts"]))


def _paying_kept(name: str, results: Results) -> Target:
    share = paying_kept(results)
    return Target(
        deployment=name,
        name="paying work at 2x overload, least class, of what the paying load alone meets",
        aim="at least 99%",
        measured=_percent(share),
        is_met=None if share is None else share >= MIN_PAYING_KEPT,
    )


def _idle(name: str, results: Results) -> Target:
    occupied = results["overload"]["occupancy"]
    idle = occupied["idle_share"]
    return Target(
        deployment=name,
        name="engine time idle at 2x overload",
        aim="none (at most 2%)",
        measured=f"{100 * idle:.1f}%, slots filled {100 * occupied['filled_slots_share']:.1f}%",
        is_met=idle <= MAX_IDLE_SHARE,
    )


def _tail(name: str, results: Results) -> Target:
    ratio = tail_ratio(results, REVIEW_BY_DEPLOYMENT[name])
    return Target(
        deployment=name,
        name=f"p99 to first token of {REVIEW_BY_DEPLOYMENT[name]} at 85%, round robin / gateway",
        aim="at least 2.0",
        measured="-" if ratio is None else f"{ratio:.2f}",
        is_met=None if ratio is None else ratio >= MIN_TAIL_RATIO,
    )


def _recomputed(name: str, results: Results) -> Target:
    ratio = recomputed_ratio(results, REVIEW_BY_DEPLOYMENT[name])
    return Target(
        deployment=name,
        name="prefill tokens recomputed a repeated prompt, beside least load",
        aim="at least 40% fewer",
        measured="-" if ratio is None else f"{100 * (1 - ratio):.0f}% fewer",
        is_met=None if ratio is None else ratio <= MAX_RECOMPUTED_RATIO,
    )


def _region_lost(name: str, results: Results) -> Target:
    misses = results["region_lost"]["longest_miss_s"]
    worst = max(misses, key=lambda each: misses[each])
    return Target(
        deployment=name,
        name="longest time that a class missed its target after a region's loss",
        aim="at most 10 s",
        measured=f"{misses[worst]:.0f} s ({worst})",
        is_met=misses[worst] <= MAX_MISS_S,
    )


def _limits(name: str, results: Results) -> Target:
    metered = results["metered"]
    overshoot = metered["even"]["once_known"]
    more = {
        "from its first second": metered["even"]["from_start"],
        "moving between regions": metered["moving"]["once_known"],
    }
    rest = ", ".join(f"{name} {_percent(each)}" for name, each in more.items())
    return Target(
        deployment=name,
        name="account limit's overshoot over 10 s, three times the limit offered in all regions",
        aim="at most 10%",
        measured=f"{_percent(overshoot)} ({rest})",
        is_met=overshoot <= MAX_OVERSHOOT,
    )


def _second_tries(name: str, results: Results) -> Target:
    tries = results["overload"]["second_tries"]
    share = tries["answered"] / tries["made"] if tries["made"] else None
    return Target(
        deployment=name,
        name="second tries answered once load is below capacity",
        aim="at least 90%",
        measured=f"{tries['answered']} of {tries['made']}",
        is_met=None if share is None else share >= MIN_SECOND_TRIES,
    )


# Evaluators with the part of the results that each needs.
TARGET_EVALUATORS = (
    ("overload", _paying_kept),
    ("overload", _idle),
    ("scenarios", _tail),
    ("scenarios", _recomputed),
    ("region_lost", _region_lost),
    ("metered", _limits),
    ("overload", _second_tries),
)


def past_bounds(results: Results) -> list[str]:
    """Return the regression bounds that the results exceed."""
    lines: list[str] = []
    for name, each in results.items():
        review = REVIEW_BY_DEPLOYMENT[name]
        kept, tail = paying_kept(each), tail_ratio(each, review)
        recomputed = recomputed_ratio(each, review)
        checks = (
            (kept is None or kept < MIN_BOUND_PAYING_KEPT, f"paying work kept {_percent(kept)}"),
            (tail is None or tail < MIN_BOUND_TAIL_RATIO, f"tail ratio {tail}"),
            (
                recomputed is None or recomputed > MAX_BOUND_RECOMPUTED_RATIO,
                f"recomputed ratio {recomputed}",
            ),
        )
        lines += [f"{name}: {text}" for is_past, text in checks if is_past]
    return lines


def _percent(share: float | None) -> str:
    return "-" if share is None else f"{100 * share:.1f}%"
