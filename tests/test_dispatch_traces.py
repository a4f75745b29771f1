import json
from typing import Any

from callers import chat, chat_body, wait_until

from harness.deployments import VASKTORU
from harness.fleet import Fleet

TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
PARENT_ID = "b7ad6b7169203331"
HOPS = ["entry", "forward", "forwarded", "attempt"]


def spans(fleet: Fleet) -> list[dict[str, Any]]:
    logs = [fleet.processes.log(vm) for vm in fleet.entries]
    lines = [line for log in logs for line in log.splitlines() if '"span":' in line]
    return [each for each in map(json.loads, lines) if each["trace_id"] == TRACE_ID]


async def test_each_hop_of_a_forwarded_request_has_a_span() -> None:
    options = {"operators": {"trace": "stderr"}}
    async with Fleet(VASKTORU, daemon_options=options) as fleet:
        address, body = fleet.direct("tallinn-1"), chat_body("contract-reader")
        parent = f"00-{TRACE_ID}-{PARENT_ID}-01"

        # A retried forward adds a span, so the number of spans alone does not show completion.
        async def is_traced() -> bool:
            seen = spans(fleet)
            return len(seen) >= len(HOPS) and any(each["parent_id"] == PARENT_ID for each in seen)

        reply = await chat(
            fleet, address, "paying-rotterdam", "contract-review", body, traceparent=parent
        )
        assert reply.is_answered
        await wait_until(is_traced)
        by_parent = {each["parent_id"]: each for each in spans(fleet)}
        chain, span_id = [], PARENT_ID
        while span_id in by_parent:
            chain.append(by_parent[span_id])
            span_id = chain[-1]["span_id"]
        assert [each["span"] for each in chain] == HOPS
        assert [each["region"] for each in chain] == ["tallinn"] * 2 + ["rotterdam"] * 2
        assert chain[2]["vm"] == chain[1]["attributes"]["peer"]
