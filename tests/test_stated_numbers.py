"""Numbers that others state, from where they are read to the messages between VMs."""

import json
import math
from types import SimpleNamespace

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from daemon_parts import SERVER, VM, daemon_parts, list_server
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st
from relay_harness import ask, relay_fleet, route
from scripted_server import answers

from pomelobarrow.backends.orders import STATUS_OUTDATED_FENCING, OrderSender
from pomelobarrow.backends.reports import LoadPoller
from pomelobarrow.backends.sessions import BackendSessions
from pomelobarrow.decision.common.bounded import (
    UINT32_MAX,
    count_or_none,
    number_or_none,
    parse_count,
    saturated,
)
from pomelobarrow.decision.prompts.token_estimates import BLOCK_TOKENS
from pomelobarrow.decision.published.routing import RouteKind
from pomelobarrow.decision.requests.orders import OrderBook
from pomelobarrow.decision.servers.load_table import LoadTable
from pomelobarrow.dispatch.events import ServerLoadInvalid
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.kernel.context import Context
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.heartbeats import Heartbeats, SentUpdates
from pomelobarrow.peers.region_loads import RegionLoads
from pomelobarrow.platform.wire import MAX_CLIENT_TOKENS, read_answer
from pomelobarrow.relay.answer_records import AnswerRecords
from pomelobarrow.relay.messages import PromptPart
from pomelobarrow.relay.prompts import shared_blocks

DIGITS = st.integers(0, 10**40).map(str) | st.integers(4_000, 6_000).map(lambda size: "9" * size)
FEW = settings(suppress_health_check=[HealthCheck.too_slow], deadline=None, max_examples=50)


def heartbeats_to_all_kinds_of_peers(context: Context) -> list[pb.Heartbeat]:
    """Return what the daemon sends next, each message encoded and decoded again."""
    heartbeats = context.get(Heartbeats)
    built = [heartbeats.full("peer", same_region, SentUpdates()) for same_region in (True, False)]
    return [pb.Heartbeat.FromString(each.SerializeToString()) for each in built]


def record_answer(context: Context, load: str) -> list[object]:
    """Record an answer's load header; return the events."""
    events: list[object] = []
    table = context.get(LoadTable)
    records = AnswerRecords(table=table, guard=None, observe=events.append)  # type: ignore[arg-type]
    answer = SimpleNamespace(status=200, headers={"Pomelobarrow-Server-Load": load})
    [server] = table.pool_servers("plain")
    records.of_server(server, read_answer(answer))  # type: ignore[arg-type]
    return events


@FEW
@given(st.lists(DIGITS, min_size=2, max_size=5).map(",".join))
@example("4294967296,0,8")
@example(f"0,{2**64},8")
@example("9" * 4_990 + ",0,8")
def test_load_header_with_large_numbers_does_not_stop_the_heartbeats(load: str) -> None:
    """Guards against the end of the process that read one spoiled load header."""
    context = daemon_parts()
    list_server(context)
    record_answer(context, load)
    assert all(each.vm == VM for each in heartbeats_to_all_kinds_of_peers(context))


def test_load_out_of_range_is_reported_and_counts_as_not_stated() -> None:
    context = daemon_parts()
    list_server(context)
    record_answer(context, "3,2,8")
    events = record_answer(context, "4294967296,2,8")
    report = context.get(LoadTable).report(SERVER)
    assert events == [ServerLoadInvalid(server=SERVER, pool="plain")]
    assert report is not None
    assert (report.running, report.waiting) == (3, 2)


NUMBERS = (-1, 2**32, 2**64, 1e300, "many", None, [1], {})
FIELDS = ("running", "waiting", "kv_tokens_used", "queued_prefill_tokens", "measured_unix_s")
REPORTS = [{field: number} for field in FIELDS for number in NUMBERS]
EVENTS = (
    7,
    [7],
    [{}],
    [{"sequence": "first", "kind": "stored", "block": 1}],
    [{"sequence": 1, "kind": ["stored"], "block": 1e300}],
)


