"""Classify answers and summarize a load run."""

import enum
import math
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any

import orjson
from attrs import define, field

from pomelobarrow.decision.streams.event_counter import END_DATA
from pomelobarrow.decision.streams.server_sent_events import EventSplitter, event_data
from pomelobarrow.standin.answer import expected_answer

PERCENTILES = (50, 95, 99)


class Outcome(enum.Enum):
    """Outcome of a request as seen by the caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    # No entry VM could be reached, so nothing was sent.
    UNREACHED = "unreached"
    # The answer is complete but does not match the request.
    WRONG = "wrong"


OUTCOME_BY_RUN = {"no": Outcome.REFUSED, "unknown": Outcome.UNKNOWN}


@define
class ClassResults:
    """Outcome counts of one class and the latencies of its answered requests."""

    outcomes: Counter[Outcome] = field(factory=Counter)
    kinds: Counter[str] = field(factory=Counter)
    first_byte_s: list[float] = field(factory=list)
    end_s: list[float] = field(factory=list)

    def payload(self) -> dict[str, Any]:
        """Build the summary of the class."""
        return {
            "sent": self.outcomes.total(),
            **{outcome.value: self.outcomes[outcome] for outcome in Outcome},
            "problem_kinds": dict(self.kinds),
            "first_byte_s": percentiles(self.first_byte_s),
            "end_s": percentiles(self.end_s),
        }


def percentiles(values: Iterable[float]) -> dict[str, float]:
    """Return the nearest-rank percentiles, or an empty mapping without values."""
    ordered = sorted(values)
    if not ordered:
        return {}
    return {
        f"p{percent}": round(ordered[math.ceil(len(ordered) * percent / 100) - 1], 6)
        for percent in PERCENTILES
    }


def parse_object(data: bytes) -> dict[str, Any]:
    """Parse a JSON object; return an empty one for anything else."""
    try:
        parsed = orjson.loads(data)
    except orjson.JSONDecodeError:
        return {}
    return parsed if isinstance(parsed, dict) else {}


def classify_chat_answer(
    body: Mapping[str, Any], status: int, content_type: str, answer: bytes
) -> tuple[Outcome, str]:
    """Classify the answer to a chat request; return its outcome and the kind of a problem."""
    events = _events(answer) if content_type == "text/event-stream" else [answer]
    parsed = [parse_object(event) for event in events]
    problem = next((item for item in parsed if "kind" in item), None)
    if status != 200 or problem:
        return _classify_problem(problem or {})
    if content_type == "text/event-stream" and (not events or events[-1] != END_DATA):
        return Outcome.UNKNOWN, "broken_off"
    text = "".join(_text(item) for item in parsed)
    return (Outcome.ANSWERED if text == expected_answer(body) else Outcome.WRONG), ""


def classify_service_answer(
    body: Mapping[str, Any], status: int, answer: bytes
) -> tuple[Outcome, str]:
    """Classify the answer of a plain service, which echoes the body."""
    parsed = parse_object(answer)
    if status != 200:
        return _classify_problem(parsed)
    return (Outcome.ANSWERED if parsed == body else Outcome.WRONG), ""


def _classify_problem(problem: Mapping[str, Any]) -> tuple[Outcome, str]:
    run = str(problem.get("run", "unknown"))
    return OUTCOME_BY_RUN.get(run, Outcome.UNKNOWN), str(problem.get("kind", "not_a_problem"))


def _events(answer: bytes) -> list[bytes]:
    contents = map(event_data, EventSplitter().feed(answer))
    return [content for content in contents if content is not None]


def _text(payload: Mapping[str, Any]) -> str:
    choice: Mapping[str, Any] = next(iter(payload.get("choices") or ()), {})
    part = choice.get("delta") or choice.get("message") or {}
    return str(part.get("content") or "")
