"""Prove that the callers of a VM that has lost its links to all servers are served."""

import asyncio
from collections import Counter

import pytest
from callers import Reply, chat, chat_body, wait_until
from proof_report import Figure

from harness.deployments import VASKTORU
from harness.fleet import Fleet

pytestmark = pytest.mark.proof

HOME = "tallinn"
CUT_VM = f"{HOME}-1"
REQUESTS = 24


async def _reviews(fleet: Fleet, vm: str) -> list[Reply]:
    body = chat_body("contract-reader")
    address = fleet.direct(vm)
    return await asyncio.gather(
        *(chat(fleet, address, f"paying-{HOME}", "contract-review", body) for _ in range(REQUESTS))
    )


@pytest.mark.parametrize("cut", ["refuse", "cut"])
async def test_home_bound_requests_of_a_vm_without_links_are_answered(
    cut: str, figure: Figure
) -> None:
    """Home-bound requests were refused at a VM without links, though its neighbour had some."""
    async with Fleet(VASKTORU, has_vm_links=True) as fleet:
        await fleet.fault(f"link/{CUT_VM}/*", cut)
        during = await _reviews(fleet, CUT_VM)
        at_others = await _reviews(fleet, f"{HOME}-2")
        await fleet.fault(f"link/{CUT_VM}/*", "pass")

        async def is_reachable() -> bool:
            return not (await fleet.status(CUT_VM))["dispatch"]["unreachable_pools"]

        await wait_until(is_reachable)
        after = await _reviews(fleet, CUT_VM)
    figure("answered at the cut VM", sum(reply.is_answered for reply in during))
    replies = (*during, *at_others, *after)
    assert Counter(reply.status for reply in replies) == {200: 3 * REQUESTS}
    assert all(reply.is_answered for reply in replies)
