"""VMs of two regions, each on its own loopback address, for tests with real datagrams."""

from collections.abc import Mapping

from pomelobarrow.decision.members.member import Member
from pomelobarrow.decision.members.membership import MembershipView
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.kernel.settings import PeerKey

KEY = PeerKey(id="k1", secret="a secret of the fleet")
REGION_BY_VM = {"a-1": "a", "a-2": "a", "a-3": "a", "b-1": "b"}
HOST_BY_VM = {vm: f"127.0.0.{index + 1}" for index, vm in enumerate(REGION_BY_VM)}


def member(vm: str) -> Member:
    """Return the description of a VM."""
    return Member(
        vm=vm,
        incarnation=1,
        region=REGION_BY_VM[vm],
        peer_address=f"{HOST_BY_VM[vm]}:1",
        sequence=1,
    )


def view_of(vm: str, described: Mapping[str, Member] | None = None) -> MembershipView:
    """Return the view of a VM to which all others are live, some of them as described."""
    view = MembershipView(vm, REGION_BY_VM[vm])
    view.observe_own(member(vm))
    for other in REGION_BY_VM:
        if other != vm:
            view.observe_heartbeat((described or {}).get(other, member(other)), now_unix_s())
    return view
