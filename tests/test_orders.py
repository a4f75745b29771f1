"""Orders to engines: fencing, engines that do not check fencing numbers, and competing owners."""

import pytest
from attrs import evolve

from harness.deployments import RONDINELLA, configuration_values
from pomelobarrow.decision.published.configuration_check import check_configuration
from pomelobarrow.decision.requests.orders import (
    COUNT_BITS,
    ORDER_LIFETIME_S,
    OrderBook,
    OrderKind,
    next_fencing,
    orders_for,
)
from pomelobarrow.decision.requests.work import BackendServer
from pomelobarrow.standin.orders import EngineOrders

CHECKING = BackendServer(
    name="e1",
    region="milan",
    failure_domain="milan-a",
    address="127.0.0.1:1",
    pool="drafting",
    slots=8,
    kv_capacity_tokens=1,
    checks_fencing=True,
)
IGNORING = evolve(CHECKING, checks_fencing=False)


def configuration(version, revision):
    values = configuration_values(RONDINELLA)
    values["models/draft-large"] = {"pool": "drafting", "version": version}
    return check_configuration(values, revision).unwrap()


def served(engine):
    taken = [
        each for each in engine.log if not each["refused"] and each["order"] == "serve_version"
    ]
    return [each["version"] for each in taken]


def deliver(sent, engine):
    return all(
        engine.record({"order": each.kind.value, "version": each.version, "fencing": sent.fencing})
        for each in sent.orders
    )


@pytest.mark.parametrize(
    ("revision", "highest_seen", "expected"),
    [
        pytest.param(3, 0, 3 << COUNT_BITS, id="new-engine"),
        pytest.param(3, (3 << COUNT_BITS) + 5, (3 << COUNT_BITS) + 6, id="same-revision"),
        pytest.param(3, 4 << COUNT_BITS, None, id="later-revision-seen"),
    ],
)
def test_fencing_number_never_exceeds_a_later_revision(revision, highest_seen, expected):
    assert next_fencing(revision, highest_seen) == expected


def test_engines_that_ignore_fencing_get_only_orders_that_are_safe_without_it():
    kinds = {order.kind for order in orders_for(IGNORING, configuration("v1", 2))}
    assert kinds == {OrderKind.LOAD_MODEL}


def test_new_owner_waits_until_older_orders_have_expired():
    book, published = OrderBook(), configuration("v1", 2)
    assert book.due([CHECKING], published, 100.0) == []
    assert book.due([CHECKING], published, 100.0 + ORDER_LIFETIME_S)


@pytest.mark.parametrize("server", [CHECKING, IGNORING], ids=["checks", "ignores"])
def test_suspended_owner_that_resumes_undoes_nothing(server):
    """Version 2 stays in service when outdated orders for version 1 arrive last.

    The first owner prepares orders for version 1 and is suspended. Another VM becomes owner, waits
    and orders version 2. The first owner resumes and its outdated orders arrive last: an engine
    that checks fencing refuses them, and others never get an order that replaces anything.
    """
    engine = EngineOrders(checks_fencing=server.checks_fencing)
    first, second = OrderBook(), OrderBook()
    first.due([server], configuration("v1", 2), 0.0)
    (late,) = first.due([server], configuration("v1", 2), ORDER_LIFETIME_S)
    second.due([server], configuration("v2", 3), ORDER_LIFETIME_S)
    (current,) = second.due([server], configuration("v2", 3), 2 * ORDER_LIFETIME_S)
    assert deliver(current, engine)
    deliver(late, engine)
    assert served(engine) in (["v2"], [])
    first.observe_highest_fencing(server.name, engine.fencing)
    first.observe_pause(3 * ORDER_LIFETIME_S)
    assert first.due([server], configuration("v1", 2), 3 * ORDER_LIFETIME_S) == []
    assert not server.checks_fencing or not first.due(
        [server], configuration("v1", 2), 9 * ORDER_LIFETIME_S
    )


def test_engine_that_restarts_under_its_name_gets_its_orders_again():
    """Guards against an engine that serves no model, as its previous process had accepted all."""
    book, published = OrderBook(), configuration("v1", 2)
    restarted = evolve(CHECKING, born_unix_ms=1_000)
    book.due([CHECKING], published, 0.0)
    (sent,) = book.due([CHECKING], published, ORDER_LIFETIME_S)
    book.observe_accepted(sent)
    assert book.due([CHECKING], published, 2 * ORDER_LIFETIME_S) == []
    assert book.due([restarted], published, 2 * ORDER_LIFETIME_S) == []
    (again,) = book.due([restarted], published, 3 * ORDER_LIFETIME_S)
    assert again.orders == sent.orders


def test_answer_of_an_engines_previous_process_says_nothing_about_the_next_one():
    """Guards against orders that count as accepted by a process that never got them."""
    book, published = OrderBook(), configuration("v1", 2)
    restarted = evolve(CHECKING, born_unix_ms=1_000)
    book.due([CHECKING], published, 0.0)
    (sent,) = book.due([CHECKING], published, ORDER_LIFETIME_S)
    book.due([restarted], published, ORDER_LIFETIME_S)
    book.observe_accepted(sent)
    assert book.due([restarted], published, 2 * ORDER_LIFETIME_S)
