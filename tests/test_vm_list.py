"""Expired leases and cold starts are timed from when this VM receives them."""

from typing import Any

import pytest

from pomelobarrow.decision.published.keyspace import Change
from pomelobarrow.published.events import ItemUnreadable
from pomelobarrow.published.keyspaces import VMS, PublishedState
from pomelobarrow.published.vms import LEASE_GRACE_S, REVIVED_HOLD_S, VmList

VALUE: dict[str, Any] = {
    "role": "backend_server",
    "region": "a",
    "failure_domain": "a1",
    "state": "ready",
    "address": "10.0.0.1:1",
    "pool": "p",
    "slots": 8,
    "leased": True,
}


def test_server_with_expired_lease_stays_for_grace_period() -> None:
    """The servers' leases expire in the store during an outage, although the servers run.

    After the outage the list is empty until they register again. If they were removed at once,
    every request would be refused until then.
    """
    vms = VmList()
    vms.update({"vms/s1": VALUE}, 100.0)
    vms.update({}, 101.0)
    assert vms.servers["s1"].is_lease_expired
    assert not vms.remove_expired(101.0 + LEASE_GRACE_S / 2)
    assert vms.remove_expired(101.0 + LEASE_GRACE_S)
    assert vms.servers == {}


def pool_of(*names: str) -> dict[str, Any]:
    return {f"vms/{name}": dict(VALUE) for name in names}


def test_server_that_is_removed_from_a_store_that_is_up_is_not_kept() -> None:
    """A VM that learned of the removal two seconds late sent it requests until it exited."""
    vms = VmList()
    vms.update(pool_of("s1", "s2", "s3"), 100.0)
    vms.update(pool_of("s2", "s3"), 101.0)
    assert vms.servers.keys() == {"s2", "s3"}


def test_server_that_is_removed_after_an_outage_stays_for_grace_period() -> None:
    vms = VmList()
    vms.update(pool_of("s1", "s2", "s3"), 100.0)
    vms.note_outage(110.0)
    vms.update(pool_of("s2", "s3"), 110.0 + LEASE_GRACE_S)
    assert vms.servers["s1"].is_lease_expired
    vms.update(pool_of("s3"), 110.1 + LEASE_GRACE_S)
    assert vms.servers.keys() == {"s1", "s3"}


def test_pool_that_loses_most_of_its_servers_at_a_time_keeps_them() -> None:
    """A VM that doesn't read the store can't see that it was down."""
    vms = VmList()
    others = {"vms/o1": {**VALUE, "pool": "other"}, "vms/o2": {**VALUE, "pool": "other"}}
    vms.update(pool_of("s1", "s2", "s3") | others, 100.0)
    vms.update(pool_of("s3") | others, 101.0)
    assert vms.servers.keys() == {"s1", "s2", "s3", "o1", "o2"}


def test_server_that_registers_again_is_listed_without_expiry() -> None:
    vms = VmList()
    vms.update({"vms/s1": VALUE}, 100.0)
    vms.update({}, 101.0)
    vms.update({"vms/s1": dict(VALUE)}, 102.0)
    assert not vms.servers["s1"].is_lease_expired
    assert not vms.remove_expired(200.0)


def test_leaving_server_is_removed_without_grace_period() -> None:
    vms = VmList()
    vms.update({"vms/s1": {**VALUE, "state": "leaving"}}, 100.0)
    vms.update({}, 101.0)
    assert vms.servers == {}


def test_cold_time_counts_from_first_receipt_only() -> None:
    vms = VmList()
    values = {"vms/s1": {**VALUE, "cold_left_s": 3.0}}
    vms.update(values, 100.0)
    vms.update({**values, "vms/s2": VALUE}, 102.0)
    assert vms.servers["s1"].cold_until_unix_s == 103.0
    assert vms.servers["s2"].cold_until_unix_s == 0.0


def test_server_that_had_gone_is_left_out_while_an_older_copy_lists_it() -> None:
    """The store came back from a copy that is older than the removal of a server's entry."""
    vms = VmList()
    vms.update({"vms/s1": VALUE, "vms/s2": VALUE}, 1.0, era=1)
    vms.update({"vms/s2": VALUE}, 10.0, era=1)
    vms.remove_expired(10.0 + LEASE_GRACE_S)
    vms.update({"vms/s1": dict(VALUE), "vms/s2": VALUE}, 20.0, era=2)
    assert set(vms.servers) == {"s2"}
    assert vms.next_expiry_unix_s == 20.0 + REVIVED_HOLD_S
    vms.update({"vms/s2": VALUE}, 23.0, era=2)
    assert set(vms.servers) == {"s2"}


