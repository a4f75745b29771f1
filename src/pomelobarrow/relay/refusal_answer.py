"""Answer a relayed request with a refusal of this system itself."""

import orjson

from pomelobarrow.callers.problems import problem_body
from pomelobarrow.decision.common.errors import Refusal
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.relay.answer import ClientAnswer
from pomelobarrow.relay.hop import refusal_headers
from pomelobarrow.relay.next_step import AttemptHistory

PROBLEM_CONTENT_TYPE = ("Content-Type", "application/problem+json")


async def send_refusal(
    refusal: Refusal,
    request_id: str,
    sink: ClientAnswer,
    history: AttemptHistory | None = None,
    is_pool_unreachable: bool = False,
) -> None:
    """Send a refusal; to a peer, it also states why the request did not run."""
    was_sent = history is not None and history.was_sent
    ended_server_key = history.ended_server_key if history is not None else None
    run_headers = refusal_headers(refusal, was_sent, ended_server_key, is_pool_unreachable)
    headers = (PROBLEM_CONTENT_TYPE, *run_headers)
    if refusal.retry_at_unix_s is not None:
        pause_s = max(0.0, refusal.retry_at_unix_s - now_unix_s())
        headers += (("Retry-After", f"{pause_s:.2f}"),)
    body = orjson.dumps(problem_body(refusal, request_id))
    await sink.send_complete(refusal.kind.status, headers, body)
