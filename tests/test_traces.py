import io
from typing import Any

import orjson
import pytest

from pomelobarrow.kernel.settings import TraceExporter
from pomelobarrow.operators.traces import Traces

TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
PARENT_ID = "b7ad6b7169203331"
TRACEPARENT = f"00-{TRACE_ID}-{PARENT_ID}-01"


@pytest.fixture
def stream() -> io.BytesIO:
    return io.BytesIO()


@pytest.fixture
def traces(stream: io.BytesIO) -> Traces:
    return Traces(TraceExporter.STDERR, "milan-1", "milan", stream)


def spans_of(stream: io.BytesIO) -> dict[str, dict[str, Any]]:
    return {span["span"]: span for span in map(orjson.loads, stream.getvalue().splitlines())}


def test_each_hop_is_a_child_of_the_previous_one(traces: Traces, stream: io.BytesIO) -> None:
    with (
        traces.span("entry", TRACEPARENT, class_name="draft") as entry,
        traces.span("engine", entry.traceparent) as engine,
    ):
        engine.set("server", "drafting-1")
    spans = spans_of(stream)
    assert spans["entry"]["parent_id"] == PARENT_ID
    assert spans["engine"]["parent_id"] == spans["entry"]["span_id"]
    assert {span["trace_id"] for span in spans.values()} == {TRACE_ID}
    assert spans["entry"]["attributes"] == {"class_name": "draft"}
    assert spans["engine"]["attributes"] == {"server": "drafting-1"}
    assert entry.trace_id == TRACE_ID


@pytest.mark.parametrize(
    "parent", ["", "garbage", f"00-{'0' * 32}-{PARENT_ID}-01", f"ff-{TRACE_ID}-{PARENT_ID}-01"]
)
def test_bad_traceparent_starts_a_new_trace(
    traces: Traces, stream: io.BytesIO, parent: str
) -> None:
    with traces.span("entry", parent) as entry:
        assert len(entry.trace_id) == 32
    assert spans_of(stream)["entry"]["parent_id"] is None
    assert entry.trace_id != TRACE_ID


def test_unsampled_trace_is_propagated_but_not_written(traces: Traces, stream: io.BytesIO) -> None:
    with traces.span("entry", TRACEPARENT[:-1] + "0") as entry:
        assert entry.traceparent.startswith(f"00-{TRACE_ID}-")
        assert entry.traceparent.endswith("-00")
    assert stream.getvalue() == b""


def test_error_is_recorded_by_type_only(traces: Traces, stream: io.BytesIO) -> None:
    with pytest.raises(ValueError, match="contract"), traces.span("entry"):
        raise ValueError("a confidential contract")
    assert spans_of(stream)["entry"]["status"] == "error"
    assert spans_of(stream)["entry"]["error"] == "ValueError"
    assert b"confidential" not in stream.getvalue()


def test_disabled_traces_propagate_the_traceparent(stream: io.BytesIO) -> None:
    traces = Traces(TraceExporter.OFF, "milan-1", "milan", stream)
    with traces.span("entry", TRACEPARENT) as entry:
        entry.set("server", "drafting-1")
    assert (entry.traceparent, entry.trace_id) == (TRACEPARENT, TRACE_ID)
    assert stream.getvalue() == b""