async def poll_once(context: Context, load: object, events: object = ()) -> list[object]:
    """Poll a server that answers with these bodies; return what was observed."""
    observed: list[object] = []
    app = web.Application()
    app.router.add_get("/v1/load", lambda request: _answer(load))
    app.router.add_get("/v1/cache/events", lambda request: _answer({"events": events}))
    async with TestServer(app) as listening:
        table = context.get(LoadTable)
        [server] = table.pool_servers("plain")
        sessions = BackendSessions({server.address: f"{listening.host}:{listening.port}"})
        poller = LoadPoller(
            own_vm=VM,
            sessions=sessions,
            table=table,
            servers=lambda: [server],
            live_vms=lambda: [VM],
            is_engine=lambda server: True,
            on_report=lambda pool: None,
            observe=observed.append,
        )
        await poller._poll(server)
        await sessions.close()
    return observed


async def _answer(body: object) -> web.Response:
    return web.Response(body=json.dumps(body).encode())


@pytest.mark.parametrize("load", REPORTS, ids=str)
async def test_report_of_a_server_with_numbers_out_of_range_does_not_stop_the_polls(
    load: dict[str, object],
) -> None:
    """Guards against the end of the process that polled one malformed load report."""
    context = daemon_parts()
    list_server(context)
    observed = await poll_once(context, load)
    assert all(each.vm == VM for each in heartbeats_to_all_kinds_of_peers(context))
    # A time in the future counts as now.
    is_usable = load in [{"measured_unix_s": number} for number in (2**32, 2**64, 1e300)]
    assert bool(observed) is not is_usable


@pytest.mark.parametrize("events", EVENTS, ids=str)
async def test_malformed_cache_events_do_not_stop_the_polls(events: object) -> None:
    """Guards against the end of the process that polled one malformed cache event."""
    context = daemon_parts()
    list_server(context)
    assert await poll_once(context, {"running": 1}, events) == []


@pytest.mark.parametrize("answer", [None, 7, [], {}, {"fencing": [1]}, {"fencing": 1e300}], ids=str)
def test_malformed_answer_to_an_order_does_not_stop_the_orders(answer: object) -> None:
    """Guards against the end of the process that sent an order to a faulty engine."""
    book = OrderBook()
    sender = OrderSender(sessions=None, book=book, owned=list, configuration=lambda: None)  # type: ignore[arg-type]
    due = SimpleNamespace(server=SimpleNamespace(name=SERVER))
    assert not sender._handle_answer(due, STATUS_OUTDATED_FENCING, answer)  # type: ignore[arg-type]


def test_tokens_that_a_client_states_do_not_stop_the_heartbeats() -> None:
    """Guards against the end of the process through the tokens in flight at one server."""
    context = daemon_parts()
    list_server(context)
    context.get(LoadTable).charge("r1", SERVER, 5_000_000_000, 1.0)
    same_region, _ = heartbeats_to_all_kinds_of_peers(context)
    assert list(same_region.in_flight_tokens) == [UINT32_MAX]


CLIENT_HEADERS = [
    ("Pomelobarrow-Prompt-Prefix", "aa:99999999999999999999,bb:1"),
    ("Pomelobarrow-Prompt-Prefix", "aa:1000000000,bb:1"),
    ("Pomelobarrow-Prompt-Prefix", "aa:2000000,bb:2000000"),
    ("Pomelobarrow-Prompt-Prefix", "aa:1," * 300),
    ("Pomelobarrow-Prompt-Prefix", "aa:-1"),
    ("Pomelobarrow-Prompt-Prefix", "aa"),
    ("Pomelobarrow-Token-Count", "5000000000,1"),
    ("Pomelobarrow-Token-Count", "9" * 400),
    ("Pomelobarrow-Token-Count", "-1,0"),
    ("Pomelobarrow-Request-Deadline", "nan"),
    ("Pomelobarrow-Request-Deadline", "inf"),
    ("Pomelobarrow-Request-Deadline", "-1"),
    ("Pomelobarrow-Request-Deadline", "9" * 400),
]


