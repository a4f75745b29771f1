"""Find the lines of one request in the logs of all VMs and the cause of its outcome."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any

import orjson
from attrs import frozen

RELAY_NOT_PLACED_EVENT = "relay placed nowhere"
RELAY_ATTEMPT_ENDED_EVENT = "relay attempt ended"
RELAY_ENDED_EVENT = "relay ended"
FIRST_SERVER_ERROR_STATUS = 500

Line = Mapping[str, Any]


@frozen(kw_only=True)
class RequestTrail:
    """The log lines of a request in order of time, and the cause of its outcome."""

    lines: tuple[Line, ...]
    cause: str


def find_trail(request_id: str, raw_lines: Iterable[str]) -> RequestTrail:
    """Collect a request's lines from any number of logs; lines that aren't JSON are skipped."""
    lines = [line for raw in raw_lines if (line := _parse(request_id, raw)) is not None]
    lines.sort(key=lambda line: str(line.get("timestamp", "")))
    return RequestTrail(lines=tuple(lines), cause=_cause(lines))


def _parse(request_id: str, raw: str) -> Line | None:
    # Most lines are of other requests, and a log collector may have put a prefix before the JSON.
    if request_id not in raw:
        return None
    try:
        line = orjson.loads(raw[raw.index("{") :])
    except ValueError:
        return None
    is_of_request = isinstance(line, dict) and line.get("request_id") == request_id
    return line if is_of_request else None


def _cause(lines: list[Line]) -> str:
    ends = [
        line
        for line in lines
        if line.get("event") == RELAY_ENDED_EVENT and not line.get("forwarded_by")
    ]
    if not ends:
        return f"unknown: no line '{RELAY_ENDED_EVENT}' of the VM that accepted the request"
    end = ends[-1]
    explain = _EXPLAIN_BY_OUTCOME.get(str(end.get("outcome")))
    if explain is None:
        return f"unknown: outcome {end.get('outcome')!r} is not recognized"
    return explain(end, lines)


def _last_attempt(lines: list[Line]) -> Line:
    """Return the last attempt at a backend server, else at a peer, else an empty line."""
    attempts = [line for line in lines if line.get("event") == RELAY_ATTEMPT_ENDED_EVENT]
    vms = {line.get("vm") for line in lines}
    server_attempts = [line for line in attempts if line.get("target") not in vms]
    return (server_attempts or attempts or [{}])[-1]


def _explain_refused(end: Line, lines: list[Line]) -> str:
    attempt = _last_attempt(lines)
    if not attempt:
        return f"refused unsent: {end.get('detail')}{_server_counts(lines)}"
    return f"refused unrun: {attempt['target']} {attempt['end']} ({attempt['detail']})"


def _server_counts(lines: list[Line]) -> str:
    """Return the server counts of the last log line that reports a request as not placed."""
    seen = [line for line in lines if line.get("event") == RELAY_NOT_PLACED_EVENT]
    if not seen:
        return ""
    last = seen[-1]
    local = f"{last['servers_usable']} of {last['servers_listed']} local servers usable"
    return f" ({local}, {last['servers_cold']} cold; remote {last['servers_elsewhere']})"


def _explain_failed(end: Line, lines: list[Line]) -> str:
    attempt = _last_attempt(lines)
    if not attempt:
        return f"failed: {end.get('detail')}"
    took_s = attempt["took_s"]
    seen = f"{attempt['target']} {attempt['end']} after {took_s:.3f} s ({attempt['detail']})"
    return f"outcome unknown, it may have run: {seen}"


def _explain_broken_off(end: Line, lines: list[Line]) -> str:
    attempt = _last_attempt(lines)
    return f"the stream was broken off: {attempt.get('target')} ({end.get('detail')})"


def _explain_answered(end: Line, lines: list[Line]) -> str:
    if int(end.get("status", 0)) >= FIRST_SERVER_ERROR_STATUS:
        return f"{_last_attempt(lines).get('target')} answered {end['status']} itself"
    return f"no failure: answered {end.get('status')}, first answer after {_first_answer(end)}"


def _explain_client_gone(end: Line, lines: list[Line]) -> str:
    return f"client disconnected after {end['took_s']:.3f} s; first answer: {_first_answer(end)}"


def _first_answer(end: Line) -> str:
    first_s = end.get("first_answer_s")
    return "none" if first_s is None else f"{first_s:.3f} s"


_EXPLAIN_BY_OUTCOME: Mapping[str, Callable[[Line, list[Line]], str]] = {
    "refused": _explain_refused,
    "failed": _explain_failed,
    "broken off": _explain_broken_off,
    "answered": _explain_answered,
    "client gone": _explain_client_gone,
}
