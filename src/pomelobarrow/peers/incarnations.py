"""Keep this VM's incarnation above those of its earlier processes."""

import structlog
from attrs import evolve

from pomelobarrow.decision.members.membership import MembershipView
from pomelobarrow.decision.requests.request_ids import RequestIdLedger
from pomelobarrow.kernel.context import Context
from pomelobarrow.peers.forward_server import ForwardServer
from pomelobarrow.peers.table import PeerTable

# Start times in microseconds stay below this for a hundred thousand years, and the next
# incarnations fit 64 bits.
MAX_INCARNATION = 2**62

log = structlog.get_logger(__name__)


def keep_incarnation_newest(context: Context) -> None:
    """Raise this VM's incarnation above those that other VMs know of it.

    Incarnations are start times. After the system clock was set back, other VMs would ignore this
    process as an earlier one. Called before the VM is ready: forwards and request ids in progress
    are known by the incarnation that sent them.
    """
    view = context.get(MembershipView)
    known = view.own_incarnation_of_peers
    if not context.incarnation < known < MAX_INCARNATION:
        return
    log.warning(
        "incarnation raised, as the system clock was set back",
        incarnation=known + 1,
        at_start=context.incarnation,
    )
    context.incarnation = known + 1
    view.observe_own(evolve(view.own, incarnation=context.incarnation))
    context.get(ForwardServer).incarnation = context.incarnation
    # Peers have ignored what the heartbeats so far held.
    context.get(PeerTable).send_all_again()
    context.get(RequestIdLedger).raise_incarnation(context.incarnation)
