import hashlib
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pomelobarrow.decision.configuration import Objective, PoolKind, Rank
from pomelobarrow.decision.configuration_check import (
    ConfigurationChecker,
    Fault,
    check_configuration,
)

REVISION = 7
TOKEN_SHA256 = hashlib.sha256(b"till-token").hexdigest()
DRAFT = {"pool": "drafting", "first_token_target_s": 20, "finish_target_s": 600}
ACCOUNT = {"token_sha256": [TOKEN_SHA256], "max_requests_per_s": 5, "max_requests_in_flight": 10}

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)
FIELD_NAMES = st.sampled_from(
    ["pool", "rank", "kind", "service", "token_sha256", "finish_target_s", "home_bound", "x"]
)
KEYS = st.sampled_from(
    ["deployment", "classes/draft", "classes/", "models/m", "accounts/shop", "pools/drafting", "x"]
) | st.text(max_size=12)


def published(**changes: Any) -> dict[str, Any]:
    values = {
        "deployment": {"objective": "tail_latency"},
        "pools/drafting": {"kind": "engine"},
        "pools/hooks": {"kind": "service", "service": "webhooks"},
        "classes/draft": DRAFT,
        "classes/ping": {**DRAFT, "pool": "hooks", "repeatable": False, "rank": "trial"},
        "models/drafter": {"pool": "drafting"},
        "accounts/shop-17": ACCOUNT,
    }
    return {**values, **{key.replace("__", "/"): value for key, value in changes.items()}}


def faults_of(values: Any) -> tuple[Fault, ...]:
    return check_configuration(values, REVISION).unwrap_err()


def test_valid_values_give_a_configuration() -> None:
    configuration = check_configuration(published(), REVISION).unwrap()
    assert configuration.revision == REVISION
    assert configuration.objective is Objective.TAIL_LATENCY
    assert configuration.pools["hooks"].kind is PoolKind.SERVICE
    assert configuration.classes["ping"].rank is Rank.TRIAL
    assert not configuration.classes["ping"].repeatable
    assert configuration.account_by_token_sha256[TOKEN_SHA256].name == "shop-17"


def test_home_bound_class_has_no_share_outside_home() -> None:
    values = published(classes__draft={**DRAFT, "home_bound": True})
    assert (
        check_configuration(values, REVISION).unwrap().classes["draft"].max_share_outside_home == 0
    )


@pytest.mark.parametrize("values", [{}, {"deployment": {"objective": "cost"}}], ids=str)
def test_missing_sections_are_faults(values: dict[str, Any]) -> None:
    assert {"pools", "classes", "accounts"} <= {fault.path for fault in faults_of(values)}


