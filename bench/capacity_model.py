"""Work out one daemon's cost at the letter's size from the measured slopes."""

import math
from collections.abc import Mapping, Sequence

from attrs import frozen

from bench.capacity_fit import Line, fit_line
from bench.capacity_fleet import Usage
from bench.capacity_region import ExchangeCost
from bench.capacity_size import (
    ACCOUNTS,
    CHANGES_PER_DAY,
    DAEMONS,
    REGIONS,
    REQUESTS_PER_S,
    SECONDS_PER_DAY,
    SERVERS,
    TOKENS_PER_S,
)
from bench.capacity_state import Slope
from pomelobarrow.backends.reports import POLLERS, poll_every_s
from pomelobarrow.decision.member_roles import RELAYS, WATCHERS
from pomelobarrow.decision.request_ids import LIFE_S, MAX_KEPT_BYTES
from pomelobarrow.peers.grid import neighbours
from pomelobarrow.peers.table import REVIEW_EVERY_S
from pomelobarrow.published.watcher import IDLE_READ_EVERY_S, WAIT_S

CHANGE_BYTES = 300
KEYSPACES = 2
# Watches last between three quarters of the wait and all of it.
MEAN_WAIT_SHARE = 0.875
IDS_PER_REQUEST = 1.0


@frozen(kw_only=True)
class Measured:
    """Hold every measured slope of one run."""

    bare_exchange_s: float
    tokens: Slope
    exchanges: Sequence[ExchangeCost]
    cross_link_bytes_per_s: Mapping[int, float]
    memory: Sequence[Slope]
    times: Sequence[Slope]
    usages: Sequence[Usage]

    def slope(self, name: str) -> Line:
        """Return the line of a quantity by the start of its name."""
        found = (each for each in (*self.memory, *self.times) if each.name.startswith(name))
        return next(found).line


@frozen(kw_only=True)
class Cost:
    """Hold what one role takes of one daemon."""

    role: str
    cpu_s_per_s: float = 0.0
    bytes_per_s: float = 0.0
    memory_bytes: float = 0.0
    is_control: bool = True


def links(daemons: int) -> int:
    """Return the links that a daemon dials inside a region."""
    names = [f"vm{n:03d}" for n in range(daemons)]
    return max(len(neighbours(vm, names).all) for vm in names)


def cross_links(daemons: int) -> float:
    """Return the mean number of links that a daemon dials to other regions."""
    return (REGIONS - 1) * RELAYS / daemons


def control_costs(measured: Measured, daemons: int) -> list[Cost]:
    """Return what each control role costs a daemon in a region of this many."""
    servers = round(SERVERS * daemons / DAEMONS)
    return [
        _idle(measured),
        _exchange(measured, daemons),
        _relays(measured, daemons),
        _reviews(measured),
        _polls(measured, daemons, servers),
        _configuration(measured, daemons),
    ]


def request_costs(measured: Measured, daemons: int) -> list[Cost]:
    """Return what the decisions for requests cost a daemon; this is no control traffic."""
    servers = round(SERVERS * daemons / DAEMONS)
    requests_per_s = REQUESTS_PER_S / DAEMONS
    claims = requests_per_s * IDS_PER_REQUEST
    per_request_s = (
        measured.slope("choose a server").at(servers)
        + measured.slope("choose a region").at(REGIONS)
        + measured.slope("queue and take").at(50)
    )
    ledger_bytes = measured.slope("request-id ledger").at(claims * LIFE_S) + MAX_KEPT_BYTES
    tokens_s = measured.tokens.line.slope * TOKENS_PER_S / DAEMONS
    return [
        Cost(role="relay of tokens", cpu_s_per_s=tokens_s, is_control=False),
        Cost(role="dispatch", cpu_s_per_s=requests_per_s * per_request_s, is_control=False),
        Cost(
            role="request-id ledger",
            cpu_s_per_s=claims * measured.slope("claim and finish").at(1_500),
            memory_bytes=ledger_bytes,
            is_control=False,
        ),
    ]


def memory_bytes(measured: Measured) -> float:
    """Return a daemon's memory at the letter's size without the ledger's answers."""
    return _resident(measured).at(DAEMONS / REGIONS) + _state_bytes(measured)


