"""How far one relayed request has got."""

from attrs import define, field

from pomelobarrow.decision.placement_request import ExcludedTargets
from pomelobarrow.decision.routing import Routing
from pomelobarrow.relay.answer import ClientAnswer
from pomelobarrow.relay.event_splitter import EventSplitter
from pomelobarrow.relay.messages import RelayRequest
from pomelobarrow.relay.next_step import Tries


@define(kw_only=True)
class RequestProgress:
    """Hold how far one request has got."""

    request: RelayRequest
    sink: ClientAnswer
    routing: Routing
    tries: Tries
    splitter: EventSplitter
    excluded: ExcludedTargets = field(factory=ExcludedTargets)
    first_answer_unix_s: float | None = None
    # The longest time between two events so far.
    longest_pause_s: float = 0.0
    # Whether one more arrival at a server is counted already.
    has_repeat: bool = False
    # The wait that was too long when nobody could get the request; 0 where there is no server.
    nowhere_wait_s: float = 0.0
