"""Background tasks that raise errors go on, and a heartbeat goes out without a part that fails."""

import re
from pathlib import Path

import pytest
from daemon_parts import SERVER, VM, daemon_parts, list_server
from mode import Service

from pomelobarrow.decision.requests.work import LoadReport
from pomelobarrow.decision.servers.load_table import LoadTable
from pomelobarrow.kernel import background
from pomelobarrow.kernel.background import StepFailed, background_task, failure_observer
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.operators.metrics import Metrics
from pomelobarrow.operators.plugin import Observer
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.exchange import Exchange
from pomelobarrow.peers.heartbeats import FIELDS_BY_PART, Heartbeats, SentUpdates

SRC = Path(__file__).resolve().parents[1] / "src" / "pomelobarrow"


@pytest.fixture
def failures() -> list[StepFailed]:
    observed: list[StepFailed] = []
    failure_observer.set(observed.append)  # type: ignore[arg-type]
    return observed


class Flaky(Service):
    """Fail at the first run of a task, then end."""

    def __init__(self) -> None:
        super().__init__()
        self.runs = 0

    @background_task
    async def _work(self) -> None:
        self.runs += 1
        if self.runs == 1:
            raise ValueError("an unexpected number")


async def test_error_in_a_background_task_does_not_stop_its_service(
    failures: list[StepFailed], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against the end of the process through one unexpected value."""
    monkeypatch.setattr(background, "RESTART_PAUSE_S", 0.0)
    service = Flaky()
    await service.start()
    while service.runs < 2:
        await service.sleep(0.0)
    crashed = service.crashed
    await service.stop()
    assert not crashed
    assert [(each.step, each.error) for each in failures] == [
        ("Flaky._work", "ValueError('an unexpected number')")
    ]
    assert "_work" in failures[0].traceback


def test_every_task_of_a_service_starts_again_after_an_error() -> None:
    """Guards against a new task whose error ends the process."""
    sources = {path: path.read_text(encoding="utf-8") for path in SRC.rglob("*.py")}
    unguarded = [
        path.name
        for path, source in sources.items()
        if path.name != "background.py"
        and re.search(r"Service\.task|add_future\((?!keep_running)", source)
    ]
    assert unguarded == []


def heartbeat_with_failing(part: str, monkeypatch: pytest.MonkeyPatch) -> list[pb.Heartbeat]:
    """Return a heartbeat of which a part fails, and the next one on the same stream."""
    context = daemon_parts()
    list_server(context)
    heartbeats, sent = context.get(Heartbeats), SentUpdates()
    whole = Heartbeats._parts

    def parts(self: Heartbeats, heartbeat: pb.Heartbeat, *others: object) -> dict:
        def write() -> None:
            heartbeat.ClearField(FIELDS_BY_PART[part][0])
            raise ValueError("Value out of range")

        return {**whole(self, heartbeat, *others), part: write}  # type: ignore[arg-type]

    with monkeypatch.context() as patch:
        patch.setattr(Heartbeats, "_parts", parts)
        failed = heartbeats.full("peer", True, sent)
    return [failed, heartbeats.full("peer", True, sent)]


@pytest.mark.parametrize("part", FIELDS_BY_PART)
def test_heartbeat_goes_out_without_a_part_that_fails(
    part: str, failures: list[StepFailed], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against peers that get no heartbeats since one part can't be written."""
    failed, following = heartbeat_with_failing(part, monkeypatch)
    assert (failed.vm, following.vm) == (VM, VM)
    assert following.is_whole
    assert [each.step for each in failures] == [f"heartbeat part {part}"]


def test_message_of_a_peer_that_fails_is_left_out(
    failures: list[StepFailed], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a link that ends at each connection, by a message that is sent again."""
    exchange = daemon_parts().get(Exchange)

    def fail(*arguments: object) -> None:
        raise ValueError("Value out of range")

    monkeypatch.setattr(Heartbeats, "apply", fail)
    exchange.handle(pb.PeerMessage(heartbeat=pb.Heartbeat(vm="milan-2")), "milan-2", print)
    assert [each.step for each in failures] == ["heartbeat of a peer"]


def test_failed_step_is_counted_and_logged(capsys: pytest.CaptureFixture[str]) -> None:
    metrics = Metrics()
    failed = StepFailed(step="heartbeat part pools", error="ValueError()", traceback="line 1")
    Observer(metrics).observe(failed)
    content, _ = metrics.render()
    series = 'pomelobarrow_steps_failed_total{step="heartbeat part pools"} 1'
    assert series in content.decode()
    assert "step failed" in capsys.readouterr().out


def test_reports_are_sent_again_after_a_part_has_failed(
    failures: list[StepFailed], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a report that counts as sent although its heartbeat left it out."""
    context = daemon_parts()
    list_server(context)
    now = now_unix_s()
    report = LoadReport(server=SERVER, measured_unix_s=now, running=3, waiting=0, is_partial=True)
    context.get(LoadTable).observe_partial_report(report, now)
    heartbeats, sent = context.get(Heartbeats), SentUpdates()

    def fail(*arguments: object) -> None:
        raise ValueError("Value out of range")

    with monkeypatch.context() as patch:
        patch.setattr("pomelobarrow.peers.server_updates.ServerUpdates._write_limits", fail)
        patch.setattr("pomelobarrow.peers.pool_updates.PoolUpdates.write", fail)
        first = heartbeats.full("peer", True, sent)
    second = heartbeats.full("peer", True, sent)
    assert (len(first.reports), len(second.reports)) == (0, 1)
