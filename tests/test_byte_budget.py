from pomelobarrow.decision.common.byte_budget import ByteBudget


def test_connection_leaves_room_for_the_others() -> None:
    budget = ByteBudget(limit_bytes=10, connection_limit_bytes=8)
    assert budget.try_hold("a1", "a", 5)
    assert not budget.try_hold("a2", "a", 4)
    assert budget.try_hold("b1", "b", 5)
    assert not budget.try_hold("b2", "b", 1)
    assert budget.held_bytes == 10


def test_what_is_given_back_can_be_held_again() -> None:
    budget = ByteBudget(limit_bytes=10, connection_limit_bytes=10)
    assert budget.try_hold("a1", "a", 10)
    assert not budget.try_hold("b1", "b", 1)
    assert budget.give_back("a1")
    assert not budget.give_back("a1")
    assert budget.try_hold("b1", "b", 1)


def test_reader_replaces_what_it_held_before() -> None:
    budget = ByteBudget(limit_bytes=10, connection_limit_bytes=10)
    assert budget.try_hold("a1", "a", 8)
    assert budget.try_hold("a1", "a", 9)
    assert budget.held_bytes == 9
