"""Lapsed leases and cold starts count from when a VM sees them."""

from typing import Any

from pomelobarrow.published.vms import LEASE_GRACE_S, VmList

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


def test_server_whose_lease_lapsed_stays_for_a_while() -> None:
    """The store is away; the servers' leases lapse there although they live.

    On its return the list is empty until they register again. Taken as gone at once, every request
    would be refused until then.
    """
    vms = VmList()
    vms.update({"vms/s1": VALUE}, 100.0)
    vms.update({}, 101.0)
    assert vms.servers["s1"].is_lease_expired
    assert not vms.remove_expired(101.0 + LEASE_GRACE_S / 2)
    assert vms.remove_expired(101.0 + LEASE_GRACE_S)
    assert vms.servers == {}


def test_server_that_registers_again_is_as_before() -> None:
    vms = VmList()
    vms.update({"vms/s1": VALUE}, 100.0)
    vms.update({}, 101.0)
    vms.update({"vms/s1": dict(VALUE)}, 102.0)
    assert not vms.servers["s1"].is_lease_expired
    assert not vms.remove_expired(200.0)


def test_leaving_server_that_is_gone_is_gone() -> None:
    vms = VmList()
    vms.update({"vms/s1": {**VALUE, "state": "leaving"}}, 100.0)
    vms.update({}, 101.0)
    assert vms.servers == {}


def test_time_to_be_cold_counts_from_its_first_sight_only() -> None:
    vms = VmList()
    values = {"vms/s1": {**VALUE, "cold_left_s": 3.0}}
    vms.update(values, 100.0)
    vms.update({**values, "vms/s2": VALUE}, 102.0)
    assert vms.servers["s1"].cold_until_unix_s == 103.0
    assert vms.servers["s2"].cold_until_unix_s == 0.0
