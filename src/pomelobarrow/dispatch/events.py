"""Events about requests for logs and metrics."""

from attrs import frozen


@frozen(kw_only=True)
class RequestEnded:
    """Report how one request ended on this VM."""

    request_id: str
    class_name: str
    account: str
    outcome: str
    kind: str = ""
    run: str = ""
    server: str = ""
    forwarded_by: str = ""
    region: str = ""
    attempts: int = 1
    accepted_unix_s: float
    first_byte_unix_s: float | None = None
    ended_unix_s: float
    max_gap_s: float = 0.0
    chunks: int = 0


@frozen
class AttemptEnded:
    """Report how one attempt ended."""

    request_id: str
    class_name: str
    server: str
    state: str
    detail: str


@frozen
class Forwarded:
    """Report that a request was forwarded to a peer."""

    request_id: str
    class_name: str
    region: str
    reason: str


@frozen(kw_only=True)
class ServerLimitNamed:
    """Report that a server states a new rate limit; None if it no longer states one."""

    server: str
    limit_per_s: float | None
    header: str


@frozen(kw_only=True)
class ServerBackoffRequested:
    """Report that a server wants nothing from this VM for a time."""

    server: str
    pool: str
    backoff_s: float


@frozen(kw_only=True)
class ServerSlowdownInvalid:
    """Report that a server states a slowdown that can't be; it counts as not stated."""

    server: str
    pool: str


@frozen(kw_only=True)
class ServerLoadInvalid:
    """Report that a server states numbers of requests that can't be; they count as not stated."""

    server: str
    pool: str


@frozen(kw_only=True)
class PoolBrittle:
    """Report that a pool's servers state that they fall over when they reject too much."""

    pool: str
    # The server whose answer stated it first, and the rejections a second that it tolerates.
    server: str
    per_s: float | None


@frozen(kw_only=True)
class PoolUnreachable:
    """Report that this VM reaches no server of a pool, and the evidence."""

    pool: str
    # The servers that failed in a row, and all that are listed in this region.
    servers_failed: int
    servers_listed: int
    # How the last of them failed.
    detail: str


@frozen(kw_only=True)
class PoolReachable:
    """Report that a server of a pool that was unreachable has answered this VM again."""

    pool: str
    server: str
    unreachable_s: float
