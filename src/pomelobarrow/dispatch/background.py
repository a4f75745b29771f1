"""Run work to its end after its caller has stopped waiting."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

Result = TypeVar("Result")

# The event loop keeps only weak references to tasks; without this set, a detached task could be
# garbage-collected before it ends.
_detached: set["asyncio.Task[Any]"] = set()


async def wait_or_detach(
    work: Coroutine[Any, Any, Result], timeout_s: float, default: Result
) -> Result:
    """Return the result, or the default after a timeout, while the work runs on to its end."""
    task = asyncio.create_task(work)
    _detached.add(task)
    task.add_done_callback(_detached.discard)
    await asyncio.wait({task}, timeout=timeout_s)
    return task.result() if task.done() else default
