"""Expired leases and cold starts are timed from when this VM receives them."""

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