def platform_reads_per_s() -> float:
    """Return the reads of all daemons together."""
    watching = REGIONS * WATCHERS * KEYSPACES
    idle = (DAEMONS - REGIONS * WATCHERS) * KEYSPACES
    ended_by_changes = REGIONS * WATCHERS * changes_per_s()
    return watching / (WAIT_S * MEAN_WAIT_SHARE) + idle / IDLE_READ_EVERY_S + ended_by_changes


def changes_per_s() -> float:
    """Return the mean rate of changes."""
    return CHANGES_PER_DAY / SECONDS_PER_DAY


def _resident(measured: Measured) -> Line:
    one_region = [each for each in measured.usages if each.size.regions == 1]
    few_servers = [each for each in one_region if each.size.servers_per_region == 5]
    return fit_line(
        [each.size.daemons for each in few_servers], [each.resident_bytes for each in few_servers]
    )


def _state_bytes(measured: Measured) -> float:
    return (
        measured.slope("configuration").at(ACCOUNTS)
        + measured.slope("VM list").at(DAEMONS + SERVERS)
        + measured.slope("members").at(DAEMONS)
    )


def cpu_by_messages(measured: Measured) -> Line:
    """Return a daemon's processor time by the messages it sends, over the fleets of one region."""
    chosen = [u for u in measured.usages if u.size.servers_per_region == 5 and u.size.regions == 1]
    return fit_line(
        [each.peer_messages_per_s for each in chosen], [each.cpu_s_per_s for each in chosen]
    )


def _idle(measured: Measured) -> Cost:
    two = min(measured.usages, key=lambda each: each.size.daemons)
    return Cost(
        role="timers, metrics and the rest of an idle daemon",
        cpu_s_per_s=two.cpu_s_per_s - _poll_cost_s(measured) * 2 * POLLERS,
    )


def _poll_cost_s(measured: Measured) -> float:
    """Return the processor time of a poll: of load and, for an engine, of cache events."""
    chosen = [
        each for each in measured.usages if each.size.daemons == 20 and each.size.regions == 1
    ]
    line = fit_line(
        [_polls_per_s(each.size.daemons, each.size.servers_per_region) for each in chosen],
        [each.cpu_s_per_s for each in chosen],
    )
    return max(line.slope, 0.0)


def _polls_per_s(daemons: int, servers: int) -> float:
    own = servers * min(POLLERS, daemons) / daemons
    return own / poll_every_s(math.ceil(own))


def _polls(measured: Measured, daemons: int, servers: int) -> Cost:
    polls_per_s = _polls_per_s(daemons, servers)
    most = max(measured.usages, key=lambda each: each.size.servers_per_region)
    measured_polls = _polls_per_s(most.size.daemons, most.size.servers_per_region)
    return Cost(
        role="load reports of servers",
        cpu_s_per_s=polls_per_s * _poll_cost_s(measured),
        bytes_per_s=polls_per_s * most.backend_bytes_per_s / measured_polls,
    )


def _exchange(measured: Measured, daemons: int) -> Cost:
    exchange = next(each for each in measured.exchanges if each.size.daemons == daemons)
    return Cost(
        role="membership, limits and loads inside the region",
        cpu_s_per_s=exchange.cpu_s_per_s + links(daemons) * measured.bare_exchange_s,
        bytes_per_s=exchange.bytes_per_s,
    )


def _relays(measured: Measured, daemons: int) -> Cost:
    # A link costs its messages; building and reading them is counted like one inside the region.
    exchange = next(each for each in measured.exchanges if each.size.daemons == daemons)
    each_s = exchange.cpu_s_per_s / links(daemons) + measured.bare_exchange_s
    number = cross_links(daemons)
    return Cost(
        role="membership and loads between regions (mean daemon)",
        cpu_s_per_s=number * each_s,
        bytes_per_s=2 * number * measured.cross_link_bytes_per_s[daemons],
    )


def _reviews(measured: Measured) -> Cost:
    choose_s = measured.slope("choose relays").at(DAEMONS)
    return Cost(role="choice of links", cpu_s_per_s=choose_s / REVIEW_EVERY_S)


def _configuration(measured: Measured, daemons: int) -> Cost:
    apply_s = measured.slope("put a change in force").at(ACCOUNTS)
    copies = 1 + links(daemons) + cross_links(daemons)
    return Cost(
        role="configuration relay and watcher (a watcher that pushes to all its links)",
        cpu_s_per_s=changes_per_s() * (apply_s + copies * measured.bare_exchange_s),
        bytes_per_s=changes_per_s() * copies * CHANGE_BYTES,
        memory_bytes=_state_bytes(measured),
    )
