import io
import logging
from collections.abc import Iterator
from datetime import UTC, datetime
from typing import Any

import orjson
import pytest
import structlog

from pomelobarrow.kernel.settings import LogLevel
from pomelobarrow.operators.logs import (
    MAX_LINE_BYTES,
    configure_logs,
    is_low_priority,
    request_logs,
)
from pomelobarrow.operators.output import MAX_BURST_LINES, RESERVED_LINES, RateLimitedStream
from pomelobarrow.operators.redaction import REDACTED

# Far longer than what is logged of it.
LONG = "x" * (1 << 20)


@pytest.fixture
def stream() -> Iterator[io.BytesIO]:
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    stream = io.BytesIO()
    configure_logs(LogLevel.INFO, "milan-1", stream)
    yield stream
    structlog.reset_defaults()
    root.handlers[:], root.level = handlers, level


def lines_of(stream: io.BytesIO) -> list[dict[str, Any]]:
    return [orjson.loads(line) for line in stream.getvalue().splitlines()]


def test_line_contains_request_trace_and_vm(stream: io.BytesIO) -> None:
    log = structlog.get_logger()
    with request_logs("r-1", "t-1"):
        log.info("request ended", prompt_tokens=40)
    log.info("idle")
    first, second = lines_of(stream)
    assert (first["request_id"], first["trace_id"], first["vm"]) == ("r-1", "t-1", "milan-1")
    assert first["prompt_tokens"] == 40
    assert "request_id" not in second


def test_events_below_the_level_are_filtered_out(stream: io.BytesIO) -> None:
    structlog.get_logger().debug("detail")
    logging.getLogger("aiohttp.access").info("GET /")
    assert stream.getvalue() == b""


@pytest.mark.parametrize(
    "fields",
    [
        {"token": "s3cr3t"},
        {"body": b"s3cr3t"},
        {"prompt": ["s3cr3t"]},
        {"request": {"messages": [{"content": "s3cr3t"}]}},
        {"headers": [("Authorization", "Bearer s3cr3t")]},
        {"headers": [(b"authorization", b"s3cr3t")]},
        {"detail": "401 for bearer s3cr3t"},
        {"detail": "BEARER\ts3cr3t"},
        {"error": ValueError("Basic s3cr3t")},
        {"chunk": memoryview(b"s3cr3t")},
        {"deep": [[[[[[[["s3cr3t"]]]]]]]]},
    ],
    ids=lambda fields: next(iter(fields)),
)
def test_secrets_and_bodies_are_redacted(stream: io.BytesIO, fields: dict[str, Any]) -> None:
    structlog.get_logger().info("request", **fields)
    assert b"s3cr3t" not in stream.getvalue()
    assert REDACTED.encode() in stream.getvalue()


def test_library_lines_are_json_and_redacted(stream: io.BytesIO) -> None:
    with request_logs("r-1"):
        logging.getLogger("aiohttp.server").error("bad header Bearer %s", "s3cr3t")
    [line] = lines_of(stream)
    assert (line["request_id"], line["level"]) == ("r-1", "error")
    assert "s3cr3t" not in line["event"]


def test_traceback_contains_no_local_variables(stream: io.BytesIO) -> None:
    def fail(body: str) -> None:
        raise RuntimeError("failed")

    try:
        fail("a confidential contract")
    except RuntimeError:
        structlog.get_logger().exception("request failed")
        logging.getLogger("mode").exception("service failed")
    assert [line["exception"][0]["exc_type"] for line in lines_of(stream)] == ["RuntimeError"] * 2
    assert b"confidential" not in stream.getvalue()


def test_broken_output_pipe_does_not_fail_requests() -> None:
    # After the reader of the log output has died, writing a line raises BrokenPipeError in the
    # middle of a request. The line must be dropped, or the caller would see a failed request.
    class DeadPipe(io.BytesIO):
        def write(self, data: Any) -> int:
            raise BrokenPipeError

    configure_logs(LogLevel.INFO, "milan-1", DeadPipe())
    try:
        structlog.get_logger().info("request ended")
    finally:
        structlog.reset_defaults()


class Pipe:
    """Non-blocking pipe that accepts a limited number of bytes, as if its reader had stopped."""

    def __init__(self, free_bytes: int) -> None:
        self.free_bytes = free_bytes
        self.received = b""

    def write(self, data: bytes) -> int:
        if not self.free_bytes:
            raise BlockingIOError
        part = data[: self.free_bytes]
        self.free_bytes -= len(part)
        self.received += part
        return len(part)


