"""Write the section on a daemon's overhead in docs/BENCH.md."""

import re
from pathlib import Path
from typing import Any

PAGE = Path(__file__).parent.parent / "docs" / "BENCH.md"
HEADING = "## Overhead of a daemon"
# From the heading to the next one of the same level or the end of the page.
SECTION = re.compile(rf"^{HEADING}$.*?(?=^## |\Z)", re.MULTILINE | re.DOTALL)
TITLES = {
    "direct": "direct",
    "relay": "bare relay",
    "one": "one daemon",
    "two": "two daemons (forwarded)",
}
COLUMNS = {
    "first_token_ms": "first token, median ms",
    "first_token_p99_ms": "first token, p99 ms",
    "gap_mean_ms": "between tokens, mean ms",
    "gap_p99_ms": "between tokens, p99 ms",
    "cpu_per_request_us": "CPU a request, µs",
    "cpu_per_token_us": "CPU a streamed token, µs",
    "idle_cpu_percent": "CPU idle, % of a core",
}
TEXT = """\
`python -m bench.overhead --write` writes this section and `bench/results/overhead.json`. All ways
lead through the same proxy process to the same engine stand-in with a step of 3 ms; the request is
the demo's draft (5 kB). Latencies are taken one request at a time, CPU at 8 in flight: a request is
one with one token, a token is the slope from 1 to 250 tokens, the CPU used while idle taken off.
Logs, metrics and admission are on. "Two daemons" counts the CPU of both.
"""

LOAD_TEXT = """\
At the run's end the machine's load average over a minute was {load_1min:.1f} on {cores} cores. On a
busy machine the ratios move by a third from run to run; judge the aims on a quiet one."""


def section(results: dict[str, Any]) -> str:
    """Return the page section as Markdown."""
    lines = [HEADING, "", TEXT]
    lines.append("| way | " + " | ".join(COLUMNS.values()) + " |")
    lines.append("|---|" + "---:|" * len(COLUMNS))
    for name, figures in results["ways"].items():
        cells = (f"{figures[column]:.2f}" for column in COLUMNS)
        lines.append(f"| {TITLES[name]} | " + " | ".join(cells) + " |")
    return "\n".join([*lines, "", *_ratio_lines(results), ""])


def _ratio_lines(results: dict[str, Any]) -> list[str]:
    aims, memory = results["aims"], results["daemon_memory_mb"]
    lines = ["| beside the bare relay | CPU a request | CPU a streamed token |", "|---|---:|---:|"]
    lines += [
        f"| {TITLES[name]} | {each['cpu_per_request']:.2f} | {each['cpu_per_token']:.2f} |"
        for name, each in results["ratios_to_relay"].items()
    ]
    lines.append(
        f"| aim for one daemon | {aims['cpu_per_request']:.2f} | {aims['cpu_per_token']:.2f} |"
    )
    text = "Memory of the daemon (resident): idle {idle:.0f} MB, after the load {loaded:.0f} MB."
    return [*lines, "", text.format(**memory), "", LOAD_TEXT.format(**results["machine"])]


def write_table(results: dict[str, Any]) -> None:
    """Replace the section in the page, or append it."""
    page = PAGE.read_text() if PAGE.exists() else "# Measured figures\n\n"
    text = section(results)
    replaced, count = SECTION.subn(lambda _: text + "\n", page)
    PAGE.write_text(replaced.rstrip() + "\n" if count else f"{page.rstrip()}\n\n{text}")
