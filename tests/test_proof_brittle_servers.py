"""Prove that brittle servers stay up where daemons have more requests than slots."""

import asyncio
from collections import Counter

import pytest
from proof_report import Figure

from harness.deployments import Deployment, PoolPlan
from harness.fleet import Fleet

pytestmark = pytest.mark.proof

SLOTS = 4
BRITTLE_PER_S = 2
WARM_UP, REQUESTS = 4, 60
LATENCY_S = 0.2
ONE_REGION = Deployment(
    name="one-region",
    regions=("milan",),
    objective="cost",
    domain_delay_s=0.001,
    vms_per_region=3,
    pools=(
        PoolPlan(
            name="hooks",
            kind="service",
            service="hooks",
            servers_by_region={"milan": 2},
            slots=SLOTS,
            options=("--latency-s", str(LATENCY_S)),
        ),
    ),
    models={},
    classes={
        "call": {
            "pool": "hooks",
            "repeatable": False,
            "first_token_target_s": 2.0,
            "finish_target_s": 20.0,
        },
    },
)


async def _call(fleet: Fleet, vm: str) -> int:
    assert fleet.session is not None
    url = f"http://{fleet.direct(vm)}/services/hooks/x"
    headers = fleet.headers("paying-milan", "call")
    async with fleet.session.post(url, headers=headers, data=b"{}") as response:
        await response.read()
        return response.status


async def _call_everywhere(fleet: Fleet, calls: int) -> "Counter[int]":
    each = calls // len(fleet.entries)
    sending = (_call(fleet, vm) for vm in fleet.entries for _ in range(each))
    return Counter(await asyncio.gather(*sending))


async def test_brittle_servers_stay_up_under_more_requests_than_slots(figure: Figure) -> None:
    """Daemons sent more than the slots, and servers fell over from what they had to reject."""
    async with Fleet(ONE_REGION) as fleet:
        mode = {"max_waiting": 0, "brittle_per_s": BRITTLE_PER_S}
        for server in fleet.servers.values():
            await fleet.post(f"127.0.0.1:{server.port}", "/admin/mode", mode)
        for _ in range(WARM_UP):
            await _call_everywhere(fleet, len(fleet.entries))
        statuses = await _call_everywhere(fleet, REQUESTS)
        ended = [name for name in fleet.servers if fleet.processes.running[name].poll() is not None]
        figure("answered of sixty", statuses[200])
    assert ended == []
    assert statuses == {200: REQUESTS}
