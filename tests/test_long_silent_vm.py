"""A VM that lost its power is no longer named to callers, whatever is said of it."""

from attrs import evolve
from relay_harness import HOST, route

from pomelobarrow.decision.member import Member, Phase
from pomelobarrow.decision.membership import MembershipView
from pomelobarrow.decision.routing import RouteKind, Routing
from pomelobarrow.platform.wire import platform_wire
from pomelobarrow.relay.directory import RelayDirectory
from pomelobarrow.relay.wire import DirectoryQuery

REGION = "tallinn"
DOMAIN = "tln-hall-a"
LOST = "vm-1"
# Callers may be led to a VM for this long after it lost its power, as the platform's pages say of
# VMs whose silence lasts.
NAMED_AT_MOST_S = 8.0
POWER_LOST_UNIX_S = 1_000.0


def ready(vm: str, sequence: int = 1, last_seen_unix_s: float = 0.0) -> Member:
    return Member(
        vm=vm,
        incarnation=1,
        region=REGION,
        failure_domain=DOMAIN,
        caller_address=f"{vm}:1",
        sequence=sequence,
        last_seen_unix_s=last_seen_unix_s,
    )


def view_after_heartbeats(count: int, gap_before_last_s: float = 1.0) -> MembershipView:
    """Return the view of vm-2, with vm-1's heartbeats of a second each until its power is lost."""
    view = MembershipView("vm-2", REGION)
    view.observe_own(evolve(ready("vm-2"), phase=Phase.READY.value))
    last_unix_s = POWER_LOST_UNIX_S - 0.7
    for number in range(count - 1):
        last_seen_unix_s = last_unix_s - gap_before_last_s - (count - 2 - number)
        view.observe_heartbeat(ready(LOST, sequence=number + 1), last_seen_unix_s)
    view.observe_heartbeat(ready(LOST, sequence=count), last_unix_s)
    return view


def named(view: MembershipView, now_unix_s: float) -> list[str]:
    directory = RelayDirectory(
        view=view,
        wire=platform_wire(),
        routing=lambda: Routing(version=1, routes=(route(RouteKind.IDEMPOTENT),)),
        not_ready_reason=lambda: None,
        observe=lambda event: None,
    )
    query = DirectoryQuery(host=HOST, region=REGION, failure_domain=DOMAIN)
    return [member.vm for member in directory._members(query, now_unix_s)]


def test_word_of_a_last_heartbeat_does_not_bring_a_silent_vm_back() -> None:
    """A VM lost its power and callers were led to it for fifteen seconds more.

    Its neighbour had judged it silent in time: "member silent", heard_age_s 3.4, allowed_silence_s
    3.0. As it had been a relay, others now opened links to the neighbour, and a link begins with
    all that the other end knows. One had heard the last heartbeat half a second later than the
    neighbour itself: "member heard", told_by a VM of another region, heard_age_s 3.8,
    allowed_silence_s 15.0. The word was newer by that half second, so that it replaced the pace
    that had been learned by the time allowed to VMs of which only others speak.
    """
    view = view_after_heartbeats(20)
    silent_unix_s = POWER_LOST_UNIX_S + 3.2
    assert named(view, silent_unix_s) == ["vm-2"]
    last_heard = ready(LOST, last_seen_unix_s=POWER_LOST_UNIX_S - 0.2)

    view.observe_summary(last_heard, silent_unix_s + 0.5)
    view.observe_last_seen(LOST, 1, POWER_LOST_UNIX_S - 0.1, silent_unix_s + 0.6)

    assert LOST in view.suspects(silent_unix_s + 1.0)
    assert named(view, silent_unix_s + 1.0) == ["vm-2"]
    assert named(view, POWER_LOST_UNIX_S + NAMED_AT_MOST_S) == ["vm-2"]


def test_vm_whose_pace_is_not_known_is_not_named_for_long() -> None:
    """A VM started again, lost its power 2.4 s later and was named for 14 s more.

    Its neighbour had heard it directly, but fewer than four times: "member silent", told_by empty,
    heard_age_s 15.4, allowed_silence_s 15.0. A link that was broken for ten seconds stretches the
    pace that is learned in the same way (allowed_silence_s 13.3), and a pause of the neighbour's
    own begins the count anew. However long a VM may be hoped to live, callers aren't led to one
    that nobody has heard for seconds.
    """
    started_again = view_after_heartbeats(3)

    link_was_broken = view_after_heartbeats(20, gap_before_last_s=10.0)
    stood_still = view_after_heartbeats(20)
    stood_still.observe_pause(POWER_LOST_UNIX_S + 1.0, 1.6)
    stood_still.observe_pause(POWER_LOST_UNIX_S + 3.0, 1.6)
    stood_still.observe_pause(POWER_LOST_UNIX_S + 5.0, 1.6)

    for view in (started_again, link_was_broken, stood_still):
        assert named(view, POWER_LOST_UNIX_S + 1.0) == [LOST, "vm-2"]
        assert named(view, POWER_LOST_UNIX_S + NAMED_AT_MOST_S) == ["vm-2"]
