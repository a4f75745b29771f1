"""Let work go on that nobody waits for any longer."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

Result = TypeVar("Result")

# The loop holds its tasks weakly: one that nothing else holds may vanish before its end.
_unwaited: set["asyncio.Task[Any]"] = set()


async def wait_or_detach(
    work: Coroutine[Any, Any, Result], timeout_s: float, otherwise: Result
) -> Result:
    """Return what the work comes to, or a value for now while the work goes on to its end."""
    task = asyncio.create_task(work)
    _unwaited.add(task)
    task.add_done_callback(_unwaited.discard)
    await asyncio.wait({task}, timeout=timeout_s)
    return task.result() if task.done() else otherwise
