"""Run the tasks that keep a daemon alive; one that raises an error is reported and starts again.

The service tree stops the process when a task raises. One unexpected value in a message would then
cut off all callers of this VM, and of each other VM that gets the same message.
"""

import functools
import traceback
from collections.abc import Awaitable, Callable
from contextvars import ContextVar
from typing import Any

import structlog
from attrs import frozen
from mode import Service

# A task that fails at once each time costs one log line per pause.
RESTART_PAUSE_S = 1.0
# The last frames of a traceback lead to the error; log lines are bounded.
MAX_TRACEBACK_CHARACTERS = 2_000

log = structlog.get_logger(__name__)


@frozen(kw_only=True)
class StepFailed:
    """Report that a step of a background task raised an error and was left out."""

    step: str
    error: str
    traceback: str


def _log_failure(event: object) -> None:
    log.error("step failed", failure=event)


# The observer of the daemon that a task belongs to; tasks inherit it from the one that starts them.
failure_observer: ContextVar[Callable[[object], None]] = ContextVar(
    "failure_observer", default=_log_failure
)


def report_failure(step: str, error: Exception) -> None:
    """Report an error that ends one step of a task and not the task."""
    lines = "".join(traceback.format_exception(error))
    failed = StepFailed(step=step, error=repr(error), traceback=lines[-MAX_TRACEBACK_CHARACTERS:])
    failure_observer.get()(failed)


async def keep_running(service: Service, name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a task of a service to its end; start it again after an error."""
    while not service.should_stop:
        try:
            await run()
            return
        except Exception as error:
            report_failure(f"{type(service).__name__}.{name}", error)
        await service.sleep(RESTART_PAUSE_S)


def background_task(run: Callable[[Any], Awaitable[None]]) -> Any:
    """Declare a method as a task of its service that starts again after an error."""

    @functools.wraps(run)
    async def supervised(service: Any) -> None:
        await keep_running(service, run.__name__, functools.partial(run, service))

    return Service.task(supervised)