@pytest.mark.parametrize(
    ("changes", "path", "seen"),
    [
        ({"colours__red": {}}, "'colours/red'", "an unknown key"),
        ({"classes__": DRAFT}, "'classes/'", "the name ''"),
        ({"classes__draft": 3}, "classes/draft", "a whole number"),
        ({"classes__draft": None}, "classes/draft", "null"),
        ({"classes__draft": {**DRAFT, "weight": 2}}, "classes/draft.weight", "an unknown field"),
        ({"classes__draft": {"pool": "drafting"}}, "classes/draft.finish_target_s", "nothing"),
        ({"classes__draft": {**DRAFT, "rank": "gold"}}, "classes/draft.rank", "'gold'"),
        ({"classes__draft": {**DRAFT, "home_bound": 1}}, "classes/draft.home_bound", "1"),
        (
            {"classes__draft": {**DRAFT, "max_share_outside_home": 1.5}},
            "classes/draft.max_share_outside_home",
            "1.5",
        ),
        (
            {"classes__draft": {**DRAFT, "home_bound": True, "max_share_outside_home": 0.2}},
            "classes/draft.max_share_outside_home",
            "0.2",
        ),
        (
            {"classes__draft": {**DRAFT, "finish_target_s": float("nan")}},
            "classes/draft.finish_target_s",
            "nan",
        ),
        ({"classes__draft": {**DRAFT, "finish_target_s": 3}}, "classes/draft.finish_target_s", "3"),
        ({"classes__draft": {**DRAFT, "pool": "draftng"}}, "classes/draft.pool", "'draftng'"),
        ({"models__drafter": {"pool": "hooks"}}, "models/drafter.pool", "'hooks', a pool of kind"),
        ({"models__drafter": {"pool": "none"}}, "models/drafter.pool", "'none'"),
        ({"pools__drafting": {"kind": "service"}}, "pools/drafting.service", "null"),
        ({"pools__x": {"kind": "engine", "service": "y"}}, "pools/x.service", "'y'"),
        ({"pools__x": {"kind": "service", "service": "webhooks"}}, "pools/x.service", "'webhooks'"),
        (
            {"accounts__shop-18": ACCOUNT},
            "accounts/shop-18.token_sha256[0]",
            "the same hash as accounts/shop-17.token_sha256[0]",
        ),
        (
            {"accounts__shop-17": {**ACCOUNT, "max_requests_in_flight": 0}},
            "accounts/shop-17.max_requests_in_flight",
            "0",
        ),
        ({"deployment": {"objective": "speed"}}, "deployment.objective", "'speed'"),
    ],
    ids=lambda value: value if isinstance(value, str) else "",
)
def test_each_fault_is_named(changes: dict[str, Any], path: str, seen: str) -> None:
    found = {fault.path: fault for fault in faults_of(published(**changes))}
    assert seen in found[path].seen
    assert found[path].remedy in str(found[path])


def test_all_faults_are_named_at_once() -> None:
    bad_class = {"pool": "nowhere", "rank": "gold", "weight": 1}
    values = published(classes__draft=bad_class, pools__hooks={"kind": "shed"})
    expected = {
        "classes/draft.pool",
        "classes/draft.rank",
        "classes/draft.weight",
        "classes/draft.first_token_target_s",
        "classes/draft.finish_target_s",
        "pools/hooks.kind",
    }
    assert expected == {fault.path for fault in faults_of(values)}


def test_token_pasted_in_place_of_its_hash_is_not_shown() -> None:
    values = published(
        accounts__shop={**ACCOUNT, "token_sha256": "till-token", "tokn": "till-token"}
    )
    assert "till-token" not in "".join(map(str, faults_of(values)))


def test_checker_reads_only_changed_values_again() -> None:
    # What the caller sees: nothing; a change of one account must not cost a reading of all.
    checker = ConfigurationChecker()
    values = published()
    before = checker.check(values, 1).unwrap()
    after = checker.check({**values, "classes/draft": {**DRAFT, "rank": "trial"}}, 2).unwrap()
    assert after.classes["ping"] is before.classes["ping"]
    assert after.classes["draft"].rank is Rank.TRIAL
    assert before.classes["draft"].rank is Rank.PAYING


def test_checker_recovers_after_faults() -> None:
    checker = ConfigurationChecker()
    values = published()
    assert checker.check({**values, "pools/drafting": {"kind": True}}, 1).is_err()
    assert checker.check(values, 2).unwrap() == check_configuration(values, 2).unwrap()


@given(values=st.dictionaries(KEYS, JSON | st.dictionaries(FIELD_NAMES, JSON)))
def test_any_values_give_a_configuration_or_named_faults(values: dict[str, Any]) -> None:
    checked = check_configuration(values, REVISION)
    assert checked.is_ok() or all(fault.path and fault.remedy for fault in checked.unwrap_err())


@given(steps=st.lists(st.tuples(KEYS, st.dictionaries(FIELD_NAMES, JSON)), max_size=6))
def test_incremental_check_agrees_with_a_check_from_nothing(
    steps: list[tuple[str, dict[str, Any]]],
) -> None:
    checker = ConfigurationChecker()
    values = published()
    for key, value in steps:
        values = {**values, key: value}
        assert checker.check(values, REVISION) == check_configuration(values, REVISION)
