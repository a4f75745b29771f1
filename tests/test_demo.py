"""The demo's table, its check of answers, its plans and its texts."""

import pytest

from demo import texts
from demo.calls import Reply
from demo.plans import PLANS, ChatPlan
from demo.table import WIDTHS, Table
from harness.deployments import DEPLOYMENTS

KILOBYTE = 1000


def test_table_without_rows_is_not_held() -> None:
    assert not Table().is_held


def test_one_failed_row_fails_the_table() -> None:
    table = Table()
    table.add("entries", "six", "six", True)
    table.add("draft", "whole", "broken off", False)
    assert not table.is_held
    assert [row.step for row in table.failed] == ["draft"]
    assert "FAILED" in table.render()


def test_long_cells_wrap_inside_their_columns() -> None:
    table = Table()
    table.add("step", "a promise of several words " * 6, "seen", True)
    widest = sum(WIDTHS) + 2 * (len(WIDTHS) - 1)
    assert all(len(line) <= widest for line in table.render().splitlines())
    assert table.render().count("several words") == 6


@pytest.mark.parametrize(
    ("reply", "is_whole"),
    [
        (Reply(status=200, text="ab", expected="ab", is_ended=True), True),
        (Reply(status=200, text="ab", expected="ab"), False),
        (Reply(status=200, text="a", expected="ab", is_ended=True), False),
        (Reply(status=503, text="ab", expected="ab", is_ended=True), False),
    ],
    ids=["whole", "no end event", "cut short", "refused"],
)
def test_only_the_right_answer_with_its_end_is_whole(reply: Reply, is_whole: bool) -> None:
    assert reply.is_whole is is_whole


def test_refusal_is_described_with_run_and_retry() -> None:
    problem = {"kind": "home_unreachable", "run": "no"}
    reply = Reply(status=503, problem=problem, retry_after="2")
    assert reply.describe() == "503 home_unreachable, run no, Retry-After 2 s"


@pytest.mark.parametrize("name", sorted(PLANS))
def test_plan_sends_each_class_of_its_deployment(name: str) -> None:
    plan, deployment = PLANS[name], DEPLOYMENTS[name]
    sent = {each.class_name: each for each in (*plan.chats, *plan.services)}
    assert sent.keys() == deployment.classes.keys()
    for class_name, each in sent.items():
        assert each.takes_issued_id is not deployment.classes[class_name].get("repeatable", True)


@pytest.mark.parametrize("name", sorted(PLANS))
def test_large_job_is_home_bound_and_several_kilobytes(name: str) -> None:
    plan: ChatPlan = PLANS[name].home_bound
    assert DEPLOYMENTS[name].classes[plan.class_name]["home_bound"]
    assert len(plan.text.encode()) > 4 * KILOBYTE


def test_texts_name_what_the_users_send() -> None:
    assert "content-hash" in texts.LOCKFILE_AND_HISTORY
    assert "git log" in texts.LOCKFILE_AND_HISTORY
    assert "ASSAY" in texts.OFFTAKE_CONTRACT
    assert "WAREHOUSE" in texts.OFFTAKE_CONTRACT
