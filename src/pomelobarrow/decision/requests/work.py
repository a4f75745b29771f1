"""Value types shared by the decision logic: requests, backend servers, load and placements."""

from functools import cached_property

from attrs import field, frozen

from pomelobarrow.decision.published.configuration import Rank


@frozen(kw_only=True)
class Work:
    """One accepted request; all times are Unix seconds by this VM's clock."""

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
    # Chained hashes of the prompt's leading blocks; the last one stands for the longest prefix.
    prefix_hashes: tuple[int, ...] = ()
    # Length of the part of the prompt that the caller declares as shared with other requests; 0 if
    # undeclared. If it is declared, the prefix hashes cover that part only.
    shared_tokens: int = 0
    accepted_unix_s: float
    first_token_due_unix_s: float
    deadline_unix_s: float
    # Longest pause allowed between two events of the response stream; 0 means no target.
    gap_target_s: float = 0.0


@frozen(kw_only=True)
class BackendServer:
    """A backend server as listed by the platform."""

    name: str
    region: str
    failure_domain: str
    address: str
    pool: str
    slots: int
    kv_capacity_tokens: int
    leaving: bool = False
    checks_fencing: bool = False
    # Until then the server is cold and gets requests at a limited rate.
    cold_until_unix_s: float = 0.0
    # Start time of this incarnation; 0 if unknown. A server that restarts under the same name is a
    # new incarnation: its cache is empty, and the requests sent to the previous one are lost.
    born_unix_ms: int = 0
    # The version of its software, not of the weights that it serves; empty if its entry names none.
    software_version: str = ""
    # The lease expired and the server hadn't announced that it leaves: either the server is gone,
    # or the platform that keeps the list was unreachable.
    is_lease_expired: bool = False

    @cached_property
    def incarnation(self) -> str:
        """Return the key under which data about this incarnation is kept: name and start time."""
        return f"{self.name}@{self.born_unix_ms}"


@frozen(kw_only=True)
class LoadReport:
    """Load that a backend server reports about itself, as of the time of measurement."""

    server: str
    measured_unix_s: float
    running: int
    waiting: int
    kv_tokens_used: int = 0
    queued_prefill_tokens: int = 0
    leaving: bool = False
    # The factor by which work takes longer there now; 1.0 is usual, None if not stated.
    slowdown: float | None = None
    # A partial report came with an answer instead of a poll. It has the number of requests at one
    # moment, and no token counts.
    is_partial: bool = False


@frozen(kw_only=True)
class InFlight:
    """Requests and prompt tokens that one entry VM has in flight on one backend server."""

    requests: int = 0
    tokens: int = 0


@frozen(kw_only=True)
class Placement:
    """The backend server chosen for a request, with expected wait, cost and reason."""

    server: BackendServer
    expected_wait_s: float
    # The expected wait plus the delay that prefilling the prompt there causes for other requests.
    cost_s: float = 0.0
    # The part of the cost that is due to pauses in streams, those running there and its own.
    pause_cost_s: float = 0.0
    cached_tokens: int = 0
    # The address of the server that this one copies the prompt's shared part from; empty for none.
    copy_from: str = ""
    # The prompt tokens whose computation the copy saves, less those computed in the time it takes.
    copied_tokens: int = 0
    reason: str = field(default="")
