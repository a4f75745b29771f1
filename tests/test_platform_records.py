"""Items of the platform's store become keyspace values that are equal at every reader."""

from typing import Any

import pytest
from result import Ok

from pomelobarrow.decision.published.accounts import Account, RateLimit, key_sha256
from pomelobarrow.decision.published.configuration_check import check_configuration
from pomelobarrow.decision.published.routing import PoolShare, RouteKind
from pomelobarrow.platform.records import platform_sources
from pomelobarrow.published.keyspaces import CONFIG, VMS
from pomelobarrow.published.vms import VmList

SOURCES = platform_sources({"hall-a": "tallinn"})
ENTRY: dict[str, Any] = {
    "Service": "p1",
    "Address": "10.128.0.9:8080",
    "Zone": "hall-a",
    "Version": "v1",
    "Slots": 96,
    "State": "ready",
    "ColdLeftMs": 1500,
    "Sequence": 4,
}
ROUTE: dict[str, Any] = {
    "Name": "r1",
    "Host": "shop.example",
    "Prefix": "/a/",
    "Kind": "stream",
    "TimeoutMs": 4000,
    "GoalMs": 600,
    "Priority": 1,
    "Service": "p1",
    "Attempts": 2,
    "Resumable": True,
    "GapGoalMs": 400,
    "HomeRegions": ["tallinn"],
}
CONFIGURATION: dict[str, Any] = {
    "Version": 7,
    "Routes": [ROUTE],
    "Services": [
        {"Name": "p1", "MaxConnections": 490, "ColdPerS": 9.7, "Engine": {"KvTokens": 419295}},
        {"Name": "p2", "MaxConnections": 100},
    ],
    "Limits": {"HeaderBytes": 16384, "BodyBytes": 4194304, "HeaderMs": 3000, "IdleMs": 15000},
}


def server_value(**more: Any) -> Any:
    return SOURCES[VMS].value_of("servers/i-1", {**ENTRY, **more})


def routing(configuration: dict[str, Any]) -> Any:
    source = SOURCES[CONFIG]
    values = {source.key_of("op/config"): source.value_of("op/config", configuration)}
    checked = check_configuration(values, 1)
    assert isinstance(checked, Ok)
    return checked.ok_value.routing


def test_server_entry_becomes_a_listed_backend_server() -> None:
    value = server_value()
    listed = VmList()
    listed.update({"vms/i-1": value}, 1.0)
    assert list(listed.servers) == ["i-1"]
    assert (value["region"], value["pool"], value["state"]) == ("tallinn", "p1", "ready")
    assert value["cold_left_s"] == 1.5


def test_draining_server_is_leaving() -> None:
    assert server_value(State="draining", RemainingMs=2000)["state"] == "leaving"


def test_heartbeat_count_does_not_change_the_value() -> None:
    assert server_value(Sequence=5) == server_value()


def test_route_fields_are_translated() -> None:
    [route] = routing(CONFIGURATION).routes
    assert (route.kind, route.max_attempts, route.urgency) == (RouteKind.STREAM, 2, 1)
    assert (route.timeout_s, route.first_answer_target_s, route.gap_target_s) == (4.0, 0.6, 0.4)
    assert route.is_resumable
    assert route.home_regions == ("tallinn",)


def test_split_becomes_shares() -> None:
    split = [{"Service": "p1", "Weight": 90}, {"Service": "p2", "Weight": 10}]
    changed = {**{k: v for k, v in ROUTE.items() if k != "Service"}, "Split": split}
    [route] = routing({**CONFIGURATION, "Routes": [changed]}).routes
    assert route.pools == (PoolShare(pool="p1", weight=90.0), PoolShare(pool="p2", weight=10.0))


def test_pool_fields_are_translated() -> None:
    pools = routing(CONFIGURATION).pool_by_name
    assert (pools["p1"].cold_requests_per_s, pools["p1"].kv_capacity_tokens) == (9.7, 419_295)
    assert pools["p2"].cold_requests_per_s == 0.0


def with_engine(**fields: Any) -> dict[str, Any]:
    [first, *others] = CONFIGURATION["Services"]
    changed = {**first, "Engine": {**first["Engine"], **fields}}
    return {**CONFIGURATION, "Services": [changed, *others]}


def test_size_and_link_of_cached_tokens_are_translated() -> None:
    pool = routing(with_engine(KvBytes=163_840, LinkMbps=550_000.0)).pool_by_name["p1"]
    assert (pool.kv_bytes_per_token, pool.copy_link_mbps) == (163_840, 550_000.0)


