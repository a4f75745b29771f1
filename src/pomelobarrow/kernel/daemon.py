"""Run the daemon: start its service tree, reload its settings and drain it on a planned stop."""

import asyncio
import gc
import linecache
import signal
import time
from collections.abc import Awaitable, Callable, Iterable

import structlog
from attrs import fields_dict
from mode import Service
from result import Err, Result

from pomelobarrow.decision.published.checks import Fault
from pomelobarrow.kernel.background import failure_observer
from pomelobarrow.kernel.context import Context
from pomelobarrow.kernel.hooks import PhasedService
from pomelobarrow.kernel.plugins import load_plugins
from pomelobarrow.kernel.settings import Settings
from pomelobarrow.kernel.sparing_selector import sparing_loop

EXIT_OK = 0
EXIT_FAILED = 1
# Arguments of gc.set_threshold: allocations before a collection of the youngest generation, then
# collections of one generation before one of the next. Requests create few reference cycles; the
# default of 700 collects tens of times a second under load.
GC_THRESHOLDS = (10_000, 20, 20)

SettingsLoader = Callable[[], Result[Settings, tuple[Fault, ...]]]

log = structlog.get_logger(__name__)


class Daemon(Service):
    """Run the services of all plug-ins as one tree."""

    def __init__(self, context: Context) -> None:
        super().__init__()
        self.context = context

    async def on_first_start(self) -> None:
        """Add the plug-ins' services in the order of their phases."""
        for phased in sorted(_services(self.context), key=lambda each: each.phase):
            await self.add_runtime_dependency(phased.service)


def new_incarnation() -> int:
    """Return a number that increases with each start of the same VM."""
    return time.time_ns() // 1_000


def build_context(
    settings: Settings, extra_plugins: Iterable[object] = (), with_installed: bool = True
) -> Context:
    """Load the plug-ins and let them register their parts."""
    hooks = load_plugins(with_installed)
    for plugin in extra_plugins:
        hooks.register(plugin)
    context = Context(settings, new_incarnation(), hooks)
    hooks.hook.provide_parts(context=context)
    _configure_garbage_collector()
    return context


def _configure_garbage_collector() -> None:
    """Exempt the objects allocated so far from garbage collection and make collections rare."""
    # attrs keeps the source of every generated method for debuggers.
    linecache.clearcache()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    gc.enable()


def run_daemon(
    settings: Settings,
    extra_plugins: Iterable[object] = (),
    reload: SettingsLoader | None = None,
    with_installed: bool = True,
) -> int:
    """Serve until a planned stop has finished; return the exit code."""
    context = build_context(settings, extra_plugins, with_installed)
    with asyncio.Runner(loop_factory=sparing_loop) as runner:
        return runner.run(_serve(context, reload))


def reload_settings(context: Context, loaded: Result[Settings, tuple[Fault, ...]]) -> None:
    """Apply settings that were read again; if they have faults, the old ones stay in force."""
    if isinstance(loaded, Err):
        faults = [str(fault) for fault in loaded.err_value]
        log.error("settings refused", faults=faults, remedy="correct the file and send SIGHUP")
        return
    old, new = context.settings, loaded.ok_value
    changed = [name for name in fields_dict(Settings) if getattr(old, name) != getattr(new, name)]
    context.settings = new
    context.hooks.hook.reloaded(context=context)
    log.info("settings reloaded", changed=changed)


async def _serve(context: Context, reload: SettingsLoader | None) -> int:
    stop_requested, stop_now = asyncio.Event(), asyncio.Event()
    handle_signals(stop_requested, stop_now)
    if reload is not None:
        # Without a handler, SIGHUP would end the process and cut off every answer.
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, lambda: reload_settings(context, reload()))
    failure_observer.set(context.observe)
    daemon = Daemon(context)
    try:
        await daemon.start()
    except Exception as error:
        log.error("start failed", error=repr(error), remedy="check the settings and addresses")
        await daemon.stop()
        return EXIT_FAILED
    log.info("started", vm=context.settings.vm, incarnation=context.incarnation)
    await _wait_for_first(stop_requested.wait(), daemon.wait_until_stopped())
    await _drain(context, stop_now)
    await daemon.stop()
    return EXIT_FAILED if daemon.crashed else EXIT_OK


async def _drain(context: Context, stop_now: asyncio.Event) -> None:
    log.info("draining", vm=context.settings.vm)
    context.is_draining = True
    await _wait_for_first(_drain_and_close(context), stop_now.wait())
    log.info("drained", vm=context.settings.vm, at_once=stop_now.is_set())


async def _drain_and_close(context: Context) -> None:
    """Wait for the work in progress to end, then for the answers to leave the sockets."""
    await _gather(context.hooks.hook.drain(context=context))
    log.info("closing", vm=context.settings.vm)
    await _gather(context.hooks.hook.close(context=context))


def _services(context: Context) -> list[PhasedService]:
    return [each for part in context.hooks.hook.services(context=context) for each in part]


def handle_signals(stop_requested: asyncio.Event, stop_now: asyncio.Event) -> None:
    """Begin a planned stop on either signal; end at once on an interrupt during the stop."""

    def on_interrupt() -> None:
        if stop_requested.is_set():
            stop_now.set()
        stop_requested.set()

    loop = asyncio.get_running_loop()
    # A supervisor may repeat SIGTERM, and ends a stop that takes too long with SIGKILL.
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    loop.add_signal_handler(signal.SIGINT, on_interrupt)


async def _gather(awaitables: Iterable[Awaitable[None]]) -> None:
    await asyncio.gather(*awaitables)


async def _wait_for_first(*awaitables: Awaitable[object]) -> None:
    tasks = [asyncio.ensure_future(each) for each in awaitables]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
