"""Orders to engines when the VM that gave them freezes and wakes (real processes)."""

import pytest
from callers import wait_until

CHECKING = "drafting-milan-1"
IGNORING = "drafting-milan-2"
MODEL = "draft-large"


async def taken(fleet, server, kind):
    """Return the versions that an engine took by orders of one kind, in order."""
    address = f"127.0.0.1:{fleet.servers[server].port}"
    log = (await fleet.get(address, "/admin/orders"))["orders"]
    return [each["version"] for each in log if each["order"] == kind and not each["refused"]]


async def publish_version(fleet, version):
    value = {"pool": "drafting", "version": version}
    return await fleet.publish("config", {f"models/{MODEL}": value})


async def served_everywhere(fleet, version):
    loaded = await taken(fleet, IGNORING, "load_model")
    served = await taken(fleet, CHECKING, "serve_version")
    return version in loaded and served[-1:] == [version]


@pytest.mark.proof
async def test_order_of_a_vm_that_wakes_undoes_nothing(rondinella, figure):
    """The operator publishes a version and it stays in service, whoever froze meanwhile.

    Each VM of Milan in turn freezes; the operator publishes a new version; the other VM takes the
    frozen one's engines over and orders it; the first wakes with its old view. It owns engines
    again later, and must neither undo the version nor order anything else than loads from the
    engine that checks no numbers.
    """
    fleet = rondinella
    fleet.processes.kill(CHECKING)
    fleet.start_server(CHECKING, "--checks-fencing")
    listed = {**fleet.server_value(CHECKING), "checks_fencing": True}
    await fleet.publish("vms", {f"vms/{CHECKING}": listed})
    await publish_version(fleet, "v0")
    await wait_until(lambda: served_everywhere(fleet, "v0"))
    for number, vm in enumerate(fleet.in_region("milan"), start=1):
        fleet.freeze(vm)
        revision = await publish_version(fleet, f"v{number}")
        await wait_until(lambda version=f"v{number}": served_everywhere(fleet, version))
        fleet.thaw(vm)
        await wait_until(lambda vm=vm, revision=revision: is_in_force(fleet, vm, revision))
    served = await taken(fleet, CHECKING, "serve_version")
    assert served == sorted(served)
    assert await taken(fleet, IGNORING, "serve_version") == []
    figure("orders served by the checking engine", len(served))


async def is_in_force(fleet, vm, revision):
    return (await fleet.status(vm))["keyspaces"]["config"]["revision"] >= revision