def test_full_pipe_drops_lines_without_blocking() -> None:
    """Guard against a process that blocks because the reader of its logs has stopped.

    Lines are dropped while the pipe is full. Once it accepts data again, the partly written line
    is completed first, and a notice reports how many lines were dropped.
    """
    pipe = Pipe(free_bytes=6)
    output = RateLimitedStream(pipe.write, lambda: 0.0)
    for line in (b"one\n", b"two\n", b"three\n", b"four\n"):
        output.write(line)
    pipe.free_bytes = 1_000
    output.write(b"five\n")
    first, second, notice, last = pipe.received.splitlines()
    assert (first, second, last) == (b"one", b"two", b"five")
    assert orjson.loads(notice)["lines"] == 2


def test_line_rate_is_limited_and_dropped_lines_are_counted() -> None:
    pipe, now_s = Pipe(free_bytes=10**9), [0.0]
    output = RateLimitedStream(pipe.write, lambda: now_s[0])
    for _ in range(int(MAX_BURST_LINES) + 50):
        output.write(b"line\n")
    now_s[0] = 1.0
    output.write(b"line\n")
    lines = pipe.received.splitlines()
    assert lines.count(b"line") == MAX_BURST_LINES + 1
    assert orjson.loads(lines[-2])["lines"] == 50


def test_refusals_are_logged_while_successes_exceed_the_rate_limit() -> None:
    """Guard against losing the lines of refused requests in a burst of answered ones.

    With thousands of answered requests in a second, a rate limit that treats all lines alike would
    drop the lines of the few refusals too, and their cause couldn't be found.
    """
    pipe = Pipe(free_bytes=10**9)
    output = RateLimitedStream(pipe.write, lambda: 0.0, is_low_priority)
    answered = b'{"outcome":"answered","event":"relay ended","level":"info"}\n'
    refused = b'{"outcome":"refused","event":"relay ended","level":"info"}\n'
    failed = b'{"end":"lost","event":"relay attempt ended","level":"info"}\n'
    for _ in range(5_000):
        output.write(answered)
    for _ in range(100):
        output.write(refused)
        output.write(failed)
    lines = pipe.received.splitlines(keepends=True)
    assert lines.count(refused) == lines.count(failed) == 100
    assert lines.count(answered) == MAX_BURST_LINES - RESERVED_LINES + 1


def test_line_ends_with_level_time_and_vm(stream: io.BytesIO) -> None:
    log = structlog.get_logger()
    log.warning("late", wait_s=1.5)
    log.warn("late")
    late, _ = lines_of(stream)
    assert list(late) == ["wait_s", "event", "level", "timestamp", "vm"]
    assert [line["level"] for line in lines_of(stream)] == ["warning", "warning"]
    assert late["timestamp"].endswith("Z")
    assert datetime.fromisoformat(late["timestamp"]).tzinfo is UTC


@pytest.mark.parametrize(
    "fields",
    [
        {"peer": LONG},
        {"error": ValueError(LONG)},
        {"reasons": (LONG, LONG)},
        {"named": {LONG: LONG}},
        {"named": {f"vm-{number}": LONG for number in range(2_000)}},
        {"keys": list(range(1_000_000))},
        {"nested": [[LONG] * 100] * 100},
    ],
    ids=lambda fields: next(iter(fields))[:10],
)
def test_line_is_bounded_whatever_it_quotes(stream: io.BytesIO, fields: dict[str, Any]) -> None:
    """Guards against names and errors of megabytes, as peers, servers and the store send them."""
    structlog.get_logger().warning("peer link lost", request_id="r-1", **fields)
    [line] = lines_of(stream)
    assert (line["event"], line["request_id"]) == ("peer link lost", "r-1")
    assert len(stream.getvalue()) <= 2 * MAX_LINE_BYTES


def test_lines_of_libraries_are_bounded(stream: io.BytesIO) -> None:
    """Libraries quote what they could not parse."""
    logging.getLogger("aiohttp.server").error("bad header %s", LONG)
    [line] = lines_of(stream)
    assert line["event"].startswith("bad header xxx")
    assert len(stream.getvalue()) <= MAX_LINE_BYTES
