"""Trace a span for each hop, passing W3C traceparent in and out; off by default."""

import sys
from collections.abc import Callable, Mapping
from types import TracebackType
from typing import Protocol, Self

from pomelobarrow.kernel.settings import TraceExporter
from pomelobarrow.operators.output import ByteStream, LossyStream

AttributeValue = str | int | float | bool


class HopSpan(Protocol):
    """Cover one hop; use it as a context manager."""

    @property
    def traceparent(self) -> str:
        """Return what to send to the next hop, or nothing."""

    @property
    def trace_id(self) -> str:
        """Return the trace's id for logs, or nothing."""

    def set(self, key: str, value: AttributeValue) -> None:
        """Set an attribute."""

    def __enter__(self) -> "HopSpan":
        """Begin."""

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """End."""


# Starts a span with a name under a traceparent, with attributes.
SpanStarter = Callable[[str, str, Mapping[str, AttributeValue]], HopSpan]


class Traces:
    """Start the spans of this VM."""

    def __init__(
        self,
        exporter: TraceExporter,
        vm: str,
        region: str,
        stream: ByteStream | None = None,
    ) -> None:
        self._start: SpanStarter | None = None
        if exporter is TraceExporter.STDERR:
            # Importing the SDK takes a fifth of a daemon's start; few daemons trace.
            from pomelobarrow.operators.recorded_spans import span_starter

            self._start = span_starter(vm, region, LossyStream(stream or sys.stderr.buffer))

    def span(self, name: str, parent: str = "", **attributes: AttributeValue) -> HopSpan:
        """Start a span under a traceparent, or a new trace when it has none or a bad one."""
        if self._start is None:
            return _PassthroughSpan(parent)
        return self._start(name, parent, attributes)


class _PassthroughSpan:
    """Pass the caller's traceparent on unchanged and record nothing."""

    __slots__ = ("traceparent",)

    def __init__(self, traceparent: str) -> None:
        self.traceparent = traceparent

    @property
    def trace_id(self) -> str:
        return trace_id_of(self.traceparent)

    def set(self, key: str, value: AttributeValue) -> None:
        pass

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *error: object) -> None:
        pass


def trace_id_of(traceparent: str) -> str:
    """Return the trace id inside a traceparent, or nothing."""
    parts = traceparent.split("-")
    return parts[1] if len(parts) == 4 else ""