def test_pool_without_size_and_link_of_cached_tokens_copies_nothing() -> None:
    pool = routing(CONFIGURATION).pool_by_name["p2"]
    assert (pool.kv_bytes_per_token, pool.copy_link_mbps) == (0, 0.0)


@pytest.mark.parametrize("name", ["KvBytes", "LinkMbps"])
@pytest.mark.parametrize("value", [-1, "fast", True, [], float("nan"), float("inf")])
def test_invalid_size_or_link_is_an_error_that_names_it(name: str, value: object) -> None:
    with pytest.raises(ValueError, match=f"^{name}: .* is not a number of at least 0$"):
        SOURCES[CONFIG].value_of("op/config", with_engine(**{name: value}))


def test_evacuation_entry_evacuates_its_failure_domain() -> None:
    source = SOURCES[CONFIG]
    keys = ("op/config", "op/evacuate/hall-a")
    items = {"op/config": CONFIGURATION, "op/evacuate/hall-a": {}}
    values = {source.key_of(key): source.value_of(key, items[key]) for key in keys}
    checked = check_configuration(values, 1)
    assert isinstance(checked, Ok)
    assert checked.ok_value.evacuated_domains == {"hall-a"}


def test_unknown_operator_key_is_ignored() -> None:
    assert SOURCES[CONFIG].key_of("op/other") is None


@pytest.mark.parametrize("missing", ["Version", "Routes", "Services"])
def test_incomplete_configuration_raises_an_error_that_the_store_client_logs(missing: str) -> None:
    broken = {name: value for name, value in CONFIGURATION.items() if name != missing}
    with pytest.raises(KeyError, match=missing):
        SOURCES[CONFIG].value_of("op/config", broken)


TENANT: dict[str, Any] = {
    "Name": "huka270",
    "Keys": ["jbvk9m68k7b2ex5wa5xw", "yhks8nbkxxmibw6kpqk8"],
    "Priority": 1,
    "Unit": "tokens",
    "PlainTokens": 200,
    "RatePerS": 796386,
    "Burst": 700000,
    "HomeRegions": ["tallinn"],
}


def test_accounts_are_translated() -> None:
    read = routing({**CONFIGURATION, "Tenants": [TENANT]})
    assert read.needs_account is True
    assert read.account_by_key_sha256[key_sha256("yhks8nbkxxmibw6kpqk8")] == Account(
        name="huka270",
        token_sha256=tuple(key_sha256(key) for key in TENANT["Keys"]),
        urgency=1,
        home_regions=("tallinn",),
        limit=RateLimit(per_s=796_386, burst=700_000, counts_tokens=True, default_cost=200),
    )


def test_published_values_hold_no_key() -> None:
    """Peers exchange these values and logs may show them."""
    value = SOURCES[CONFIG].value_of("op/config", {**CONFIGURATION, "Tenants": [TENANT]})
    assert not [key for key in TENANT["Keys"] if key in str(value)]


@pytest.mark.parametrize(
    ("tenant", "limit", "urgency"),
    [
        ({"Name": "n", "Keys": ["k"]}, None, None),
        ({"Name": "n", "RatePerS": 0, "Burst": 5}, None, None),
        ({"Name": "n", "RatePerS": 5, "Priority": 0}, RateLimit(per_s=5, burst=0), 0),
    ],
    ids=["no limit", "rate of 0", "requests"],
)
def test_fields_of_an_account_may_be_missing(
    tenant: dict[str, Any], limit: RateLimit | None, urgency: int | None
) -> None:
    [account] = routing({**CONFIGURATION, "Tenants": [tenant]}).accounts
    assert (account.limit, account.urgency, account.home_regions) == (limit, urgency, ())


@pytest.mark.parametrize(
    ("more", "needs_account"), [({}, False), ({"Tenants": None}, False), ({"Tenants": []}, True)]
)
def test_keys_are_needed_where_accounts_are_published(
    more: dict[str, Any], needs_account: bool
) -> None:
    assert routing({**CONFIGURATION, **more}).needs_account is needs_account


def test_public_route_is_translated() -> None:
    public = {**ROUTE, "Public": True}
    assert routing({**CONFIGURATION, "Routes": [public]}).routes[0].is_public
    assert not routing(CONFIGURATION).routes[0].is_public
