"""Log JSON lines to standard output, each with its request id and trace id."""

import logging
import sys
from collections.abc import Callable, MutableMapping
from contextlib import AbstractContextManager
from datetime import UTC, datetime
from typing import Any

import orjson
import structlog
from structlog.contextvars import bound_contextvars, merge_contextvars
from structlog.tracebacks import ExceptionDictTransformer

from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.kernel.settings import LogLevel
from pomelobarrow.operators.output import ByteStream, LossyStream, rate_limited_stream
from pomelobarrow.operators.redaction import redact, redact_line

INFO_FIELD = b'"level":"info"'
ANSWERED_FIELD = b'"outcome":"answered"'
RELAY_PLACED_FIELD = b'"event":"relay placed"'
RELAY_DENIED_FIELD = b'"event":"relay denied"'
PASSED_ON_FIELD = b'"end":"passed on"'
FREQUENT_FIELDS = (ANSWERED_FIELD, RELAY_PLACED_FIELD, RELAY_DENIED_FIELD, PASSED_ON_FIELD)

Event = MutableMapping[str, Any]
Processor = Callable[[Any, str, Event], Any]

# structlog's names of methods that aren't names of levels.
LEVELS_BY_METHOD = {"warn": "warning", "exception": "error"}

# A longer line loses its lists and mappings.
MAX_LINE_BYTES = 64 << 10

# Below this level libraries log every connection, which costs too much on a busy VM.
LIBRARY_LEVEL = logging.WARNING


def configure_logs(level: LogLevel, vm: str, stream: ByteStream | None = None) -> None:
    """Send structlog's and the standard library's log events to a stream as JSON lines."""
    output = LossyStream(
        stream or rate_limited_stream(sys.stdout.fileno(), now_unix_s, is_low_priority)
    )
    number = logging.getLevelNamesMapping()[level.name]
    structlog.configure(
        processors=[_processor(vm), _render],
        wrapper_class=structlog.make_filtering_bound_logger(number),
        logger_factory=lambda *args: _LineLogger(output),
        cache_logger_on_first_use=False,
    )
    logging.basicConfig(
        handlers=[_library_handler(output, vm)], level=max(number, LIBRARY_LEVEL), force=True
    )


def is_low_priority(line: bytes) -> bool:
    """Return whether a line is among the first to be dropped above the rate limit.

    These are lines of level info about a placement, about a request that was answered or passed
    on, or about one that its account's limit refuses. A line without an outcome, such as the start
    of this process, is rare and is kept.
    """
    return INFO_FIELD in line and any(each in line for each in FREQUENT_FIELDS)


def request_logs(request_id: str, trace_id: str = "") -> AbstractContextManager[None]:
    """Add the request id and trace id to every event that is logged inside a `with` block."""
    if trace_id:
        return bound_contextvars(request_id=request_id, trace_id=trace_id)
    return bound_contextvars(request_id=request_id)


def _processor(vm: str) -> Processor:
    """Return one processor for all steps, as a line per request pays for each of them."""
    # Local variables are left out of tracebacks because they can contain bodies and tokens.
    render_exception = structlog.processors.ExceptionRenderer(
        ExceptionDictTransformer(show_locals=False)
    )

    def process(logger: Any, method: str, event: Event) -> Event:
        event = merge_contextvars(logger, method, event)
        event["level"] = LEVELS_BY_METHOD.get(method, method)
        if "exc_info" in event:
            event = render_exception(logger, method, event)
        event = redact(logger, method, event)
        event["timestamp"] = datetime.now(UTC)
        event["vm"] = vm
        return event

    return process


def _render(logger: Any, method: str, event: Event) -> bytes:
    line = orjson.dumps(event, default=repr, option=orjson.OPT_UTC_Z)
    if len(line) > MAX_LINE_BYTES:
        kept = {key: each for key, each in event.items() if not isinstance(each, dict | list)}
        kept["left_out_bytes"] = len(line)
        line = orjson.dumps(kept, default=repr, option=orjson.OPT_UTC_Z)
    return redact_line(line)


class _LineLogger:
    """Logger that writes each rendered event as one line."""

    def __init__(self, output: LossyStream) -> None:
        self._output = output

    def msg(self, line: bytes) -> None:
        """Write a line."""
        self._output.write(line + b"\n")
        self._output.flush()

    log = debug = info = warn = warning = error = err = exception = fatal = critical = msg


def _library_handler(output: LossyStream, vm: str) -> logging.Handler:
    handler = _LineHandler(output)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=[_processor(vm)],
            processors=[
                structlog.stdlib.ProcessorFormatter.remove_processors_meta,
                lambda logger, method, event: _render(logger, method, event).decode(),
            ],
        )
    )
    return handler


class _LineHandler(logging.Handler):
    """Log handler that writes each formatted record as one line."""

    def __init__(self, output: LossyStream) -> None:
        super().__init__()
        self._output = output

    def emit(self, record: logging.LogRecord) -> None:
        """Format and write a record."""
        try:
            self._output.write(self.format(record).encode() + b"\n")
            self._output.flush()
        except Exception:
            self.handleError(record)
