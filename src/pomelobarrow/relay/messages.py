"""Types of relayed requests, their answers and attempts."""

from functools import cached_property

from attrs import field, frozen

from pomelobarrow.backends.single_use import BodyEnd
from pomelobarrow.decision.published.accounts import Account
from pomelobarrow.decision.published.announcements import ServerAnnouncement
from pomelobarrow.decision.published.routing import Route
from pomelobarrow.decision.requests.attempt_states import AttemptEnd
from pomelobarrow.decision.requests.fingerprint import fingerprint, part_fingerprint
from pomelobarrow.decision.requests.placement_request import PlacementRequest
from pomelobarrow.decision.requests.work import Work
from pomelobarrow.decision.streams.software_history import StreamTarget
from pomelobarrow.decision.streams.stream_position import StreamRun

Headers = tuple[tuple[str, str], ...]


def path_of(target: str) -> str:
    """Return a request target without its query."""
    return target.partition("?")[0]


@frozen(kw_only=True)
class PromptPart:
    """Identify a part of a prompt; its id is the same in all prompts that share the part."""

    id: str
    tokens: int


@frozen(kw_only=True)
class RequestHead:
    """Represent the parsed headers of a request; `headers` are forwarded to the backend server."""

    request_id: str
    headers: Headers
    # The time that the client is ready to wait; None if it states none.
    time_limit_s: float | None = None
    model: str | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    # The sum of the token counts that the client states; None if it states none.
    counted_tokens: int | None = None
    # The last event that the client has received of a stream that broke off.
    last_event_id: str = ""
    # The client's request that got the first event of that stream; empty if the client names none.
    resumes: str = ""
    # The hash of the key of the client's account; empty if it sent none.
    key_sha256: str = field(default="", repr=False)

    @property
    def group(self) -> str:
        """Return the id of the last shared part, which identifies the group of the prompt.

        Earlier parts may be shared by many groups. By the first part, a thousand groups with four
        system prompts would count as four, each cached on a few servers whose memory overflows.
        """
        return self.prompt_parts[-2].id if len(self.prompt_parts) > 1 else ""

    @property
    def shared_tokens(self) -> int:
        """Return the number of prompt tokens shared with other prompts."""
        return sum(part.tokens for part in self.prompt_parts[:-1])


@frozen(kw_only=True)
class RelayRequest:
    """Represent a request that is being relayed; `target` is its path and query, byte for byte."""

    head: RequestHead
    route: Route
    work: Work
    method: str
    host: str
    target: str
    body: bytes = field(default=b"", repr=False)
    # None on public routes and where no accounts are published.
    account: Account | None = field(default=None, repr=False)
    # The VM that forwarded it. Such a request runs here or is refused: if it were forwarded again,
    # VMs with different views could send it in a loop.
    forwarded_by: str = ""
    # The number of backend servers that it may still be sent to.
    attempts_left: int = 1
    # The software that began the stream that the client takes up, as a key; None for a new request.
    software_key: int | None = None
    # The version of the routes under which the request was admitted, as a header carries it.
    routing_version: str = "0"

    @property
    def stream_target(self) -> StreamTarget:
        """Return what determines the route of a client that takes up this stream."""
        return StreamTarget(self.host, path_of(self.target))

    @cached_property
    def fingerprint(self) -> int:
        """Return a hash that is equal for requests with the same method, host, target and body."""
        return fingerprint("", self.method, self.host, self.target, self.body)

    @cached_property
    def parts_by_fingerprint(self) -> dict[int, str]:
        """Return the ids of the prompt's parts by fingerprint, without its own last one."""
        ids = [part.id for part in self.head.prompt_parts[:-1]]
        return {part_fingerprint(self.work.pool, id_): id_ for id_ in ids}

    @property
    def for_placement(self) -> PlacementRequest:
        """Return the data of this request that placement needs."""
        return PlacementRequest(
            route=self.route,
            work=self.work,
            group=self.head.group,
            software_key=self.software_key,
            is_forwarded=bool(self.forwarded_by),
        )


@frozen(kw_only=True)
class ServerCounts:
    """Represent the running and waiting requests that a backend server reports."""

    running: int
    waiting: int
    # The factor by which work takes longer there now; 1.0 is usual, None if not stated.
    slowdown: float | None = None
    # True if the server states a slowdown that can't be.
    is_slowdown_invalid: bool = False


@frozen(kw_only=True)
class ServerAnswerHead:
    """Represent the head of a backend server's answer; `headers` are forwarded to the client."""

    status: int
    headers: Headers
    request_id: str = ""
    # True if the answer carries the seal of the server.
    is_sealed: bool = False
    # True if the server states that the request did not run.
    is_not_run: bool = False
    # True if another server than the intended one answered, such as the next user of its address.
    is_other_server: bool = False
    # True if a peer states that it sent the request to no server.
    is_unsent: bool = False
    # True if a peer refused the request unsent because such requests crash servers.
    is_blocked: bool = False
    # True if a peer states that it reaches no server of the pool.
    is_pool_unreachable: bool = False
    # The server of a peer that crashed while it ran the request, hashed as in crash updates.
    ended_server_key: int | None = None
    # The software of the server of a peer that answers; None if the peer doesn't state it.
    software_key: int | None = None
    # The server of a peer that states that it leaves, hashed as in updates between VMs.
    leaving_server_key: int | None = None
    # The requests that run and wait at the server; None if it reports none.
    counts: ServerCounts | None = None
    # True if it reports numbers of requests that can't be.
    is_load_invalid: bool = False
    announced: ServerAnnouncement = ServerAnnouncement()
    # Why a peer does not state whether the request ran; empty on a backend server's answer.
    lost_detail: str = ""

    @property
    def is_success(self) -> bool:
        """Return whether the request succeeded."""
        return 200 <= self.status < 300


@frozen(kw_only=True)
class WholeAnswer:
    """Represent a complete answer of a backend server."""

    head: ServerAnswerHead
    body_parts: tuple[bytes, ...] = field(default=(), repr=False)

    @property
    def size_bytes(self) -> int:
        """Return the size of the body."""
        return sum(map(len, self.body_parts))


@frozen(kw_only=True)
class AttemptReport:
    """Describe how an attempt ended and why."""

    end: AttemptEnd
    detail: str = ""
    # True if the other end closed the connection without a complete answer.
    is_closed: bool = False
    # True if the address refused the connection, as that of a process that has ended does.
    is_connection_refused: bool = False
    # The part of the answer that was larger than its limit; empty if none was.
    over_limit: str = ""
    answer: WholeAnswer | None = None
    # True if the head of an answer arrived.
    has_head: bool = False
    # True if a peer refused the request since it reaches no server of the pool.
    is_pool_unreachable: bool = False
    first_answer_unix_s: float | None = None
    # The longest time between two events of a stream; 0 if there was no second one.
    longest_pause_s: float = 0.0
    # What the attempt brought of a stream, and what marks the end of its answer's body.
    stream: StreamRun = field(factory=StreamRun)
    body_end: BodyEnd = BodyEnd.UNKNOWN
    # True if the attempt did not go on after the last event that the client has.
    is_join_rejected: bool = False
    # What the other end stated with the head of its answer.
    announced: ServerAnnouncement = ServerAnnouncement()
