"""Typed refusals, each with a remedy."""

import enum

from attrs import frozen


class RunStatus(enum.Enum):
    """Whether a request may have run."""

    NO = "no"
    UNKNOWN = "unknown"


class ErrorKind(enum.Enum):
    """Kinds of errors that are returned to callers, with their HTTP status."""

    MALFORMED_BODY = ("malformed_body", 400)
    MALFORMED_REQUEST = ("malformed_request", 400)
    BODY_TOO_LARGE = ("body_too_large", 413)
    BODY_TOO_SLOW = ("body_too_slow", 408)
    BAD_DEADLINE = ("bad_deadline", 400)
    BAD_IDEMPOTENCY_KEY = ("bad_idempotency_key", 400)
    BAD_HOME_REGION = ("bad_home_region", 400)
    UNKNOWN_ACCOUNT = ("unknown_account", 401)
    UNKNOWN_KEY = ("unknown_key", 401)
    NO_COMMON_REGION = ("no_common_region", 503)
    UNKNOWN_CLASS = ("unknown_class", 400)
    UNKNOWN_MODEL = ("unknown_model", 400)
    UNKNOWN_SERVICE = ("unknown_service", 404)
    ACCOUNT_LIMIT = ("account_limit", 429)
    OVERLOADED = ("overloaded", 503)
    NO_CAPACITY = ("no_capacity", 503)
    HOME_UNREACHABLE = ("home_unreachable", 503)
    POOL_UNREACHABLE = ("pool_unreachable", 503)
    NOT_RESUMABLE = ("not_resumable", 503)
    DEADLINE_PASSED = ("deadline_passed", 504)
    DRAINING = ("draining", 503)
    NOT_READY = ("not_ready", 503)
    OUTCOME_UNKNOWN = ("outcome_unknown", 502)
    # Not a status on which clients retry.
    CRASHES_SERVERS = ("crashes_servers", 500)
    STILL_RUNNING = ("still_running", 409)
    ANSWER_NOT_KEPT = ("answer_not_kept", 409)
    ID_REFUSED = ("id_refused", 409)
    NOT_A_PEER = ("not_a_peer", 403)

    def __init__(self, label: str, status: int) -> None:
        self.label = label
        self.status = status


KIND_BY_LABEL = {kind.label: kind for kind in ErrorKind}


@frozen(kw_only=True)
class Refusal:
    """Why a request was not answered, whether it may have run, and what the caller can do."""

    kind: ErrorKind
    run: RunStatus
    detail: str
    remedy: str
    retry_at_unix_s: float | None = None
