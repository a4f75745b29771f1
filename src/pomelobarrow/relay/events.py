"""Events about relayed requests, for logs and metrics."""

from collections.abc import Mapping

from attrs import frozen


@frozen(kw_only=True)
class RelayPlaced:
    """Report where a request is sent, and what that was decided on."""

    request_id: str
    route: str
    pool: str
    routing_version: int
    attempt: int
    # A backend server or a peer.
    target: str
    target_region: str
    reason: str
    expected_first_answer_s: float
    prompt_tokens: int
    # What others share of the prompt, under the name of its first part, and how much of that the
    # server is thought to hold.
    group: str
    shared_tokens: int
    cached_tokens: int
    # The mean age of what peers told of their own requests.
    view_age_s: float
    servers_usable: int
    time_left_s: float


@frozen(kw_only=True)
class RelayNotPlaced:
    """Report that nobody may get a request now, and what that was decided on."""

    request_id: str
    route: str
    pool: str
    routing_version: int
    attempts: int
    reason: str
    # The wait that was too long; 0 where there is no server at all.
    expected_wait_s: float
    # This region's servers of the pool: listed, not ejected nor leaving, and cold.
    servers_listed: int
    servers_usable: int
    servers_cold: int
    # Other regions heard of late, with how many servers of the pool, and whom it has been to.
    servers_elsewhere: dict[str, int]
    excluded: list[str]
    view_age_s: float
    time_left_s: float


@frozen(kw_only=True)
class RelayAttemptEnded:
    """Report how one sending of a request ended."""

    request_id: str
    route: str
    pool: str
    attempt: int
    target: str
    end: str
    status: int
    detail: str
    took_s: float
    first_answer_s: float | None
    longest_pause_s: float


@frozen(kw_only=True)
class ServerEjected:
    """Report that a server gets no work for a while because it failed."""

    server: str
    pool: str
    detail: str


@frozen(kw_only=True)
class ServerReadmitted:
    """Report that a server that was ejected has answered."""

    server: str
    pool: str


@frozen(kw_only=True)
class DirectoryChanged:
    """Report that callers of a failure domain are led to other VMs than before."""

    region: str
    failure_domain: str
    # Each VM named, with the seconds since it was last heard.
    named: Mapping[str, float]
    # The VMs known in that region that aren't named.
    left_out: Mapping[str, float]


@frozen(kw_only=True)
class RelayEnded:
    """Report what the client got."""

    request_id: str
    route: str
    # The same for all requests with the same method, path and body.
    fingerprint: str
    # "answered", "refused", "failed", "broken off" or "client gone".
    outcome: str
    status: int
    detail: str
    routing_version: int
    attempts: int
    forwarded_by: str
    took_s: float
    first_answer_s: float | None
    # What was later than its target: "first answer", "pause", both or nothing.
    late_by: str
