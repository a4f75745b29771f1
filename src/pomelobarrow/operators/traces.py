"""Record a span for each hop of a request and propagate the W3C traceparent; off by default."""

import sys
from collections.abc import Callable, Mapping
from types import TracebackType
from typing import Protocol, Self

from pomelobarrow.kernel.settings import TraceExporter
from pomelobarrow.operators.output import ByteStream, LossyStream

AttributeValue = str | int | float | bool


class HopSpan(Protocol):
    """Span of one hop, used as a context manager."""

    @property
    def traceparent(self) -> str:
        """Return the traceparent to send to the next hop, or an empty string."""

    @property
    def trace_id(self) -> str:
        """Return the trace id for logs, or an empty string."""

    def set(self, key: str, value: AttributeValue) -> None:
        """Set an attribute."""

    def __enter__(self) -> "HopSpan":
        """Enter the span."""

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """End the span."""


# Starts a span from its name, the parent's traceparent and attributes.
SpanStarter = Callable[[str, str, Mapping[str, AttributeValue]], HopSpan]


class Traces:
    """Factory for the spans of this VM."""

    def __init__(
        self,
        exporter: TraceExporter,
        vm: str,
        region: str,
        stream: ByteStream | None = None,
    ) -> None:
        self._start: SpanStarter | None = None
        if exporter is TraceExporter.STDERR:
            # Importing the SDK takes a fifth of a daemon's start-up time, and few daemons trace.
            from pomelobarrow.operators.recorded_spans import span_starter

            self._start = span_starter(vm, region, LossyStream(stream or sys.stderr.buffer))

    def span(self, name: str, parent: str = "", **attributes: AttributeValue) -> HopSpan:
        """Start a span under a traceparent, or a new trace if that is missing or invalid."""
        if self._start is None:
            return _PassthroughSpan(parent)
        return self._start(name, parent, attributes)


class _PassthroughSpan:
    """Span that propagates the caller's traceparent unchanged and records nothing."""

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
    """Return the trace id of a traceparent, or an empty string."""
    parts = traceparent.split("-")
    return parts[1] if len(parts) == 4 else ""
