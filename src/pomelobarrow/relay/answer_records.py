"""Record what the answers of backend servers and peers show about servers."""

from collections.abc import Callable

from attrs import define

from pomelobarrow.decision.requests.work import BackendServer, LoadReport
from pomelobarrow.decision.servers.departures import DepartureSource
from pomelobarrow.decision.servers.load_table import LoadTable
from pomelobarrow.dispatch.crash_guard import CrashGuard
from pomelobarrow.dispatch.events import ServerLoadInvalid, ServerSlowdownInvalid
from pomelobarrow.dispatch.server_announcements import record_announcement
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.relay.crash_evidence import running_request
from pomelobarrow.relay.messages import RelayRequest, ServerAnswerHead


@define(kw_only=True)
class AnswerRecords:
    """Update this VM's view of the servers by the head of each answer."""

    table: LoadTable
    guard: CrashGuard
    observe: Callable[[object], None]

    def of_server(self, server: BackendServer, head: ServerAnswerHead) -> None:
        """Record what a server states about itself, and its load."""
        if head.is_other_server:
            return
        record_announcement(self.table, server, head.announced, self.observe)
        if head.is_load_invalid:
            self.observe(ServerLoadInvalid(server=server.name, pool=server.pool))
        # The server may have been replaced by another incarnation since the request was sent.
        if head.counts is None or not self.table.is_current_incarnation(server):
            return
        if head.counts.is_slowdown_invalid:
            self.observe(ServerSlowdownInvalid(server=server.name, pool=server.pool))
        now = now_unix_s()
        partial_report = LoadReport(
            server=server.name,
            measured_unix_s=now,
            running=head.counts.running,
            waiting=head.counts.waiting,
            slowdown=head.counts.slowdown,
            is_partial=True,
        )
        self.table.observe_partial_report(partial_report, now)

    def of_peer(self, request: RelayRequest, head: ServerAnswerHead) -> None:
        """Record the servers that a peer names: one that crashed, and one that leaves."""
        if head.ended_server_key is not None:
            running = [running_request(request, request.parts_by_fingerprint)]
            self.guard.note_crash(head.ended_server_key, request.work.pool, running)
        if head.leaving_server_key is not None:
            self.table.departures.observe(
                head.leaving_server_key, DepartureSource.PEER_ANSWER, now_unix_s()
            )
