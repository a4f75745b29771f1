"""Build typed refusals; each names what to do next."""

from pomelobarrow.decision.errors import ErrorKind, Refusal, RunStatus
from pomelobarrow.kernel.clock import now_unix_s

REMEDY_LATER = "come back at the time in Retry-After"
REMEDY_OTHER_ENTRY = "ask GET /v1/entries for another entry VM"
REMEDY_UNKNOWN = "check at the receiver whether it ran before sending it again"
REMEDY_DEADLINE = "send it again with a later Pomelobarrow-Deadline if it is still wanted"
REMEDY_BY_KIND = {
    ErrorKind.OVERLOADED: REMEDY_LATER,
    ErrorKind.NO_CAPACITY: REMEDY_LATER,
    ErrorKind.HOME_UNREACHABLE: REMEDY_LATER,
    ErrorKind.ACCOUNT_LIMIT: REMEDY_LATER,
    ErrorKind.DEADLINE_PASSED: REMEDY_DEADLINE,
    ErrorKind.DRAINING: REMEDY_OTHER_ENTRY,
    ErrorKind.NOT_READY: REMEDY_OTHER_ENTRY,
    ErrorKind.OUTCOME_UNKNOWN: REMEDY_UNKNOWN,
    ErrorKind.ANSWER_NOT_KEPT: "it ran to its end; don't send it again",
    ErrorKind.ID_REFUSED: "take a request id from GET /v1/entries and send that as Idempotency-Key",
    ErrorKind.CRASHES_SERVERS: "don't send it again as it is: it ends the servers that run it",
    ErrorKind.STILL_RUNNING: "repeat it under the same Idempotency-Key at the time in Retry-After",
}

# What passes by itself gets a time to come back even where no wait could be estimated: a caller
# without one asks again at once, and again.
PAUSE_S_BY_KIND = {
    ErrorKind.OVERLOADED: 1.0,
    ErrorKind.NO_CAPACITY: 1.0,
    ErrorKind.HOME_UNREACHABLE: 1.0,
    ErrorKind.ACCOUNT_LIMIT: 1.0,
    ErrorKind.DRAINING: 1.0,
    ErrorKind.NOT_READY: 1.0,
}


def refuse(
    kind: ErrorKind,
    run: RunStatus,
    detail: str,
    retry_at_unix_s: float | None = None,
    remedy: str = "",
) -> Refusal:
    """Return a refusal with the remedy and the time to come back that belong to its kind."""
    if retry_at_unix_s is None and kind in PAUSE_S_BY_KIND:
        retry_at_unix_s = now_unix_s() + PAUSE_S_BY_KIND[kind]
    return Refusal(
        kind=kind,
        run=run,
        detail=detail,
        remedy=remedy or REMEDY_BY_KIND.get(kind, REMEDY_LATER),
        retry_at_unix_s=retry_at_unix_s if run is RunStatus.NO else None,
    )


class RefusedError(Exception):
    """Carry a refusal up to whoever answers."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal
