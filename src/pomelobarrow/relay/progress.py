"""State of one relayed request across its attempts."""

from attrs import define, evolve, field

from pomelobarrow.backends.answer_buffers import AnswerBuffer
from pomelobarrow.decision.published.routing import Routing
from pomelobarrow.decision.requests.placement_request import (
    ExcludedTargets,
    PeerPlacement,
    PlacementRequest,
)
from pomelobarrow.decision.streams.stream_position import StreamPosition
from pomelobarrow.relay.answer import ClientAnswer
from pomelobarrow.relay.messages import RelayRequest
from pomelobarrow.relay.next_step import AttemptHistory

DEADLINE_PASSED = "the deadline passed before the answer was complete"
STOPPED = "this VM stopped before the answer was complete"


@define(kw_only=True)
class RequestProgress:
    """Track one relayed request from its first attempt to its answer."""

    request: RelayRequest
    sink: ClientAnswer
    routing: Routing
    history: AttemptHistory
    position: StreamPosition
    buffer: AnswerBuffer
    excluded: ExcludedTargets = field(factory=ExcludedTargets)
    # The connections that could not be opened since probes last decided about the pool, when the
    # last of them began, and the servers among their targets that did not refuse them.
    unopened_connections: int = 0
    unopened_unix_s: float = 0.0
    unopened_in_time: set[str] = field(factory=set)
    first_answer_unix_s: float | None = None
    # The longest time between two events of the stream so far.
    longest_pause_s: float = 0.0
    # True if the request counts among those that the retry budget is a share of.
    is_arrival_recorded: bool = False
    # The software that began the stream, as a key; None until the client has an event.
    software_key: int | None = None
    # True if one retry has been taken from the retry budget and not used yet.
    is_retry_reserved: bool = False
    # True if no server in service runs the software that began the stream.
    is_software_gone: bool = False
    # True if this VM stopped before the deadline.
    is_stopped: bool = False
    # The expected wait that was too long when no target was found; 0 if there is no server.
    unplaced_wait_s: float = 0.0

    @property
    def for_placement(self) -> PlacementRequest:
        """Return the data that placement needs, with the software that began the stream."""
        placed = self.request.for_placement
        if self.software_key == placed.software_key:
            return placed
        return evolve(placed, software_key=self.software_key)

    def note_timeout(self, end_unix_s: float) -> None:
        """Record whether the deadline or the end of a planned stop ended the request."""
        self.is_stopped = end_unix_s < self.request.work.deadline_unix_s
        self.history.last_detail = STOPPED if self.is_stopped else DEADLINE_PASSED

    def exclude_refusing_target(self, decision: PeerPlacement) -> None:
        """Exclude the server whose coordinator refused, or else the region of the peer."""
        if decision.server:
            self.excluded.servers.add(decision.server)
        else:
            self.excluded.regions.add(decision.member.region)

    @property
    def resume_after(self) -> str:
        """Return the id of the last event that the client has; empty if it has none."""
        return self.position.last_event_id


def first_position(request: RelayRequest) -> StreamPosition:
    """Return the client's position; a server may ignore it where no stream may be resumed."""
    last_id = request.head.last_event_id if request.route.is_resumable else ""
    return StreamPosition(last_id=last_id.encode(errors="surrogateescape"))