@pytest.mark.parametrize("how", ["still listed", "written again"])
def test_server_that_an_older_copy_brought_back_and_that_runs_is_used_again(how: str) -> None:
    vms = VmList()
    vms.update({"vms/s1": VALUE}, 1.0, era=1)
    vms.update({}, 10.0, era=1)
    vms.remove_expired(10.0 + LEASE_GRACE_S)
    vms.update({"vms/s1": dict(VALUE)}, 20.0, era=2)
    assert not vms.servers
    if how == "still listed":
        assert vms.remove_expired(20.0 + REVIVED_HOLD_S)
    else:
        vms.update({"vms/s1": VALUE | {"cold_left_s": 2.0}}, 21.0, era=2)
    assert set(vms.servers) == {"s1"}


def test_server_that_registers_again_without_a_return_is_used_at_once() -> None:
    vms = VmList()
    vms.update({"vms/s1": VALUE}, 1.0, era=1)
    vms.update({}, 10.0, era=1)
    vms.remove_expired(10.0 + LEASE_GRACE_S)
    vms.update({"vms/s1": dict(VALUE)}, 20.0, era=1)
    assert set(vms.servers) == {"s1"}


def test_server_that_an_older_copy_lacks_is_kept_for_two_seconds() -> None:
    vms = VmList()
    vms.update({"vms/s1": VALUE}, 1.0, era=1)
    vms.update({}, 10.0, era=2)
    assert vms.servers["s1"].is_lease_expired
    assert not vms.remove_expired(11.9)
    assert vms.remove_expired(12.0)


def test_leaving_server_that_an_older_copy_lists_as_ready_still_leaves() -> None:
    """The list stated that the server leaves, and the store came back from before that."""
    vms = VmList()
    vms.update({"vms/s1": VALUE}, 1.0, era=1)
    vms.update({"vms/s1": VALUE | {"state": "leaving"}}, 5.0, era=1)
    vms.update({"vms/s1": dict(VALUE)}, 8.0, era=2)
    assert vms.servers["s1"].leaving
    vms.update({"vms/s1": VALUE | {"born_unix_ms": 9}}, 9.0, era=2)
    assert not vms.servers["s1"].leaving


def test_cold_time_in_an_older_copy_does_not_count_again() -> None:
    cold = VALUE | {"cold_left_s": 8.0}
    vms = VmList()
    vms.update({"vms/s1": cold}, 1.0, era=1)
    vms.update({"vms/s1": dict(cold)}, 8.0, era=2)
    assert vms.servers["s1"].cold_until_unix_s == 9.0
    vms.update({"vms/s1": dict(cold)}, 20.0, era=2)
    assert vms.servers["s1"].cold_until_unix_s == 28.0


FOREIGN = [
    *(
        {**VALUE, name: value}
        for name in VALUE
        if name != "leased"
        for value in (None, 7.5, [], {})
    ),
    *({key: each for key, each in VALUE.items() if key != name} for name in ("address", "slots")),
    {**VALUE, "slots": 0},
    {**VALUE, "slots": 1e300},
    {**VALUE, "cold_left_s": "soon"},
    {**VALUE, "cold_left_s": 1e300},
    {**VALUE, "born_unix_ms": 2.0**70},
    {**VALUE, "kv_capacity_tokens": -1},
    {**VALUE, "role": "printer"},
    {"role": "entry"},
    "no object",
    7,
]


@pytest.mark.parametrize("value", FOREIGN, ids=repr)
def test_unusable_entry_of_a_list_without_translation_hides_no_other_entry(value: Any) -> None:
    """Guards against a list that one entry of another writer freezes."""
    events: list[object] = []
    published = PublishedState(observe=events.append)
    changes = [Change(1, "vms/other", value), Change(2, "vms/s1", VALUE)]
    published.apply(VMS, changes, 2, after_revision=0, source="store")
    published.apply(VMS, [Change(3, "vms/s2", VALUE)], 3, after_revision=2, source="store")
    assert set(published.backend_servers) == {"s1", "s2"}
    assert [each.key for each in events if isinstance(each, ItemUnreadable)] == ["vms/other"]
