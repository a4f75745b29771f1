"""Simulate an inference engine with continuous batching."""

import asyncio
import time

from aiohttp import web
from attrs import field, frozen

from pomelobarrow.standin.batch import Batch, Sequence
from pomelobarrow.standin.engine_routes import routes
from pomelobarrow.standin.engine_state import Engine
from pomelobarrow.standin.load_report import LaggingReport
from pomelobarrow.standin.orders import EngineOrders
from pomelobarrow.standin.prefix_cache import PrefixCache
from pomelobarrow.standin.prompt import BLOCK_TOKENS
from pomelobarrow.standin.room import Room
from pomelobarrow.standin.runtime import (
    MAX_BODY_BYTES,
    gate_middleware,
    serve_app,
)


@frozen(kw_only=True)
class EngineOptions:
    """Command-line options of the simulated engine."""

    listen: str = field(metadata={"help": "Address to listen on, host:port"})
    name: str = field(default="engine", metadata={"help": "Name in load reports"})
    step_s: float = field(default=0.005, metadata={"help": "Seconds a step takes"})
    slots: int = field(default=8, metadata={"help": "Sequences in the batch at most"})
    prefill_tokens_per_step: int = field(
        default=512, metadata={"help": "Uncached prompt tokens computed in a step"}
    )
    kv_capacity_tokens: int = field(default=200_000, metadata={"help": "Tokens the batch may hold"})
    cache_blocks: int = field(default=2_000, metadata={"help": "Prompt blocks cached at most"})
    event_lag_s: float = field(default=0.5, metadata={"help": "Age of cache events"})
    event_loss_every: int = field(default=17, metadata={"help": "Lose every nth cache event"})
    report_lag_s: float = field(default=0.2, metadata={"help": "Age of load reports"})
    checks_fencing: bool = field(default=False, metadata={"help": "Refuse old fencing numbers"})
    unknown_after_start_s: float = field(
        default=0.0, metadata={"help": "Seconds after the start in which an unseen id is unknown"}
    )


def new_engine(options: EngineOptions) -> Engine:
    """Build an engine; call it inside a running event loop."""
    cache = PrefixCache(
        max_blocks=options.cache_blocks,
        event_lag_s=options.event_lag_s,
        event_loss_every=options.event_loss_every,
    )

    def count_cached_tokens(sequence: Sequence) -> int:
        return cache.match(sequence.blocks) * BLOCK_TOKENS

    def store_cached(sequence: Sequence) -> None:
        cache.store(sequence.blocks, time.time())

    batch = Batch(
        slots=options.slots,
        prefill_tokens_per_step=options.prefill_tokens_per_step,
        kv_capacity_tokens=options.kv_capacity_tokens,
        count_cached_tokens=count_cached_tokens,
        store_cached=store_cached,
    )
    return Engine(
        name=options.name,
        step_s=options.step_s,
        unknown_until_s=asyncio.get_running_loop().time() + options.unknown_after_start_s,
        batch=batch,
        cache=cache,
        orders=EngineOrders(checks_fencing=options.checks_fencing),
        room=Room(slots=options.slots),
    )


async def main(options: EngineOptions) -> None:
    """Serve the engine until the process is stopped."""
    engine = new_engine(options)
    report = LaggingReport(engine.measure, options.report_lag_s)
    app = web.Application(
        middlewares=[gate_middleware(engine.gate)], client_max_size=MAX_BODY_BYTES
    )
    app.on_response_prepare.append(engine.announcements.add_headers)
    app.on_response_prepare.append(engine.room.add_header)
    app.add_routes(routes(engine, report))
    async with asyncio.TaskGroup() as tasks:
        measuring = tasks.create_task(report.keep_measuring())
        await serve_app(app, options.listen, cancel_on_disconnect=True)
        measuring.cancel()
