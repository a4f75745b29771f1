"""Placement of a relayed request: on a local server, on a peer, or not at all."""

import pytest
from attrs import evolve
from relay_harness import POOL, route

from pomelobarrow.decision.members.connect_backoff import FIRST_BACKOFF_S
from pomelobarrow.decision.members.live_members import LiveMembers
from pomelobarrow.decision.members.member import Member
from pomelobarrow.decision.members.membership import MembershipView
from pomelobarrow.decision.placement.placement import Placer
from pomelobarrow.decision.placement.region_choice import RegionLoad
from pomelobarrow.decision.published.configuration import Rank
from pomelobarrow.decision.published.routing import RelayPool, Route, RouteKind, Routing
from pomelobarrow.decision.requests.placement_request import (
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
from pomelobarrow.decision.requests.work import BackendServer, Work
from pomelobarrow.decision.servers.cold_start import ColdLimiter
from pomelobarrow.decision.servers.load_table import LoadTable
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


def make_placer(*servers: BackendServer, waits_s: dict[str, float] | None = None) -> Placer:
    """Return a placer for region a with a peer in each region of `waits_s`, by default b and c."""
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


def place(placer: Placer, relayed: RelayRequest) -> LocalPlacement | PeerPlacement | NoPlacement:
    return placer.place(relayed.for_placement, ROUTING, ExcludedTargets(), NOW)


def load(placer: Placer, name: str, tokens: int) -> None:
    """Queue prompt tokens at a server that prefills 100,000 tokens per second."""
    times = placer.table.service_times(POOL)
    for _ in range(300):
        times.observe_start(100_000, 1.0)
    placer.table.charge("earlier", name, tokens, NOW)


def test_free_server_here_is_taken() -> None:
    decision = place(make_placer(server("s1", "a"), server("s2", "b")), request())
    assert isinstance(decision, LocalPlacement)
    assert decision.placement.server.name == "s1"


def test_late_region_yields_to_a_faster_one() -> None:
    placer = make_placer(server("s1", "a"), waits_s={"b": 0.0})
    load(placer, "s1", 60_000)
    decision = place(placer, request())
    assert isinstance(decision, PeerPlacement)
    assert (decision.member.vm, decision.reason) == ("vm-b", LOCAL_REGION_LATE)


def test_late_region_is_kept_while_the_others_are_later() -> None:
    placer = make_placer(server("s1", "a"), waits_s={"b": 5.0})
    load(placer, "s1", 60_000)
    assert isinstance(place(placer, request()), LocalPlacement)


def test_work_bound_to_other_regions_goes_there() -> None:
    bound = evolve(STREAM, home_regions=("c",))
    decision = place(make_placer(server("s1", "a")), request(bound))
    assert isinstance(decision, PeerPlacement)
    assert (decision.member.vm, decision.reason) == ("vm-c", BOUND_TO_OTHER_REGIONS)


def test_work_bound_to_an_unreachable_region_is_refused_and_runs_nowhere_else() -> None:
    bound = evolve(STREAM, home_regions=("c",))
    decision = place(make_placer(server("s1", "a"), waits_s={"b": 0.0}), request(bound))
    assert decision == NoPlacement(reason=NO_LOCAL_SERVER)


def test_forwarded_request_is_never_passed_on() -> None:
    """Two VMs each expect an earlier answer from the other region."""
    placer = make_placer(server("s1", "a"), waits_s={"b": 0.0})
    load(placer, "s1", 60_000)
    assert isinstance(place(placer, request(forwarded_by="vm-b")), LocalPlacement)
    assert place(make_placer(), request(forwarded_by="vm-b")) == NoPlacement(reason=NO_LOCAL_SERVER)


def test_long_shared_prompt_goes_to_the_region_that_keeps_it_warm() -> None:
    placer = make_placer(server("s1", "b"), server("s2", "b"))
    decision = place(placer, request(shared=13_312))
    assert isinstance(decision, PeerPlacement)
    assert (decision.member.vm, decision.reason) == ("vm-b", WARM_ELSEWHERE)


def test_prompt_that_is_warm_here_stays() -> None:
    placer = make_placer(server("s0", "a"), server("s1", "b"), server("s2", "b"), server("s3", "b"))
    relayed = request(shared=13_312)
    placer.table.prefixes.observe_placement("s0", relayed.work.prefix_hashes)
    assert isinstance(place(placer, relayed), LocalPlacement)


def test_warm_prompt_is_not_read_elsewhere_to_gain_little() -> None:
    """A long prompt is cached in this region, where a queue makes it late.

    Another region, which would have to prefill it again, is faster by less than that prefill takes.
    There it would delay other requests and take cache memory for a second copy. Only a longer queue
    makes the move worth it.
    """
    relayed = request(shared=13_312)
    taken = []
    for queue_tokens in (38_000, 60_000):
        placer = make_placer(server("s1", "a"), waits_s={"b": 0.0})
        placer.table.prefixes.observe_placement("s1", relayed.work.prefix_hashes)
        load(placer, "s1", queue_tokens)
        taken.append(type(place(placer, relayed)))
    assert taken == [LocalPlacement, PeerPlacement]


def test_late_owner_is_not_awaited() -> None:
    placer = make_placer(
        server("s0", "a"), server("s1", "b"), server("s2", "b"), waits_s={"b": 0.9}
    )
    assert isinstance(place(placer, request(shared=13_312)), LocalPlacement)


@pytest.mark.parametrize("own_tokens", [300, 4_000])
def test_stream_is_refused_when_every_server_is_late(own_tokens: int) -> None:
    """Engines have more prompts queued than they can prefill within the target time.

    If all were sent, all would be answered late, and callers would give up silent requests while
    their prompts are still being processed. Refused callers return when the queues are shorter.
    """
    placer = make_placer(server("s1", "a"), waits_s={"b": 3.0})
    load(placer, "s1", 250_000)
    refused = place(placer, request(evolve(STREAM, silence_patience_s=3.2), own=own_tokens))
    assert isinstance(refused, NoPlacement)
    assert (refused.reason, refused.wait_s > 2.0) == (ALL_SERVERS_LATE, True)


def test_unstreamed_request_is_placed_when_every_server_is_late() -> None:
    placer = make_placer(server("s1", "a"), waits_s={"b": 3.0})
    load(placer, "s1", 250_000)
    assert isinstance(place(placer, request(route(RouteKind.IDEMPOTENT), own=0)), LocalPlacement)


def test_returning_caller_is_accepted_within_its_time_limit() -> None:
    """A caller that was refused once is late already and does not try a third time."""
    placer = make_placer(server("s1", "a"), waits_s={"b": 3.0})
    load(placer, "s1", 250_000)
    tolerant = evolve(STREAM, silence_patience_s=4.0)
    returning = request(tolerant)
    left_s = tolerant.timeout_s / 2.0
    returning = evolve(returning, work=evolve(returning.work, deadline_unix_s=NOW + left_s))
    assert isinstance(place(placer, returning), LocalPlacement)
    load(placer, "s1", 350_000)
    assert isinstance(place(placer, returning), NoPlacement)


def test_long_prompt_does_not_disturb_the_streams_of_its_region() -> None:
    """The engines of one region run dozens of streams with a high prefill load; another has few.

    A long prompt placed here would delay all those streams beyond their gap target, although its
    own first answer would be early. Sending it away costs it a fraction of a second.
    """
    placer = make_placer(server("s1", "a", slots=128), waits_s={"b": 0.0})
    load(placer, "s1", 10_000)
    for number in range(60):
        placer.table.charge(f"stream-{number}", "s1", 700, NOW)
    relayed = request(own=9_000)
    relayed = evolve(relayed, work=evolve(relayed.work, gap_target_s=0.4))
    moved = place(placer, relayed)
    assert isinstance(moved, PeerPlacement)
    assert (moved.member.vm, moved.reason) == ("vm-b", LOCAL_REGION_LATE)
    without_streams = make_placer(server("s1", "a", slots=128), waits_s={"b": 0.0})
    load(without_streams, "s1", 1)
    assert isinstance(place(without_streams, relayed), LocalPlacement)


def test_group_that_was_sent_elsewhere_counts_as_warm_there() -> None:
    placer = make_placer(server("s0", "a"), waits_s={"b": 0.5, "c": 0.0})
    placer._remote.sent_groups.note("ab", "b", NOW)
    load(placer, "s0", 90_000)
    decision = place(placer, request(shared=13_312))
    assert isinstance(decision, PeerPlacement)
    assert (decision.member.vm, decision.reason) == ("vm-b", WARM_ELSEWHERE)


def test_cold_server_gets_few_requests() -> None:
    placer = make_placer(server("s1", "a", cold_until_unix_s=NOW + 3.0), waits_s={})
    first = place(placer, request())
    assert isinstance(first, LocalPlacement)
    placer.record_placement(first.placement.server, NOW)
    assert place(placer, request()) == NoPlacement(reason=NO_LOCAL_SERVER)


def test_closed_domain_gets_nothing() -> None:
    placer = make_placer(server("s1", "a"), waits_s={})
    placer.table.closed_domains = frozenset({"a-1"})
    assert place(placer, request()) == NoPlacement(reason=NO_LOCAL_SERVER)


def test_server_with_an_expired_lease_goes_last() -> None:
    placer = make_placer(server("s1", "a", is_lease_expired=True), server("s2", "a"), waits_s={})
    names = set()
    for _ in range(20):
        decision = place(placer, request())
        assert isinstance(decision, LocalPlacement)
        names.add(decision.placement.server.name)
    assert names == {"s2"}
    assert isinstance(
        place(make_placer(server("s1", "a", is_lease_expired=True)), request()), LocalPlacement
    )


def test_free_server_of_the_own_failure_domain_goes_first() -> None:
    far = server("s2", "a", failure_domain="a-2")
    chosen = set()
    for _ in range(20):
        decision = place(make_placer(server("s1", "a"), far), request())
        assert isinstance(decision, LocalPlacement)
        chosen.add(decision.placement.server.name)
    assert chosen == {"s1"}


def test_busy_server_of_the_own_failure_domain_is_skipped() -> None:
    placer = make_placer(server("s1", "a"), server("s2", "a", failure_domain="a-2"), waits_s={})
    load(placer, "s1", 50_000)
    decision = place(placer, request())
    assert isinstance(decision, LocalPlacement)
    assert decision.placement.server.name == "s2"


def test_unreachable_peer_is_skipped() -> None:
    """A region is cut off, or its VM reports itself as ready but accepts no connection.

    Until it is detected as silent, seconds later, every request for it would wait for a connection
    in vain. After the first failure requests go elsewhere; after the backoff it is tried again.
    """
    bound = route(RouteKind.IDEMPOTENT, home_regions=("b", "c"))
    placer = make_placer(waits_s={"b": 0.0, "c": 0.0})
    placer.members.note_connect_failure("vm-b", NOW)
    targets = {place(placer, request(bound)).member.vm for _ in range(20)}  # type: ignore[union-attr]
    assert targets == {"vm-c"}
    placer.members.note_connect_failure("vm-c", NOW)
    assert place(placer, request(bound)) == NoPlacement(reason=NO_LOCAL_SERVER)
    later = placer.place(
        request(bound).for_placement, ROUTING, ExcludedTargets(), NOW + FIRST_BACKOFF_S + 0.01
    )
    assert isinstance(later, PeerPlacement)


def test_peer_in_the_failure_domain_of_the_groups_server_gets_its_prompts() -> None:
    placer = make_placer(server("s1", "b", failure_domain="b-2"), waits_s={"b": 0.0})
    neighbour = Member(vm="vm-b2", incarnation=1, region="b", failure_domain="b-2", sequence=1)
    placer.members.view.observe_heartbeat(neighbour, NOW)
    for _ in range(10):
        decision = place(placer, request(shared=13_312))
        assert isinstance(decision, PeerPlacement)
        assert decision.member.vm == "vm-b2"


def test_prompt_goes_to_the_vm_that_coordinates_its_groups_server() -> None:
    """Five VMs of a region get long prompts of one group.

    If each placed its own, all would choose the engine that appeared free in their last updates.
    They agree on one VM instead, which places all of these prompts, its own included.
    """
    chosen = set()
    for own in range(5):
        placer = make_placer(server("s1", "a"), waits_s={})
        placer.members.view.own_vm = f"vm-{own}"
        placer.members.view.observe_own(Member(vm=f"vm-{own}", region="a"))
        for other in set(range(5)) - {own}:
            member = Member(vm=f"vm-{other}", incarnation=1, region="a", sequence=1)
            placer.members.view.observe_heartbeat(member, NOW)
        decision = place(placer, request(shared=13_312))
        is_here = isinstance(decision, LocalPlacement)
        chosen.add(f"vm-{own}" if is_here else decision.member.vm)  # type: ignore[union-attr]
        assert is_here or decision.reason == COORDINATED_BY_PEER  # type: ignore[union-attr]
    assert len(chosen) == 1


def test_refused_prompt_goes_to_the_groups_second_server() -> None:
    placer = make_placer(server("s1", "b"), server("s2", "c"))
    asked = []
    excluded = ExcludedTargets()
    for _ in range(2):
        decision = placer.place(request(shared=13_312).for_placement, ROUTING, excluded, NOW)
        assert isinstance(decision, PeerPlacement)
        asked.append((decision.server, decision.member.vm))
        excluded.servers.add(decision.server)
    assert sorted(asked) == [("s1", "vm-b"), ("s2", "vm-c")]


def test_unreachable_coordinator_is_replaced() -> None:
    placer = make_placer(server("s1", "b"), waits_s={"b": 0.0})
    other = Member(vm="vm-b2", incarnation=1, region="b", sequence=1)
    placer.members.view.observe_heartbeat(other, NOW)
    first = place(placer, request(shared=13_312))
    assert isinstance(first, PeerPlacement)
    excluded = ExcludedTargets(peers={first.member.vm})
    second = placer.place(request(shared=13_312).for_placement, ROUTING, excluded, NOW)
    assert isinstance(second, PeerPlacement)
    assert {first.member.vm, second.member.vm} == {"vm-b", "vm-b2"}


def test_groups_that_share_their_first_part_are_kept_warm_in_different_regions() -> None:
    """A few system prompts begin the prompts of a hundred groups, each with its own text.

    If groups were identified by their first part, all would go to the few owners of these prompts.
    """
    placer = make_placer(*(server(f"s{number}", "bc"[number % 2]) for number in range(6)))
    relayed, regions = request(shared=6_400), set()
    for number in range(20):
        parts = (
            PromptPart(id="system", tokens=2_560),
            PromptPart(id=f"text-{number}", tokens=3_840),
            PromptPart(id="own", tokens=300),
        )
        decision = place(placer, evolve(relayed, head=evolve(relayed.head, prompt_parts=parts)))
        assert isinstance(decision, PeerPlacement)
        regions.add(decision.member.region)
    assert regions == {"b", "c"}