@pytest.mark.parametrize(("name", "value"), CLIENT_HEADERS, ids=lambda text: text[:40])
async def test_client_header_out_of_range_is_refused_and_the_next_request_is_served(
    name: str, value: str
) -> None:
    """Guards against a VM that one client's header stops for all clients."""
    once = route(RouteKind.NON_IDEMPOTENT)
    async with relay_fleet((once,), {"a": {"s1": answers()}}) as fleet:
        refused = await ask(fleet.vms["a"], "/non_idempotent/", headers={name: value})
        served = await ask(fleet.vms["a"], "/non_idempotent/")
    assert (refused.status, served.status) == (400, 200)
    assert f"a header is malformed: {name}: ".encode() in refused.body


def test_longest_prompt_that_a_client_may_state_has_a_block_for_each_128_tokens() -> None:
    parts = (PromptPart(id="aa", tokens=MAX_CLIENT_TOKENS), PromptPart(id="bb", tokens=0))
    assert len(shared_blocks(parts)) == MAX_CLIENT_TOKENS // BLOCK_TOKENS


@pytest.mark.parametrize("value", [math.nan, math.inf, -1.0])
def test_load_of_a_region_that_cannot_be_compared_is_unknown(value: float) -> None:
    """Guards against a peer whose numbers attract or repel the requests of a region."""
    context = daemon_parts()
    heartbeat = pb.Heartbeat(vm="turin-1", incarnation=1, region="turin", has_loads=True)
    heartbeat.pools.append(pb.PoolLoad(pool="plain", expected_wait_s=value, servers=1))
    context.get(Heartbeats).apply(heartbeat)
    assert context.get(RegionLoads).for_pool("plain") == {}


@pytest.mark.parametrize("value", [math.nan, math.inf, -math.inf])
@pytest.mark.parametrize("field", ["sent_unix_s", "heard_unix_s"])
def test_member_described_without_a_finite_time_is_seen_when_reported_again(
    field: str, value: float
) -> None:
    """No later report of such a member counted, so that its silence was never noticed."""
    heartbeats, heard_unix_s = daemon_parts().get(Heartbeats), now_unix_s() - 1.0
    sound = {"sent_unix_s": now_unix_s(), "heard_unix_s": heard_unix_s}
    for sequence, times in enumerate((sound | {field: value}, sound), 1):
        heartbeat = pb.Heartbeat(vm="turin-1", incarnation=1, region="turin", has_loads=True)
        heartbeat.sequence, heartbeat.sent_unix_s = sequence, times["sent_unix_s"]
        heartbeat.members.add(
            vm="rome-1", incarnation=1, region="rome", heard_unix_s=times["heard_unix_s"]
        )
        heartbeats.apply(heartbeat)
    assert heard_unix_s <= heartbeats.view.last_seen_unix_s("rome-1") <= now_unix_s()


@pytest.mark.parametrize("text", ["", "-1", "+1", "1.0", "1e3", "x", "²", "٣", "11", "9" * 5_000])
def test_text_that_is_no_count_in_range_is_none(text: str) -> None:
    assert parse_count(text, most=10) is None


def test_count_in_range_is_parsed() -> None:
    assert [parse_count(text, most=10) for text in ("0", " 7 ", "10")] == [0, 7, 10]


@pytest.mark.parametrize(
    "value", [None, True, "3", [], -1, 1.5, 11, float("nan"), float("inf"), 2**70, 1e300]
)
def test_value_that_is_no_count_in_range_is_none(value: object) -> None:
    assert count_or_none(value, most=10) is None


@pytest.mark.parametrize("value", [None, False, "3", {}, -0.1, 10.1, float("nan"), float("inf")])
def test_value_that_is_no_number_in_range_is_none(value: object) -> None:
    assert number_or_none(value, most=10.0) is None


@given(st.floats() | st.integers())
def test_saturated_number_fits_its_field(value: float) -> None:
    assert 0 <= saturated(value) <= UINT32_MAX
