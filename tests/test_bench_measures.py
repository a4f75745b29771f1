"""Tests of the figures that the bench computes."""

from typing import Any

import pytest

from bench import measures
from bench.measures import EngineRun, Observed
from bench.sending import Answer, Record
from bench.traffic import VASKTORU_TRAFFIC, Arrival
from pomelobarrow.standin.load_results import Outcome


def arrival(at_s: float = 0.0, rank: str = "paying", document: int = 0) -> Arrival:
    """Return one review in Tallinn."""
    return Arrival(
        at_s=at_s,
        class_name="contract-review",
        rank=rank,
        region="tallinn",
        document=document,
        marker=f"{rank}/{at_s}/{document}",
    )


def record(at_s: float, first_token_s: float | None, *more: Answer) -> Record:
    """Return a request that was answered with this time to first token, or refused if None."""
    outcome = Outcome.REFUSED if first_token_s is None else Outcome.ANSWERED
    first = Answer(
        outcome=outcome, kind="", sent_s=at_s, first_token_s=first_token_s, end_s=first_token_s
    )
    return Record(arrival=arrival(at_s), tries=[first, *more])


def run(started_s: float, finished_s: float, **changes: Any) -> EngineRun:
    """Return one run on an engine in Tallinn."""
    rank, document = changes.pop("rank", "paying"), changes.pop("document", 0)
    at_s = changes.pop("at_s", started_s)
    values: dict[str, Any] = {
        "arrival": arrival(at_s, rank, document),
        "server": "contracts-tallinn-1",
        "region": "tallinn",
        "state": "finished",
        "started_s": started_s,
        "finished_s": finished_s,
        "prompt_tokens": 3_900,
        "cached_tokens": 0,
        "output_tokens": 40,
    }
    return EngineRun(**{**values, **changes})


def observed(runs: list[EngineRun]) -> Observed:
    """Return a scenario with these runs."""
    return Observed(
        traffic=VASKTORU_TRAFFIC,
        name="test",
        policy="gateway",
        duration_s=10.0,
        records=[],
        runs=runs,
    )


@pytest.mark.parametrize(("percent", "expected"), [(50, 50.0), (95, 95.0), (99, 99.0)])
def test_percentiles_are_of_the_nearest_rank(percent: int, expected: float) -> None:
    assert measures.percentile([float(n) for n in range(1, 101)], percent) == expected


def test_no_values_have_no_percentile() -> None:
    assert measures.percentile([], 99) is None


def test_answered_second_try_does_not_meet_the_target() -> None:
    answered = Answer(outcome=Outcome.ANSWERED, kind="", sent_s=1.0, first_token_s=0.1, end_s=0.1)
    assert not measures.met_target(VASKTORU_TRAFFIC, record(0.0, None, answered))


def test_first_prompt_of_a_document_is_not_repeated() -> None:
    first, again, other = run(0.0, 1.0), run(2.0, 3.0), run(4.0, 5.0, document=1)
    assert measures.repeated_runs([again, first, other]) == {again.arrival.marker}


def test_recomputed_tokens_exclude_the_question() -> None:
    each = VASKTORU_TRAFFIC.class_named("contract-review")
    assert measures.recomputed_tokens(each, run(0.0, 1.0, cached_tokens=3_840)) == 0
    assert measures.recomputed_tokens(each, run(0.0, 1.0, cached_tokens=1_280)) == 2_560


def test_paying_work_waiting_while_trial_work_starts_is_counted() -> None:
    waited = run(2.0, 3.0, at_s=1.0)
    trial = run(1.5, 1.9, rank="trial")
    assert measures.paying_waits(observed([waited, trial])) == {
        "paying": 1,
        "waited": 1,
        "waited_while_trial_ran": 1,
        "trial_began_first": 1,
    }


def test_paying_work_started_immediately_did_not_wait() -> None:
    counts = measures.paying_waits(observed([run(1.05, 2.0, at_s=1.0), run(0, 9, rank="trial")]))
    assert counts["waited"] == 0
    assert counts["waited_while_trial_ran"] == 0


def test_idle_time_counts_overlapping_runs_once() -> None:
    runs = [run(0.0, 4.0), run(2.0, 5.0), run(8.0, 12.0)]
    shares = measures.occupancy(observed(runs), ["contracts-tallinn-1"], 0.0, 10.0)
    assert shares["idle_share"] == pytest.approx(0.3)
    assert shares["filled_slots_share"] == pytest.approx(9.0 / 40.0)


def test_longest_miss_spans_seconds_without_requests() -> None:
    records = [record(0.5, 0.1), record(1.5, None), record(3.5, 9.0), record(4.5, 0.1)]
    assert measures.longest_miss_s(VASKTORU_TRAFFIC, records, 0.0, 10.0) == 3.0


def test_second_tries_before_the_given_time_are_not_counted() -> None:
    early = Answer(outcome=Outcome.REFUSED, kind="", sent_s=1.0)
    late = Answer(outcome=Outcome.ANSWERED, kind="", sent_s=6.0, first_token_s=0.1, end_s=0.2)
    records = [record(0.0, None, early), record(0.0, None, late), record(0.0, 0.1)]
    assert measures.second_tries(records, 5.0) == {"made": 1, "answered": 1}


def test_most_in_window_uses_a_sliding_window() -> None:
    assert measures.most_in_window([0.0, 1.0, 2.0, 9.0, 10.5, 11.0], 3.0) == 3
