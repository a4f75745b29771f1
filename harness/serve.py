"""Run the platform's daemon program with its metrics on a given port."""

import cProfile
import os
import runpy
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import yaml
from attrs import evolve

from harness.partition import CutOrders, make_cuttable

# For how long software is remembered, in seconds; tests can't wait for the usual time.
RETENTION_VARIABLE = "STREAM_RETENTION_S"
PROGRAM = Path(__file__).parent.parent / "deploy" / "serve.py"


def main(settings_path: str, metrics_port: int, profile_path: str = "") -> int:
    """Run the program after changing the adapter's settings module, which it then reuses."""
    serve: Callable[[], int] = runpy.run_path(str(PROGRAM))["main"]
    from pomelobarrow.decision.streams.software_history import SoftwareHistory
    from pomelobarrow.platform import settings

    os.environ[settings.SETTINGS_VARIABLE] = settings_path
    settings.METRICS_PORT = metrics_port
    settings.translate_settings = _reading_dial(settings.translate_settings)
    _follow_cuts(yaml.safe_load(Path(settings_path).read_text()))
    retention_s = os.environ.get(RETENTION_VARIABLE)
    if retention_s:
        observe = _remembering_for(float(retention_s), SoftwareHistory.observe_routing)
        SoftwareHistory.observe_routing = observe
    return _profiled(serve, profile_path) if profile_path else serve()


def _follow_cuts(decoded: Any) -> None:
    """Let the daemon be cut off from VMs, if its settings name a folder of orders."""
    if "CutOrders" in decoded:
        orders = CutOrders(Path(decoded["CutOrders"]), decoded["Node"])
        make_cuttable(decoded["Ip"], decoded["VmIps"], orders)


def _reading_dial(translate: Callable[[Any], Any]) -> Callable[[Any], Any]:
    """Return a translation that also reads which addresses to dial in place of others."""

    def translate_with_dial(decoded: Any) -> Any:
        dial = dict(decoded.get("Dial", {}))
        return translate(decoded).map(lambda translated: evolve(translated, dial=dial))

    return translate_with_dial


def _remembering_for(retention_s: float, observe: Callable[..., bool]) -> Callable[..., bool]:
    """Return an observation of routes after which software is remembered for a time."""

    def observe_routing(history: Any, routing: Any, now_unix_s: float) -> bool:
        are_others = observe(history, routing, now_unix_s)
        history.retention_s = retention_s
        return are_others

    return observe_routing


def _profiled(serve: Callable[[], int], path: str) -> int:
    profile = cProfile.Profile()
    code = profile.runcall(serve)
    profile.dump_stats(path)
    return code


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], int(sys.argv[2]), *sys.argv[3:]))
