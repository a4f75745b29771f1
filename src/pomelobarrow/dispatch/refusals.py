"""Build typed refusals, each with a remedy."""

from pomelobarrow.decision.admission.stream_admission import MIN_RETRY_AFTER_S
from pomelobarrow.decision.common.errors import ErrorKind, Refusal, RunStatus
from pomelobarrow.kernel.clock import now_unix_s

REMEDY_LATER = "retry at the time in Retry-After"
REMEDY_OTHER_ENTRY = "ask GET /v1/entries for another entry VM"
REMEDY_UNKNOWN = "check at the receiver whether the request ran before sending it again"
REMEDY_DEADLINE = "send it again with a later Pomelobarrow-Deadline if it is still needed"
REMEDY_BY_KIND = {
    ErrorKind.OVERLOADED: REMEDY_LATER,
    ErrorKind.NO_CAPACITY: REMEDY_LATER,
    ErrorKind.HOME_UNREACHABLE: REMEDY_LATER,
    ErrorKind.POOL_UNREACHABLE: REMEDY_OTHER_ENTRY,
    ErrorKind.ACCOUNT_LIMIT: REMEDY_LATER,
    ErrorKind.DEADLINE_PASSED: REMEDY_DEADLINE,
    ErrorKind.DRAINING: REMEDY_OTHER_ENTRY,
    ErrorKind.NOT_READY: REMEDY_OTHER_ENTRY,
    ErrorKind.OUTCOME_UNKNOWN: REMEDY_UNKNOWN,
    ErrorKind.ANSWER_NOT_KEPT: "the request ran to its end; don't send it again",
    ErrorKind.ID_REFUSED: "take a request id from GET /v1/entries and send that as Idempotency-Key",
    ErrorKind.CRASHES_SERVERS: "don't send it again unchanged: it crashes the servers that run it",
    ErrorKind.NOT_RESUMABLE: "send the request again from its beginning, without Last-Event-Id",
    ErrorKind.STILL_RUNNING: "repeat it under the same Idempotency-Key at the time in Retry-After",
}

# Temporary conditions get a retry time even if no wait could be estimated, because a caller without
# one retries immediately and repeatedly.
RETRY_AFTER_S_BY_KIND = {
    ErrorKind.OVERLOADED: 1.0,
    ErrorKind.NO_CAPACITY: 1.0,
    ErrorKind.HOME_UNREACHABLE: 1.0,
    ErrorKind.POOL_UNREACHABLE: 1.0,
    ErrorKind.ACCOUNT_LIMIT: 1.0,
    ErrorKind.DRAINING: 1.0,
    ErrorKind.NOT_READY: 1.0,
    # Only another configuration helps, which a caller with seconds to wait hardly sees.
    ErrorKind.NO_COMMON_REGION: 5.0,
}


def refuse(
    kind: ErrorKind,
    run: RunStatus,
    detail: str,
    retry_at_unix_s: float | None = None,
    remedy: str = "",
) -> Refusal:
    """Return a refusal with the remedy and the retry time of its kind."""
    if retry_at_unix_s is None and kind in RETRY_AFTER_S_BY_KIND:
        retry_at_unix_s = now_unix_s() + RETRY_AFTER_S_BY_KIND[kind]
    return Refusal(
        kind=kind,
        run=run,
        detail=detail,
        remedy=remedy or REMEDY_BY_KIND.get(kind, REMEDY_LATER),
        retry_at_unix_s=retry_at_unix_s if run is RunStatus.NO else None,
    )


def refuse_stopping(detail: str) -> Refusal:
    """Return the refusal of a request that another VM may serve at once, as this one stops."""
    return refuse(ErrorKind.DRAINING, RunStatus.NO, detail, now_unix_s() + MIN_RETRY_AFTER_S)


class RefusedError(Exception):
    """Carry a refusal to the code that answers the request."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal
