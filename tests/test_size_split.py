"""A pool's servers are split between long and short prompts."""

from hypothesis import given
from hypothesis import strategies as st

from pomelobarrow.decision.size_split import long_prompt_servers, wrong_side_cost_s
from pomelobarrow.decision.work import BackendServer


def servers(count: int) -> list[BackendServer]:
    return [
        BackendServer(
            name=f"s{number}",
            region="a",
            failure_domain="a1",
            address="10.0.0.1:1",
            pool="p",
            slots=8,
            kv_capacity_tokens=1,
        )
        for number in range(count)
    ]


@given(count=st.integers(2, 40), share=st.floats(0.0, 4.0))
def test_either_side_keeps_a_server(count: int, share: float) -> None:
    assert 1 <= len(long_prompt_servers("p", servers(count), share, True)) <= count - 1


def test_more_reading_takes_more_servers_and_keeps_the_first_ones() -> None:
    few = long_prompt_servers("p", servers(10), 0.05, True)
    more = long_prompt_servers("p", servers(10), 0.2, True)
    assert (len(few), len(more)) == (2, 5)
    assert few < more


def test_pool_without_short_prompts_or_a_second_server_is_not_split() -> None:
    assert len(long_prompt_servers("p", servers(3), 0.1, False)) == 3
    assert len(long_prompt_servers("p", servers(1), 0.1, True)) == 1


def test_order_of_the_list_does_not_matter() -> None:
    listed = servers(6)
    forward = long_prompt_servers("p", listed, 0.1, True)
    assert long_prompt_servers("p", listed[::-1], 0.1, True) == forward


def test_only_the_wrong_side_of_a_split_pool_costs() -> None:
    assert wrong_side_cost_s(is_long=True, is_for_long=True, is_split=True) == 0.0
    assert wrong_side_cost_s(is_long=True, is_for_long=False, is_split=True) > 0.0
    assert wrong_side_cost_s(is_long=False, is_for_long=True, is_split=True) > 0.0
    assert wrong_side_cost_s(is_long=False, is_for_long=True, is_split=False) == 0.0
