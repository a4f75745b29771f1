"""Events about relayed requests for logs and metrics."""

from collections.abc import Mapping

from attrs import frozen


@frozen(kw_only=True)
class RelayPlaced:
    """Report where a request is sent and the data behind that decision."""

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
    # The software version of the server; empty if it is unknown, as it is behind a peer.
    software_version: str
    # The last event that the client has of a stream that is resumed; empty for a new one.
    resume_after: str
    prompt_tokens: int
    # The group of prompts that share this one's first parts, the tokens that they share, and how
    # many of these the server is estimated to hold in its cache.
    group: str
    shared_tokens: int
    cached_tokens: int
    # The address of the server that it copies them from, and the tokens that this saves.
    copy_from: str
    copied_tokens: int
    # The mean age of the loads that peers report about their own requests.
    view_age_s: float
    servers_usable: int
    time_left_s: float


@frozen(kw_only=True)
class RelayNotPlaced:
    """Report that no server or peer may get a request now, and the data behind that decision."""

    request_id: str
    route: str
    pool: str
    routing_version: int
    attempts: int
    reason: str
    # Empty on public routes and where no accounts are published.
    account: str
    # The regions that both the route and the account allow; empty means all.
    home_regions: tuple[str, ...]
    # The expected wait that was too long; 0 if there is no server at all.
    expected_wait_s: float
    # This region's servers of the pool: listed, usable (neither ejected nor leaving) and cold.
    servers_listed: int
    servers_usable: int
    servers_cold: int
    # This region's servers of the pool that asked this VM for a pause which has not ended.
    servers_backing_off: int
    # Servers of the pool in other regions with a recent report, and the targets already excluded.
    servers_elsewhere: dict[str, int]
    # VMs that take forwarded requests, by region.
    vms_elsewhere: dict[str, int]
    excluded: list[str]
    view_age_s: float
    time_left_s: float


@frozen(kw_only=True)
class RelayDenied:
    """Report that a request is refused by its key or its account's limit, and why."""

    request_id: str
    route: str
    # Empty if the key decided.
    account: str
    kind: str
    detail: str
    routing_version: int
    # The age of the proof that the configuration is current; infinity without any.
    confirmed_age_s: float
    # What the request costs its account, and the account's limit; 0 if the key decided.
    cost: float
    limit_per_s: float
    forwarded_by: str
    retry_after_s: float | None


@frozen(kw_only=True)
class StreamTakenUp:
    """Report how the software is known of a stream that a client takes up again."""

    request_id: str
    route: str
    pool: str
    # The request that got the stream's first event, and the last event that the client has.
    resumes: str
    resume_after: str
    # The software versions that the pool's servers have run lately, as this VM knows.
    versions_listed: int
    # For how long this VM has known the list of servers and the routes.
    list_known_for_s: float
    # The age of the evidence that no other list exists; infinity without any.
    list_age_s: float
    # The VMs that were asked for the software, and the histories of those without a record.
    vms_asked: int
    histories_stated: int
    source: str


@frozen(kw_only=True)
class RelayAttemptEnded:
    """Report how one attempt of a request ended."""

    request_id: str
    route: str
    pool: str
    attempt: int
    target: str
    end: str
    status: int
    detail: str
    # The part of the answer that was larger than its limit; empty if none was.
    over_limit: str
    took_s: float
    first_answer_s: float | None
    longest_pause_s: float
    # Of a stream: the events that were passed on, and the ids of the first and the last of them.
    events: int
    first_event_id: str
    last_event_id: str
    # What marks the end of the answer's body: "length", "chunks" or "connection".
    answer_end: str
    # True if the stream would have gone back or come again at the join.
    is_join_rejected: bool
    # What the target stated with its answer: that it leaves, and for how long to send it nothing.
    is_leaving: bool
    backoff_s: float | None


@frozen(kw_only=True)
class ServerEjected:
    """Report that a failing server gets no work for a while."""

    server: str
    pool: str
    detail: str


@frozen(kw_only=True)
class ServerReadmitted:
    """Report that an ejected server has answered again."""

    server: str
    pool: str


@frozen(kw_only=True)
class DirectoryChanged:
    """Report that clients of a failure domain are directed to other VMs than before."""

    region: str
    failure_domain: str
    # The VMs named, each with the seconds since it was last seen.
    named: Mapping[str, float]
    # The known VMs of that region that aren't named.
    left_out: Mapping[str, float]


@frozen(kw_only=True)
class RelayEnded:
    """Report the outcome of a request for its client."""

    request_id: str
    route: str
    # Equal for all requests with the same method, path and body.
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
    # What missed its target: "first answer", "pause", both or nothing.
    late_by: str


@frozen(kw_only=True)
class RequestTooLong:
    """Report a connection that was closed because a request on it had no end."""

    listener: str
