"""Record spans with the OpenTelemetry SDK and write each as a JSON line."""

from collections.abc import Mapping, Sequence
from types import TracebackType
from typing import Any, Self

import orjson
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor, SpanExporter, SpanExportResult
from opentelemetry.trace import Span, SpanContext, StatusCode, Tracer, format_span_id
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from pomelobarrow.operators.output import LossyStream
from pomelobarrow.operators.traces import AttributeValue, HopSpan, SpanStarter, trace_id_of

TRACEPARENT = "traceparent"
NANOSECONDS_PER_S = 1_000_000_000

_PROPAGATOR = TraceContextTextMapPropagator()


def span_starter(vm: str, region: str, output: LossyStream) -> SpanStarter:
    """Return a function that starts the spans of a VM."""
    tracer = _build_tracer(vm, region, output)

    def start(name: str, parent: str, attributes: Mapping[str, AttributeValue]) -> HopSpan:
        context = _PROPAGATOR.extract({TRACEPARENT: parent}) if parent else None
        return _RecordedSpan(tracer.start_span(name, context=context, attributes=attributes))

    return start


class _RecordedSpan:
    """Recorded span; of an error only the type is kept, since its message may quote a body."""

    __slots__ = ("_span", "traceparent")

    def __init__(self, span: Span) -> None:
        self._span = span
        self.traceparent = _traceparent(span.get_span_context())

    @property
    def trace_id(self) -> str:
        return trace_id_of(self.traceparent)

    def set(self, key: str, value: AttributeValue) -> None:
        self._span.set_attribute(key, value)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if kind is not None:
            self._span.set_status(StatusCode.ERROR, kind.__name__)
        self._span.end()


class _JsonLinesExporter(SpanExporter):
    """Exporter that writes each span as one JSON line."""

    def __init__(self, output: LossyStream) -> None:
        self._output = output

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write spans as JSON lines."""
        for span in spans:
            self._output.write(orjson.dumps(_span_line(span), option=orjson.OPT_APPEND_NEWLINE))
        self._output.flush()
        return SpanExportResult.SUCCESS


def _build_tracer(vm: str, region: str, output: LossyStream) -> Tracer:
    resource = Resource({"service.name": "pomelobarrow", "vm": vm, "region": region})
    provider = TracerProvider(resource=resource, shutdown_on_exit=False)
    # BatchSpanProcessor would start a thread of its own.
    provider.add_span_processor(SimpleSpanProcessor(_JsonLinesExporter(output)))
    return provider.get_tracer("pomelobarrow")


def _traceparent(context: SpanContext) -> str:
    return f"00-{context.trace_id:032x}-{context.span_id:016x}-{context.trace_flags:02x}"


def _span_line(span: ReadableSpan) -> dict[str, Any]:
    context = span.get_span_context()
    assert context is not None
    return {
        "span": span.name,
        "trace_id": f"{context.trace_id:032x}",
        "span_id": format_span_id(context.span_id),
        "parent_id": format_span_id(span.parent.span_id) if span.parent else None,
        "start_unix_s": (span.start_time or 0) / NANOSECONDS_PER_S,
        "end_unix_s": (span.end_time or 0) / NANOSECONDS_PER_S,
        "status": span.status.status_code.name.lower(),
        "error": span.status.description,
        "vm": span.resource.attributes["vm"],
        "region": span.resource.attributes["region"],
        "attributes": dict(span.attributes or {}),
    }
