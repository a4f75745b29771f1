"""What the decision logic knows of a request, a backend server and its load."""

from attrs import field, frozen

from pomelobarrow.decision.configuration import Rank


@frozen(kw_only=True)
class Work:
    """Describe one accepted request; all times are Unix seconds by this VM's clock."""

    request_id: str
    class_name: str
    account: str
    rank: Rank
    pool: str
    model: str | None
    home_region: str
    home_bound: bool
    repeatable: bool
    prompt_tokens: int
    expected_output_tokens: int
    # Hashes of the prompt's leading blocks, longest prefix last.
    prefix_hashes: tuple[int, ...] = ()
    # Where the caller says how much of its prompt others share; the hashes are then of that part.
    shared_tokens: int = 0
    accepted_unix_s: float
    first_token_due_unix_s: float
    deadline_unix_s: float
    # The longest pause between two events of a stream that is on time; 0 where none is stated.
    gap_target_s: float = 0.0


@frozen(kw_only=True)
class BackendServer:
    """Describe a backend server as the platform lists it."""

    name: str
    region: str
    failure_domain: str
    address: str
    pool: str
    slots: int
    kv_capacity_tokens: int
    leaving: bool = False
    checks_fencing: bool = False
    # Until then it bears few requests.
    cold_until_unix_s: float = 0.0
    # When this incarnation started; 0 where it isn't told. A server that starts again under its
    # name is another one: its cache is empty, and what was sent to it before is gone.
    born_unix_ms: int = 0
    # Its lease lapsed without a word that it leaves: gone, or the list's keeper was away.
    is_lease_expired: bool = False

    @property
    def incarnation(self) -> str:
        """Return the name and the start, the key of what was learned of this one."""
        return f"{self.name}@{self.born_unix_ms}"


@frozen(kw_only=True)
class LoadReport:
    """Hold a backend server's own report; it lags, so it says when it was true."""

    server: str
    measured_unix_s: float
    running: int
    waiting: int
    kv_tokens_used: int = 0
    queued_prefill_tokens: int = 0
    leaving: bool = False
    # Whether it came with an answer: it then tells the requests at one moment and no tokens.
    is_partial: bool = False


@frozen(kw_only=True)
class InFlight:
    """Count what one entry VM has in flight on one backend server."""

    requests: int = 0
    tokens: int = 0


@frozen(kw_only=True)
class Placement:
    """Name the backend server chosen and why."""

    server: BackendServer
    expected_wait_s: float
    # The expected wait, and what reading the prompt there costs all others, in seconds.
    cost_s: float = 0.0
    # The part of that cost that its reading puts on running streams.
    pause_cost_s: float = 0.0
    cached_tokens: int = 0
    reason: str = field(default="")
