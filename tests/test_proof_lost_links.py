"""Prove guarantee 4: each request is answered while links between entry VMs keep breaking."""

import asyncio
from random import Random

import pytest
from callers import Reply, chat, chat_body
from proof_report import Figure

from harness.fleet import Fleet

REQUESTS = 500
# More callers than slots in the home region, so that forwards wait there while their links break.
CALLERS_PER_VM = 9
REPLIES_PER_BREAK = 8
TOKENS = (4, 40, 400)


class Load:
    """Callers of all entry VMs with work bound to one region, who also break links at random."""

    def __init__(self, fleet: Fleet, rng: Random) -> None:
        self.fleet, self.rng = fleet, rng
        self.replies: list[Reply] = []
        self.links_broken = 0
        regions = fleet.deployment.regions
        self._links = [f"peer/{region}/{vm}" for region in regions for vm in fleet.entries]

    async def keep_sending(self, vm: str) -> None:
        """Send one request after the other until REQUESTS have been answered."""
        while len(self.replies) < REQUESTS:
            body = chat_body("draft-large", self.rng.choice(TOKENS))
            address = self.fleet.direct(vm)
            self.replies.append(await chat(self.fleet, address, "paying-milan", "draft", body))
            if len(self.replies) % REPLIES_PER_BREAK == 0:
                await self._break_a_link()

    async def _break_a_link(self) -> None:
        link = self.rng.choice(self._links)
        await self.fleet.fault(link, "close")
        await self.fleet.fault(link, "pass")
        self.links_broken += 1


@pytest.mark.proof
async def test_each_request_is_answered_while_links_keep_breaking(
    rondinella: Fleet, figure: Figure
) -> None:
    # A caller waited for minutes. The link over which its request was forwarded broke while the
    # request waited for a server. The engine was sent a cancellation and refused the retry under
    # the same id. Once every server had refused it, the request waited for one that had not.
    load = Load(rondinella, Random(2))
    vms = [vm for vm in rondinella.entries for _ in range(CALLERS_PER_VM)]
    await asyncio.gather(*(load.keep_sending(vm) for vm in vms))
    figure("requests", len(load.replies))
    figure("links broken", load.links_broken)
    lost = [each for each in load.replies if not each.is_answered]
    figure("not answered", len(lost))
    assert [(each.status, each.problem, each.error) for each in lost] == []
