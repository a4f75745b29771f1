"""Learn from how attempts end which servers to leave out, and how long a first answer takes."""

from collections.abc import Callable

from attrs import define, field

from pomelobarrow.decision.load_table import LoadTable
from pomelobarrow.decision.outliers import OutlierDetector
from pomelobarrow.decision.work import BackendServer
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.relay.events import ServerEjected, ServerReadmitted
from pomelobarrow.relay.messages import AttemptEnd, AttemptReport
from pomelobarrow.relay.next_step import FIRST_SERVER_ERROR_STATUS

# Under this, times to the first answer say more of the network than of the server.
SLOWNESS_BASE_S = 0.1
# A server that hasn't begun to answer by then has lost the request or its answer, or hangs: this
# many times what the route's answers take of late, and no sooner than the floor.
PATIENCE_FACTOR = 4.0
PATIENCE_FLOOR_S = 0.3
# A queue that was known when the request was sent may take this many times as long as expected.
# Without it, requests behind a queue were given up and sent to the next server's queue: work thrown
# away just where there is too much of it, and failures once the bound on repeats was reached.
QUEUE_FACTOR = 2.0
FIRST_ANSWER_WEIGHT = 0.05


@define(kw_only=True)
class ServerHealthMonitor:
    """Hold which servers were left out and how each compares with the others."""

    table: LoadTable
    observe: Callable[[object], None]
    outliers: OutlierDetector = field(factory=OutlierDetector)
    _ejected: set[str] = field(factory=set, init=False)

    def monitor(
        self,
        server: BackendServer,
        report: AttemptReport,
        expected_s: float,
        sent_unix_s: float,
    ) -> None:
        """Take in how an attempt ended; a refusal says nothing against a server."""
        # The incarnation that it was sent to is gone; its successor has done nothing wrong.
        if report.end is AttemptEnd.REFUSED or not self.table.is_current_incarnation(server):
            return
        now = now_unix_s()
        if report.end in (AttemptEnd.PASSED_ON, AttemptEnd.ANSWERED):
            self._note_answer(server, now)
        else:
            self.table.mark_failed(server.name, now)
        slowness = _slowness(report, expected_s, sent_unix_s)
        self.outliers.observe(server.incarnation, _has_failed(report), slowness)
        self._eject_outlier(server, report.detail, now)

    def _note_answer(self, server: BackendServer, now_unix_s: float) -> None:
        self.table.mark_ok(server.name, now_unix_s)
        # What was under way when the server was left out may still be answered.
        if server.incarnation in self._ejected and not self.table.is_ejected(
            server.name, now_unix_s
        ):
            self._ejected.discard(server.incarnation)
            self.observe(ServerReadmitted(server=server.name, pool=server.pool))

    def _eject_outlier(self, server: BackendServer, detail: str, now_unix_s: float) -> None:
        names = (each.incarnation for each in self.table.pool_servers(server.pool))
        outlier_reason = self.outliers.outlier_reason(server.incarnation, names)
        if outlier_reason:
            self.outliers.forget(server.incarnation)
            self.table.eject(server.name, now_unix_s)
        is_news = server.incarnation not in self._ejected
        if is_news and self.table.is_ejected(server.name, now_unix_s):
            self._ejected.add(server.incarnation)
            self.observe(
                ServerEjected(server=server.name, pool=server.pool, detail=outlier_reason or detail)
            )


@define
class FirstAnswers:
    """Hold how long each route's first answers take of late."""

    _usual_s: dict[str, float] = field(factory=dict)

    def learn(self, route: str, took_s: float) -> None:
        """Take in one first answer."""
        usual_s = self._usual_s.setdefault(route, took_s)
        self._usual_s[route] = usual_s + FIRST_ANSWER_WEIGHT * (took_s - usual_s)

    def time_limit_s(self, route: str, expected_wait_s: float) -> float:
        """Return within what time a server should have begun to answer."""
        usual_s = max(PATIENCE_FLOOR_S, PATIENCE_FACTOR * self._usual_s.get(route, 0.0))
        return usual_s + QUEUE_FACTOR * expected_wait_s


def _has_failed(report: AttemptReport) -> bool:
    if report.end is AttemptEnd.ANSWERED:
        assert report.answer is not None
        return report.answer.head.status >= FIRST_SERVER_ERROR_STATUS
    return report.end is not AttemptEnd.PASSED_ON


def _slowness(report: AttemptReport, expected_s: float, sent_unix_s: float) -> float | None:
    """Return the time to the first answer over what was expected of it."""
    if report.first_answer_unix_s is None:
        return None
    return (report.first_answer_unix_s - sent_unix_s) / (expected_s + SLOWNESS_BASE_S)
