"""Orders to engines while the VM that sends them is frozen and resumed (real processes)."""

import pytest
from callers import wait_until

CHECKING = "drafting-milan-1"
IGNORING = "drafting-milan-2"
MODEL = "draft-large"


async def accepted_versions(fleet, server, kind):
    """Return the versions of the orders of one kind that an engine accepted, in order."""
    address = f"127.0.0.1:{fleet.servers[server].port}"
    log = (await fleet.get(address, "/admin/orders"))["orders"]
    return [each["version"] for each in log if each["order"] == kind and not each["refused"]]


async def publish_version(fleet, version):
    value = {"pool": "drafting", "version": version}
    return await fleet.publish("config", {f"models/{MODEL}": value})


async def served_everywhere(fleet, version):
    loaded = await accepted_versions(fleet, IGNORING, "load_model")
    served = await accepted_versions(fleet, CHECKING, "serve_version")
    return version in loaded and served[-1:] == [version]


@pytest.mark.proof
async def test_order_of_a_vm_that_wakes_undoes_nothing(rondinella, figure):
    """A published version stays in service although a VM with an outdated view resumes.

    Each VM of Milan in turn is frozen and the operator publishes a new version. The other VM takes
    over the frozen VM's engines and sends the orders. The frozen VM resumes with its old view and
    owns engines again later. It must not undo the version, and must send only load orders to the
    engine that checks no fencing numbers.
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
    served = await accepted_versions(fleet, CHECKING, "serve_version")
    assert served == sorted(served)
    assert await accepted_versions(fleet, IGNORING, "serve_version") == []
    figure("orders served by the checking engine", len(served))


async def is_in_force(fleet, vm, revision):
    return (await fleet.status(vm))["keyspaces"]["config"]["revision"] >= revision
