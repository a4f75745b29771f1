"""Eject failing or slow servers by the outcomes of attempts, and track first-answer times."""

from collections.abc import Callable, Iterable

from attrs import define, field

from pomelobarrow.backends.answer_buffers import STATED_LENGTH
from pomelobarrow.decision.requests.attempt_states import AttemptEnd
from pomelobarrow.decision.requests.work import BackendServer
from pomelobarrow.decision.servers.load_table import LoadTable
from pomelobarrow.decision.servers.outliers import OutlierDetector
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.relay.events import ServerEjected, ServerReadmitted
from pomelobarrow.relay.messages import AttemptReport
from pomelobarrow.relay.next_step import FIRST_SERVER_ERROR_STATUS

# Shorter times to the first answer depend more on the network than on the server.
SLOWNESS_BASE_S = 0.1
# A server that has not begun to answer after this multiple of the route's recent mean time, and not
# before the minimum, is assumed to hang or to have lost the request or its answer.
TIME_LIMIT_FACTOR = 4.0
MIN_TIME_LIMIT_S = 0.3
# A queue that was known when the request was sent may take this many times as long as expected.
# Without this allowance, queued requests are given up and sent to the next server's queue. That
# wastes work under overload and causes failures once the retry budget is used up.
QUEUE_FACTOR = 2.0
FIRST_ANSWER_WEIGHT = 0.05
BLAMELESS_ENDS = frozenset({AttemptEnd.REFUSED, AttemptEnd.WITHHELD})


@define(kw_only=True)
class ServerHealthMonitor:
    """Eject servers that fail or lag behind the others of their pool, and readmit them."""

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
        """Record how an attempt ended; what a server rejects does not count against it."""
        # Clients choose the event after which a stream is to go on, and how large an answer they
        # ask for.
        is_clients_choice = report.is_join_rejected or report.over_limit == STATED_LENGTH
        if report.end in BLAMELESS_ENDS or is_clients_choice:
            return
        # If that incarnation was replaced, the failure must not count against its successor.
        if not self.table.is_current_incarnation(server):
            return
        now = now_unix_s()
        if report.end in (AttemptEnd.PASSED_ON, AttemptEnd.ANSWERED):
            self._note_answer(server, now)
        else:
            self.table.mark_failed(server.name, now)
        slowness = _slowness(report, expected_s, sent_unix_s)
        self.outliers.observe(server.incarnation, _has_failed(report), slowness)
        self._eject_outlier(server, report.detail, now)

    def forgive(self, servers: Iterable[BackendServer]) -> None:
        """Drop the failures of servers that this VM can't reach for a fault of its own links."""
        for server in servers:
            self.table.forgive(server.name)
            self.outliers.forget(server.incarnation)
            self._ejected.discard(server.incarnation)

    def _note_answer(self, server: BackendServer, now_unix_s: float) -> None:
        self.table.mark_ok(server.name, now_unix_s)
        # A request that was in flight when the server was ejected may still be answered.
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
        is_first_report = server.incarnation not in self._ejected
        if is_first_report and self.table.is_ejected(server.name, now_unix_s):
            self._ejected.add(server.incarnation)
            self.observe(
                ServerEjected(server=server.name, pool=server.pool, detail=outlier_reason or detail)
            )


@define
class FirstAnswerTimes:
    """Track the recent mean time to the first answer of each route."""

    _mean_s: dict[str, float] = field(factory=dict)

    def observe(self, route: str, took_s: float) -> None:
        """Record the time to one first answer."""
        mean_s = self._mean_s.setdefault(route, took_s)
        self._mean_s[route] = mean_s + FIRST_ANSWER_WEIGHT * (took_s - mean_s)

    def time_limit_s(self, route: str, expected_wait_s: float) -> float:
        """Return the time within which a server should begin to answer."""
        base_s = max(MIN_TIME_LIMIT_S, TIME_LIMIT_FACTOR * self._mean_s.get(route, 0.0))
        return base_s + QUEUE_FACTOR * expected_wait_s


def _has_failed(report: AttemptReport) -> bool:
    if report.end is AttemptEnd.ANSWERED:
        assert report.answer is not None
        return report.answer.head.status >= FIRST_SERVER_ERROR_STATUS
    return report.end is not AttemptEnd.PASSED_ON


def _slowness(report: AttemptReport, expected_s: float, sent_unix_s: float) -> float | None:
    """Return the ratio of the measured to the expected time to the first answer."""
    if report.first_answer_unix_s is None:
        return None
    return (report.first_answer_unix_s - sent_unix_s) / (expected_s + SLOWNESS_BASE_S)
