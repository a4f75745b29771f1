"""Define the requests of a load run."""

from pathlib import Path
from random import Random
from typing import Any

import cattrs
import orjson
from attrs import frozen

FILLER = "grade premium lockfile warehouse "


@frozen(kw_only=True)
class WorkPlan:
    """Rate and kind of the requests of one class."""

    rate_per_s: float
    token: str
    # Model of the chat requests that are sent if there is no service path.
    model: str = ""
    service_path: str = ""
    is_streamed: bool = True
    # Number of documents shared by the prompts, which the engines' prompt caches may hold.
    documents: int = 20
    prompt_bytes: int = 2_000
    max_tokens: int = 64
    # Requests that may not be repeated are sent with an issued id.
    repeatable: bool = True
    due_after_s: float = 60.0


@frozen(kw_only=True)
class LoadPlan:
    """Work of each class by its name."""

    classes: dict[str, WorkPlan]


def read_plan(path: str) -> LoadPlan:
    """Read a plan from a JSON file."""
    return cattrs.structure(orjson.loads(Path(path).read_bytes()), LoadPlan)


def make_body(class_name: str, plan: WorkPlan, marker: str, rng: Random) -> dict[str, Any]:
    """Build a request body: a shared document followed by a unique question."""
    if plan.service_path:
        return {"marker": marker}
    document = f"{class_name} document {rng.randrange(plan.documents)}: "
    filler = FILLER * (plan.prompt_bytes // len(FILLER) + 1)
    text = (document + filler)[: plan.prompt_bytes] + f"\nQuestion {marker}"
    return {
        "model": plan.model,
        "messages": [{"role": "user", "content": text}],
        "max_tokens": plan.max_tokens,
        "stream": plan.is_streamed,
        "metadata": {"marker": marker},
    }
