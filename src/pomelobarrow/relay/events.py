"""Events about relayed requests, for logs and metrics."""

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
    # The mean age of what peers told of their own requests.
    view_age_s: float
    servers_usable: int
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


@frozen(kw_only=True)
class ServerEjected:
    """Report that a server gets no work for a while because it failed."""

    server: str
    pool: str
    detail: str


@frozen(kw_only=True)
class ServerBack:
    """Report that a server that was ejected has answered."""

    server: str
    pool: str


@frozen(kw_only=True)
class RelayEnded:
    """Report what the client got."""

    request_id: str
    route: str
    # "answered", "refused", "failed", "broken off" or "client gone".
    outcome: str
    status: int
    detail: str
    routing_version: int
    attempts: int
    forwarded_by: str
    took_s: float
    first_answer_s: float | None
