"""Keep the reports that came with servers' answers until peers have received them."""

from attrs import define, field

from pomelobarrow.decision.requests.work import LoadReport

# A partial report is sent to peers with the next heartbeat; an older one is out of date.
MAX_PARTIAL_REPORT_AGE_S = 2.0


@define
class PartialReports:
    """The last report of each server that came with an answer to this VM."""

    _reports: dict[str, LoadReport] = field(factory=dict)

    def add(self, report: LoadReport) -> None:
        """Replace a server's report."""
        self._reports[report.server] = report

    def recent(self, now_unix_s: float) -> list[LoadReport]:
        """Return the reports that aren't out of date."""
        oldest_unix_s = now_unix_s - MAX_PARTIAL_REPORT_AGE_S
        return [r for r in self._reports.values() if r.measured_unix_s >= oldest_unix_s]

    def forget(self, server: str) -> None:
        """Drop a server's report."""
        self._reports.pop(server, None)
