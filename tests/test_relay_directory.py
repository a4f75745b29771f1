"""Clients are named VMs that may serve them, the nearest first."""

import pytest
from attrs import evolve
from relay_harness import HOST, POOL, route

from pomelobarrow.decision.member import Member, Phase
from pomelobarrow.decision.membership import MembershipView
from pomelobarrow.decision.routing import PoolShare, RouteKind, Routing
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.platform.wire import platform_wire
from pomelobarrow.relay.directory import RelayDirectory
from pomelobarrow.relay.events import DirectoryChanged
from pomelobarrow.relay.wire import DirectoryQuery

BOUND = route(RouteKind.IDEMPOTENT, home_regions=("a", "b"), pools=(PoolShare(pool=POOL),))
FREE = route(RouteKind.IDEMPOTENT)


def directory(
    phases: dict[str, Phase], *routes: object, observed: list[object] | None = None
) -> RelayDirectory:
    """Return the directory of region c's VM, with a VM in each region named."""
    view = MembershipView("vm-c", "c")
    own = evolve(view.own, caller_address="vm-c:1", phase=phases["c"].value)
    view.observe_own(own)
    for region, phase in phases.items():
        member = Member(
            vm=f"vm-{region}",
            incarnation=1,
            region=region,
            caller_address=f"vm-{region}:1",
            phase=phase.value,
            sequence=1,
        )
        view.observe_heartbeat(member, now_unix_s())
    return RelayDirectory(
        view=view,
        wire=platform_wire(),
        routing=lambda: Routing(version=1, routes=routes),  # type: ignore[arg-type]
        not_ready_reason=lambda: None,
        observe=lambda event: None if observed is None else observed.append(event),
    )


def named(by: RelayDirectory, region: str) -> list[str]:
    query = DirectoryQuery(host=HOST, region=region, failure_domain=f"{region}-1")
    return [member.vm for member in by._members(query, now_unix_s())]


def test_bound_request_is_not_led_out_of_its_homes_while_they_are_replaced() -> None:
    """All VMs of the client's region and of its homes are told to stop within seconds.

    They still serve late clients. Another region's VM, named instead, can only refuse what is
    bound to the homes, and gets its body.
    """
    stopping = {"a": Phase.LEAVING, "b": Phase.LEAVING, "c": Phase.READY}
    assert named(directory(stopping, BOUND), "a") == ["vm-a"]
    assert named(directory({**stopping, "b": Phase.READY}, BOUND), "a") == ["vm-b"]
    assert named(directory({**stopping, "a": Phase.LEFT}, BOUND), "a") == ["vm-b"]


def test_client_without_any_vm_near_or_at_home_is_led_to_the_rest() -> None:
    # The host may have routes that are bound to no region.
    gone = {"a": Phase.LEFT, "b": Phase.LEFT, "c": Phase.READY}
    assert named(directory(gone, BOUND, FREE), "a") == ["vm-c"]


def test_free_request_goes_to_any_region_that_serves() -> None:
    stopping = {"a": Phase.LEAVING, "b": Phase.LEAVING, "c": Phase.READY}
    assert named(directory(stopping, FREE), "a") == ["vm-c"]


def test_change_of_the_vms_named_is_reported_once_with_their_age() -> None:
    # On call one has to see since when callers were led to a VM, and how old what was known of it
    # was; a line for each answer would be thousands an hour.
    observed: list[object] = []
    held = directory({"a": Phase.READY, "c": Phase.READY}, FREE, observed=observed)
    query = DirectoryQuery(host=HOST, region="a", failure_domain="a-1")
    now = now_unix_s()
    held._log.note(query, held._members(query, now), now + 2.0)
    held._log.note(query, held._members(query, now), now + 3.0)
    assert [type(event) for event in observed] == [DirectoryChanged]
    [change] = observed
    assert isinstance(change, DirectoryChanged)
    assert change.named == {"vm-a": pytest.approx(2.0, abs=0.1)}
    assert change.left_out == {}
    held.view.observe_leave("vm-a", 1, "", now)
    held._log.note(query, held._members(query, now), now + 4.0)
    assert isinstance(observed[1], DirectoryChanged)
    assert observed[1].named == {"vm-c": 0.0}
    assert observed[1].left_out == {"vm-a": pytest.approx(4.0, abs=0.1)}


def test_bound_request_is_led_to_a_home_that_is_only_heard_of() -> None:
    # Home's VMs were heard of seven seconds ago, as a VM that isn't a relay hears of them. Led to
    # this region instead, the request would leave its homes with its body and be refused.
    held = directory({"c": Phase.READY}, BOUND)
    now = now_unix_s()
    told = Member(vm="vm-b", incarnation=1, region="b", last_seen_unix_s=now - 7.0)
    held.view.observe_summary(told, now)
    assert named(held, "a") == ["vm-b"]
    assert named(held, "c") == ["vm-c"]
