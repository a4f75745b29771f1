"""Where a relayed request goes: to a server here, to a peer elsewhere, or nowhere."""

import pytest
from attrs import evolve
from relay_harness import POOL, route

from pomelobarrow.decision.cold_start import ColdLimiter
from pomelobarrow.decision.configuration import Rank
from pomelobarrow.decision.connect_backoff import FIRST_BACKOFF_S
from pomelobarrow.decision.live_members import LiveMembers
from pomelobarrow.decision.load_table import LoadTable
from pomelobarrow.decision.member import Member
from pomelobarrow.decision.membership import MembershipView
from pomelobarrow.decision.placement import Placer
from pomelobarrow.decision.placement_request import (
    ALL_SERVERS_LATE,
    BOUND_TO_OTHER_REGIONS,
    COORDINATED_BY_PEER,
    LOCAL_REGION_LATE,
    NO_LOCAL_SERVER,
    WARM_ELSEWHERE,
    ExcludedTargets,
    LocalPlacement,
    NoPlacement,
    PeerPlacement,
)
from pomelobarrow.decision.region_choice import RegionLoad
from pomelobarrow.decision.routing import RelayPool, Route, RouteKind, Routing
from pomelobarrow.decision.work import BackendServer, Work
from pomelobarrow.relay.messages import PromptPart, RelayRequest, RequestHead

NOW = 1_000.0
STREAM = route(RouteKind.STREAM, is_resumable=True, max_attempts=2)
ROUTING = Routing(pools=(RelayPool(name=POOL, cold_requests_per_s=10.0),))


def server(name: str, region: str, **more: object) -> BackendServer:
    fields: dict[str, object] = {
        "name": name,
        "region": region,
        "failure_domain": f"{region}-1",
        "address": "10.0.0.1:1",
        "pool": POOL,
        "slots": 8,
        "kv_capacity_tokens": 400_000,
    }
    return BackendServer(**{**fields, **more})  # type: ignore[arg-type]


def placer(*servers: BackendServer, waits_s: dict[str, float] | None = None) -> Placer:
    """Return what places for region a, with peers in b and c as far as their waits are given."""
    waits_s = {"b": 0.0, "c": 0.0} if waits_s is None else waits_s
    view = MembershipView("vm-a", "a")
    for region in waits_s:
        view.observe_heartbeat(
            Member(vm=f"vm-{region}", incarnation=1, region=region, sequence=1), NOW
        )
    table = LoadTable("a")
    table.set_servers(servers)
    loads = {
        region: RegionLoad(
            region=region,
            pool=POOL,
            expected_wait_s=wait_s,
            round_trip_s=0.1,
            measured_unix_s=NOW,
            servers=1,
        )
        for region, wait_s in waits_s.items()
    }
    return Placer(
        own_region="a",
        own_failure_domain="a-1",
        table=table,
        members=LiveMembers(view=view),
        cold=ColdLimiter(own_vm="vm-a"),
        region_loads=lambda pool: loads,
        servers=lambda: {each.name: each for each in servers},
    )


