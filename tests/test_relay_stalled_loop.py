"""What clients receive from a VM whose process stands still for a moment."""

import asyncio
import time
from collections import Counter

import pytest
from relay_harness import RelayVm, ask, relay_fleet, route
from scripted_server import answers, writes_unframed

from pomelobarrow.backends.reach_monitor import ReachMonitor
from pomelobarrow.decision.admission.retry_share import RetryBound
from pomelobarrow.decision.published.routing import RouteKind
from pomelobarrow.decision.requests.work import BackendServer
from pomelobarrow.decision.servers.process_state import ProcessState
from pomelobarrow.dispatch.events import PoolUnreachable
from pomelobarrow.relay.events import RelayPlaced

REQUESTS = 24
# Longer than the time in which a connection to a server must open.
STALL_S = 0.6
NO_RETRIES = RetryBound(ratio=0.0, slack=0.0, window_s=10.0)


async def _stall_while_connecting(vm: RelayVm) -> None:
    while sum(isinstance(event, RelayPlaced) for event in vm.events) < REQUESTS // 2:
        await asyncio.sleep(0)
    stalled_until_s = time.monotonic() + STALL_S
    while time.monotonic() < stalled_until_s:
        pass


async def test_stalled_vm_does_not_take_its_servers_for_unreachable() -> None:
    """Connections that the process had been too slow to open counted against all servers."""
    bound = route(RouteKind.NON_IDEMPOTENT, home_regions=("a",))
    servers = {"a": {"s1": answers(), "s2": answers()}}
    async with relay_fleet((bound,), servers, NO_RETRIES) as fleet:
        vm = fleet.vms["a"]
        ids = [{"Pomelobarrow-Request-Id": f"r{number}"} for number in range(REQUESTS)]
        stalled = asyncio.create_task(_stall_while_connecting(vm))
        sent = await asyncio.gather(*(ask(vm, "/non_idempotent/", headers=id_) for id_ in ids))
        await stalled
    assert Counter(answer.status for answer in sent) == {200: REQUESTS}
    assert not [event for event in vm.events if isinstance(event, PoolUnreachable)]


async def test_time_limits_that_end_in_the_same_step_leave_an_answer_whole(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The client got 500 in place of the answer of a server that was probed meanwhile."""

    async def take_cancellation_for_own(
        monitor: ReachMonitor, server: BackendServer
    ) -> ProcessState:
        task = asyncio.current_task()
        assert task is not None
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            task.uncancel()
        return ProcessState.RUNNING

    monkeypatch.setattr(ReachMonitor, "check_server", take_cancellation_for_own)
    asked = route(RouteKind.IDEMPOTENT, max_attempts=2)
    script = writes_unframed(b"whole")
    async with relay_fleet((asked,), {"a": {"s1": script, "s2": script}}) as fleet:
        answer = await ask(fleet.vms["a"], "/idempotent/")
    assert (answer.status, answer.body) == (200, b"whole")
