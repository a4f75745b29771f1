"""Write the page section, the plot and the table of targets of a full run."""

import json
import os
import re
import time
from pathlib import Path
from typing import Any

import matplotlib

from bench.scenarios import GATEWAY, LEAST_LOAD, ROUND_ROBIN
from bench.targets import REVIEW_BY_DEPLOYMENT, comparison_row, evaluate

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402  (the backend is chosen before the first figure)

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "BENCH.md"
PLOTS = ROOT / "docs" / "bench"
RESULTS = Path(__file__).parent / "results"
HEADING = "## The two deployments under load and faults"
SECTION = re.compile(rf"^{HEADING}$.*?(?=^## |\Z)", re.MULTILINE | re.DOTALL)
TITLE = "# Measured figures\n"
TEXT = """\
`make bench` writes this section, `bench/results/` and the plot. Real daemons and stand-ins, six
entry VMs for each deployment, all connections through the fault-injecting proxy with the brief's
delays, time not scaled, both deployments side by side on one machine. So that they fit on it, an
engine has 4 slots; a step computes {prefill}. Load is stated as a share of the capacity measured in
the same run; the comparison of policies is loaded to 85% of what *round robin* can stand, so that
no policy is past its capacity there. How to read and run it: [how-to/bench](how-to/bench.md).
"""
PREFILL = "64 prompt tokens at Vasktoru and 32 at Rondinella"
CLASS_COLUMNS = (
    "class",
    "rank",
    "sent",
    "met target",
    "first token p50 / p95 / p99 s",
    "end p50 / p95 / p99 s",
    "outside home",
    "refused",
    "unknown",
    "engine-s",
    "prefill tokens",
    "recomputed",
)


def write_report(results: dict[str, Any]) -> None:
    """Write the targets and the plot, and replace this section of the page."""
    PLOTS.mkdir(parents=True, exist_ok=True)
    plot(results, PLOTS / "comparison.png")
    page = PAGE.read_text() if PAGE.exists() else TITLE
    text = section(results)
    (RESULTS / "targets.json").write_text(json.dumps(target_rows(results), indent=1) + "\n")
    replaced, count = SECTION.subn(lambda _: text + "\n", page)
    PAGE.write_text(replaced.rstrip() + "\n" if count else f"{page.rstrip()}\n\n{text}\n")


def target_rows(results: dict[str, Any]) -> list[dict[str, str]]:
    """Return the evaluated targets for the results file."""
    return [
        {
            "deployment": each.deployment,
            "target": each.name,
            "aim": each.aim,
            "measured": each.measured,
            "verdict": each.verdict,
        }
        for each in evaluate(results)
    ]


def section(results: dict[str, Any]) -> str:
    """Return the page section as Markdown."""
    load_before = ", ".join(f"{each:.1f}" for each in os.getloadavg())
    lines = [HEADING, "", TEXT.format(prefill=PREFILL)]
    lines.append(
        f"Run on {time.strftime('%Y-%m-%d %H:%M')} on {os.cpu_count()} cores; load average"
    )
    lines.append(f"of the whole machine at the end, for 1, 5 and 15 minutes: {load_before}.")
    lines += ["", "### Targets", "", *_target_table(results), ""]
    lines += ["![p99 to first token and recomputed tokens](bench/comparison.png)", ""]
    for name, each in results.items():
        lines += _deployment(name, each)
    return "\n".join(lines).rstrip() + "\n"


def _target_table(results: dict[str, Any]) -> list[str]:
    lines = ["| deployment | target | aim | measured | |", "|---|---|---|---|---|"]
    lines += [
        f"| {each.deployment} | {each.name} | {each.aim} | {each.measured} | {each.verdict} |"
        for each in evaluate(results)
    ]
    return lines


def _deployment(name: str, results: dict[str, Any]) -> list[str]:
    capacities = ", ".join(f"{p} {each}" for p, each in results["capacity_per_s"].items())
    lines = [
        f"### {name.capitalize()}",
        "",
        f"Capacity, engine requests a second: {capacities}.",
        "",
    ]
    lines += ["| scenario | policy | weighted goodput a second | paying waited > 0.1 s |"]
    lines[-1] += " of these while trial ran | trial begun before them |"
    lines += ["|---|---|---:|---:|---:|---:|"]
    for each in results["scenarios"]:
        waits = each["waits"]
        lines.append(
            f"| {each['name']} | {each['policy']} | {each['goodput_per_s']} | "
            f"{waits['waited']} of {waits['paying']} | {waits['waited_while_trial_ran']} | "
            f"{waits['trial_began_first']} |"
        )
    lines.append("")
    for each in results["scenarios"]:
        lines += _scenario(each)
    return lines


def _scenario(scenario: dict[str, Any]) -> list[str]:
    lines = [f"**{scenario['name']}, {scenario['policy']}**", ""]
    lines.append("| " + " | ".join(CLASS_COLUMNS) + " |")
    lines.append("|---|---|" + "---:|" * (len(CLASS_COLUMNS) - 2))
    for row in scenario["classes"]:
        lines.append("| " + " | ".join(_cells(row)) + " |")
    return [*lines, ""]


def _cells(row: dict[str, Any]) -> list[str]:
    sent = row["sent"]
    return [
        row["class"],
        row["rank"],
        str(sent),
        f"{100 * row['met'] / sent:.1f}%",
        _times(row["first_token_s"]),
        _times(row["end_s"]),
        f"{100 * row['outside_home'] / sent:.1f}%",
        str(row["refused"]),
        str(row["unknown"] + row["unreached"]),
        str(row["engine_s"]),
        str(row["prefill_tokens"]),
        str(row["recomputed_tokens"]),
    ]


def _times(times: dict[str, float | None]) -> str:
    return " / ".join("-" if value is None else f"{value:.2f}" for value in times.values())


def plot(results: dict[str, Any], path: Path) -> None:
    """Plot the first-token times and recomputed tokens of the policies side by side."""
    policies = (ROUND_ROBIN, LEAST_LOAD, GATEWAY)
    figure, axes = pyplot.subplots(2, len(results), figsize=(9, 6), squeeze=False)
    for column, (name, each) in enumerate(results.items()):
        rows = [comparison_row(each, policy, REVIEW_BY_DEPLOYMENT[name]) for policy in policies]
        upper, lower = axes[0][column], axes[1][column]
        for percent in ("p50", "p95", "p99"):
            upper.plot(
                policies, [row["first_token_s"][percent] for row in rows], "o-", label=percent
            )
        upper.set_title(f"{name}: {REVIEW_BY_DEPLOYMENT[name]} at 85%")
        upper.set_ylabel("first token, s")
        upper.set_ylim(bottom=0)
        upper.legend()
        tokens = [row["recomputed_tokens"] / max(1, row["repeated_prompts"]) for row in rows]
        lower.bar(policies, tokens)
        lower.set_ylabel("recomputed tokens a repeated prompt")
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
