"""Prove with real daemons that a request that crashes servers reaches no fourth one."""

import time
from random import Random

import pytest
from callers import chat, chat_body, wait_until
from proof_report import Figure

from harness.fleet import HOST, Fleet
from soak.__main__ import wait_ready
from soak.fleet import SoakFleet
from soak.fragile import CRASHES_TO_BLOCK, FragileServers

pytestmark = pytest.mark.proof

SENDING_S = 12.0
DEADLINE_S = 6.0
POOL, MODEL, CLASS = "drafting", "note-small", "changelog-note"
CRASHING_TEXT = "ends the engine that runs it"


async def test_crashing_request_ends_three_servers_of_two_regions_at_most() -> None:
    """Four daemons in two regions get the request, and each observes only some of the crashes."""
    async with SoakFleet(random=Random(1)) as fleet:
        await wait_ready(fleet)
        fragile = FragileServers(fleet=fleet, random=Random(2))
        await fragile.start()
        await fragile.send_until(time.monotonic() + SENDING_S)
        await fragile.stop()
    assert (len(fragile.crashes_s), fragile.find_violations()) == (CRASHES_TO_BLOCK, [])
    assert fragile.served_share(time.monotonic() - SENDING_S / 2) > 0.8


async def test_crashing_chat_request_ends_engines_three_times_at_most(
    rondinella: Fleet, record_property: Figure
) -> None:
    """Callers send identical requests to every entry VM; engines restart under the same names."""
    fleet = rondinella
    engines = [name for name, plan in fleet.servers.items() if plan.pool.name == POOL]
    await _reach_engines_directly(fleet, engines)
    body = chat_body(MODEL, text=CRASHING_TEXT)
    ended, reply = 0, None
    for vm in (*fleet.entries, *fleet.entries):
        deadline = {"Pomelobarrow-Deadline": str(time.time() + DEADLINE_S)}
        reply = await chat(fleet, fleet.direct(vm), "paying-milan", CLASS, body, **deadline)
        ended += await _start_ended(fleet, engines)
    record_property("times that an engine ended", str(ended))
    assert ended == CRASHES_TO_BLOCK
    assert reply is not None
    assert reply.problem is not None
    assert (reply.problem["kind"], reply.problem["run"]) == ("crashes_servers", "no")
    assert "Retry-After" not in reply.headers


async def _start_ended(fleet: Fleet, engines: list[str]) -> int:
    """Restart the engines that have exited and return their number."""
    ended = [name for name in engines if fleet.processes.running[name].poll() is not None]
    for name in ended:
        fleet.start_server(name)
        await _let_crash(fleet, name)
    return len(ended)


async def _let_crash(fleet: Fleet, name: str) -> None:
    address = f"{HOST}:{fleet.servers[name].port}"
    await fleet.post(address, "/admin/mode", {"crash_on": CRASHING_TEXT})


async def _reach_engines_directly(fleet: Fleet, engines: list[str]) -> None:
    """List engines without the proxy, which would accept connections for a crashed engine."""
    changes = {
        f"vms/{name}": fleet.server_value(name) | {"address": f"{HOST}:{fleet.servers[name].port}"}
        for name in engines
    }
    revision = await fleet.publish("vms", changes)
    for name in engines:
        await _let_crash(fleet, name)

    async def is_in_force() -> bool:
        states = [await fleet.status(vm) for vm in fleet.entries]
        return all(state["keyspaces"]["vms"]["revision"] >= revision for state in states)

    await wait_until(is_in_force)