def request(to: Route = STREAM, shared: int = 0, own: int = 300, **more: object) -> RelayRequest:
    parts = (PromptPart(id="ab", tokens=shared), PromptPart(id="cd", tokens=own))
    work = Work(
        request_id="r1",
        class_name=to.name,
        account="",
        rank=Rank.PAYING,
        pool=POOL,
        model=None,
        home_region="a",
        home_bound=False,
        repeatable=to.is_repeatable,
        prompt_tokens=shared + own,
        expected_output_tokens=100,
        shared_tokens=shared,
        prefix_hashes=(1,) * (shared // 128),
        accepted_unix_s=NOW,
        first_token_due_unix_s=NOW + to.first_answer_target_s,
        deadline_unix_s=NOW + to.timeout_s,
    )
    head = RequestHead(request_id="r1", headers=(), prompt_parts=parts)
    fields = {"head": head, "route": to, "work": work, "method": "POST", "host": "", "target": "/"}
    return RelayRequest(**{**fields, **more})  # type: ignore[arg-type]


def place(by: Placer, what: RelayRequest) -> LocalPlacement | PeerPlacement | NoPlacement:
    return by.place(what.for_placement, ROUTING, ExcludedTargets(), NOW)


def load(by: Placer, name: str, tokens: int) -> None:
    """Put prompts before a server whose speed is known: a second for 100,000 tokens."""
    times = by.table.service_times(POOL)
    for _ in range(300):
        times.observe_start(100_000, 1.0)
    by.table.charge("earlier", name, tokens, NOW)


def test_free_server_here_is_taken() -> None:
    decision = place(placer(server("s1", "a"), server("s2", "b")), request())
    assert isinstance(decision, LocalPlacement)
    assert decision.placement.server.name == "s1"


def test_late_region_is_left_for_an_earlier_one() -> None:
    by = placer(server("s1", "a"), waits_s={"b": 0.0})
    load(by, "s1", 60_000)
    decision = place(by, request())
    assert isinstance(decision, PeerPlacement)
    assert (decision.member.vm, decision.reason) == ("vm-b", LOCAL_REGION_LATE)


def test_late_region_is_kept_while_the_others_are_later() -> None:
    by = placer(server("s1", "a"), waits_s={"b": 5.0})
    load(by, "s1", 60_000)
    assert isinstance(place(by, request()), LocalPlacement)


def test_work_bound_to_other_regions_goes_there() -> None:
    bound = evolve(STREAM, home_regions=("c",))
    decision = place(placer(server("s1", "a")), request(bound))
    assert isinstance(decision, PeerPlacement)
    assert (decision.member.vm, decision.reason) == ("vm-c", BOUND_TO_OTHER_REGIONS)


def test_work_bound_to_an_unreachable_region_is_refused_and_runs_nowhere_else() -> None:
    bound = evolve(STREAM, home_regions=("c",))
    decision = place(placer(server("s1", "a"), waits_s={"b": 0.0}), request(bound))
    assert decision == NoPlacement(reason=NO_LOCAL_SERVER)


def test_forwarded_request_is_never_passed_on() -> None:
    """Two VMs each believe that the other region is earlier."""
    by = placer(server("s1", "a"), waits_s={"b": 0.0})
    load(by, "s1", 60_000)
    assert isinstance(place(by, request(forwarded_by="vm-b")), LocalPlacement)
    assert place(placer(), request(forwarded_by="vm-b")) == NoPlacement(reason=NO_LOCAL_SERVER)


def test_long_shared_prompt_goes_to_the_region_that_keeps_it_warm() -> None:
    by = placer(server("s1", "b"), server("s2", "b"))
    decision = place(by, request(shared=13_312))
    assert isinstance(decision, PeerPlacement)
    assert (decision.member.vm, decision.reason) == ("vm-b", WARM_ELSEWHERE)


def test_prompt_that_is_warm_here_stays() -> None:
    by = placer(server("s0", "a"), server("s1", "b"), server("s2", "b"), server("s3", "b"))
    what = request(shared=13_312)
    by.table.prefixes.observe_placement("s0", what.work.prefix_hashes)
    assert isinstance(place(by, what), LocalPlacement)


def test_warm_prompt_is_not_read_elsewhere_to_gain_little() -> None:
    """A long prompt is warm here, where a queue makes this region late.

    Another region, where it would be read anew, is sooner by less than the reading. Sent there, it
    would hold up what comes next and take room that the first copy has already. With a longer
    queue the gain is worth it.
    """
    what = request(shared=13_312)
    taken = []
    for queue_tokens in (38_000, 60_000):
        by = placer(server("s1", "a"), waits_s={"b": 0.0})
        by.table.prefixes.observe_placement("s1", what.work.prefix_hashes)
        load(by, "s1", queue_tokens)
        taken.append(type(place(by, what)))
    assert taken == [LocalPlacement, PeerPlacement]


def test_owner_that_is_behind_is_not_waited_for() -> None:
    by = placer(server("s0", "a"), server("s1", "b"), server("s2", "b"), waits_s={"b": 0.9})
    assert isinstance(place(by, request(shared=13_312)), LocalPlacement)


@pytest.mark.parametrize("own_tokens", [300, 4_000])
def test_stream_is_refused_where_every_server_is_behind(own_tokens: int) -> None:
    """Engines have more prompts before them than they can read within the target.

    Sent on, all would be answered late, and callers would leave what is silent for seconds while
    their prompts are still read. Refused at once, they come back when the engines are further on.
    """
    by = placer(server("s1", "a"), waits_s={"b": 3.0})
    load(by, "s1", 250_000)
    refused = place(by, request(evolve(STREAM, silence_patience_s=3.2), own=own_tokens))
    assert isinstance(refused, NoPlacement)
    assert (refused.reason, refused.wait_s > 2.0) == (ALL_SERVERS_LATE, True)


def test_whole_answer_goes_also_where_every_server_is_behind() -> None:
    by = placer(server("s1", "a"), waits_s={"b": 3.0})
    load(by, "s1", 250_000)
    assert isinstance(place(by, request(route(RouteKind.IDEMPOTENT), own=0)), LocalPlacement)


def test_caller_that_comes_back_is_taken_while_it_would_wait() -> None:
    """A caller that was refused is late already, and doesn't come a third time."""
    by = placer(server("s1", "a"), waits_s={"b": 3.0})
    load(by, "s1", 250_000)
    patient = evolve(STREAM, silence_patience_s=4.0)
    back = request(patient)
    left_s = patient.timeout_s / 2.0
    back = evolve(back, work=evolve(back.work, deadline_unix_s=NOW + left_s))
    assert isinstance(place(by, back), LocalPlacement)
    load(by, "s1", 350_000)
    assert isinstance(place(by, back), NoPlacement)


def test_long_prompt_leaves_the_streams_of_its_region_alone() -> None:
    """One region's engines run dozens of streams and read a good deal; another's run few.

    Read here, a long prompt would hold up all those streams beyond their pauses, although its own
    first answer is early. The trip costs a fraction of a second of its own answer.
    """
    by = placer(server("s1", "a", slots=128), waits_s={"b": 0.0})
    load(by, "s1", 10_000)
    for number in range(60):
        by.table.charge(f"stream-{number}", "s1", 700, NOW)
    what = request(own=9_000)
    what = evolve(what, work=evolve(what.work, gap_target_s=0.4))
    moved = place(by, what)
    assert isinstance(moved, PeerPlacement)
    assert (moved.member.vm, moved.reason) == ("vm-b", LOCAL_REGION_LATE)
    without_streams = placer(server("s1", "a", slots=128), waits_s={"b": 0.0})
    load(without_streams, "s1", 1)
    assert isinstance(place(without_streams, what), LocalPlacement)


def test_group_that_was_sent_elsewhere_counts_as_warm_there() -> None:
    by = placer(server("s0", "a"), waits_s={"b": 0.5, "c": 0.0})
    by._remote.sent_groups.note("ab", "b", NOW)
    load(by, "s0", 90_000)
    decision = place(by, request(shared=13_312))
    assert isinstance(decision, PeerPlacement)
    assert (decision.member.vm, decision.reason) == ("vm-b", WARM_ELSEWHERE)


def test_cold_server_gets_few_requests() -> None:
    by = placer(server("s1", "a", cold_until_unix_s=NOW + 3.0), waits_s={})
    first = place(by, request())
    assert isinstance(first, LocalPlacement)
    by.record_placement(first.placement.server, NOW)
    assert place(by, request()) == NoPlacement(reason=NO_LOCAL_SERVER)


def test_closed_domain_gets_nothing() -> None:
    by = placer(server("s1", "a"), waits_s={})
    by.table.closed_domains = frozenset({"a-1"})
    assert place(by, request()) == NoPlacement(reason=NO_LOCAL_SERVER)


def test_lapsed_server_goes_last() -> None:
    by = placer(server("s1", "a", is_lease_expired=True), server("s2", "a"), waits_s={})
    names = set()
    for _ in range(20):
        decision = place(by, request())
        assert isinstance(decision, LocalPlacement)
        names.add(decision.placement.server.name)
    assert names == {"s2"}
    assert isinstance(
        place(placer(server("s1", "a", is_lease_expired=True)), request()), LocalPlacement
    )


def test_free_server_of_the_own_failure_domain_goes_first() -> None:
    far = server("s2", "a", failure_domain="a-2")
    chosen = set()
    for _ in range(20):
        decision = place(placer(server("s1", "a"), far), request())
        assert isinstance(decision, LocalPlacement)
        chosen.add(decision.placement.server.name)
    assert chosen == {"s1"}


def test_busy_server_of_the_own_failure_domain_is_passed_over() -> None:
    by = placer(server("s1", "a"), server("s2", "a", failure_domain="a-2"), waits_s={})
    load(by, "s1", 50_000)
    decision = place(by, request())
    assert isinstance(decision, LocalPlacement)
    assert decision.placement.server.name == "s2"


def test_peer_that_takes_no_connection_is_passed_over() -> None:
    """A region is cut off, or its VM says that it is ready and takes no connection.

    Until its silence counts, seconds later, every request for it waits for a connection in vain.
    After the first one, those that follow go elsewhere; after the pause it is tried again.
    """
    bound = route(RouteKind.IDEMPOTENT, home_regions=("b", "c"))
    by = placer(waits_s={"b": 0.0, "c": 0.0})
    by.members.note_connect_failure("vm-b", NOW)
    targets = {place(by, request(bound)).member.vm for _ in range(20)}  # type: ignore[union-attr]
    assert targets == {"vm-c"}
    by.members.note_connect_failure("vm-c", NOW)
    assert place(by, request(bound)) == NoPlacement(reason=NO_LOCAL_SERVER)
    later = by.place(
        request(bound).for_placement, ROUTING, ExcludedTargets(), NOW + FIRST_BACKOFF_S + 0.01
    )
    assert isinstance(later, PeerPlacement)


def test_peer_beside_the_groups_server_gets_its_prompts() -> None:
    by = placer(server("s1", "b", failure_domain="b-2"), waits_s={"b": 0.0})
    beside = Member(vm="vm-b2", incarnation=1, region="b", failure_domain="b-2", sequence=1)
    by.members.view.observe_heartbeat(beside, NOW)
    for _ in range(10):
        decision = place(by, request(shared=13_312))
        assert isinstance(decision, PeerPlacement)
        assert decision.member.vm == "vm-b2"


def test_prompt_goes_to_the_vm_that_coordinates_its_groups_server() -> None:
    """Five VMs of a region get long prompts of one group.

    Were each to place its own, all would send them to the engine that seemed free when they last
    heard of each other. They agree on one VM instead, which keeps the prompts that come to itself.
    """
    chosen = set()
    for own in range(5):
        by = placer(server("s1", "a"), waits_s={})
        by.members.view.own_vm = f"vm-{own}"
        by.members.view.observe_own(Member(vm=f"vm-{own}", region="a"))
        for other in set(range(5)) - {own}:
            member = Member(vm=f"vm-{other}", incarnation=1, region="a", sequence=1)
            by.members.view.observe_heartbeat(member, NOW)
        decision = place(by, request(shared=13_312))
        is_here = isinstance(decision, LocalPlacement)
        chosen.add(f"vm-{own}" if is_here else decision.member.vm)  # type: ignore[union-attr]
        assert is_here or decision.reason == COORDINATED_BY_PEER  # type: ignore[union-attr]
    assert len(chosen) == 1


def test_prompt_turned_back_goes_to_the_groups_second_server() -> None:
    by = placer(server("s1", "b"), server("s2", "c"))
    asked = []
    excluded = ExcludedTargets()
    for _ in range(2):
        decision = by.place(request(shared=13_312).for_placement, ROUTING, excluded, NOW)
        assert isinstance(decision, PeerPlacement)
        asked.append((decision.server, decision.member.vm))
        excluded.servers.add(decision.server)
    assert sorted(asked) == [("s1", "vm-b"), ("s2", "vm-c")]


def test_coordinator_out_of_reach_is_replaced() -> None:
    by = placer(server("s1", "b"), waits_s={"b": 0.0})
    other = Member(vm="vm-b2", incarnation=1, region="b", sequence=1)
    by.members.view.observe_heartbeat(other, NOW)
    first = place(by, request(shared=13_312))
    assert isinstance(first, PeerPlacement)
    excluded = ExcludedTargets(peers={first.member.vm})
    second = by.place(request(shared=13_312).for_placement, ROUTING, excluded, NOW)
    assert isinstance(second, PeerPlacement)
    assert {first.member.vm, second.member.vm} == {"vm-b", "vm-b2"}


def test_groups_that_share_their_first_part_are_kept_warm_in_different_regions() -> None:
    """A few system prompts begin the prompts of a hundred groups, each with a text of its own.

    Named by what they begin with, they would all be sent to the few owners of the system prompts.
    """
    by = placer(*(server(f"s{number}", "bc"[number % 2]) for number in range(6)))
    what, regions = request(shared=6_400), set()
    for number in range(20):
        parts = (
            PromptPart(id="system", tokens=2_560),
            PromptPart(id=f"text-{number}", tokens=3_840),
            PromptPart(id="own", tokens=300),
        )
        decision = place(by, evolve(what, head=evolve(what.head, prompt_parts=parts)))
        assert isinstance(decision, PeerPlacement)
        regions.add(decision.member.region)
    assert regions == {"b", "c"}
