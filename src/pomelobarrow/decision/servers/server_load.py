"""Estimate one backend server's load from own charges, peers' counts and a lagging report."""

from collections import deque
from collections.abc import Mapping

from attrs import define, field

from pomelobarrow.decision.requests.work import InFlight, LoadReport

# Released charges are kept this long, to compare reports that were measured before the release.
RELEASED_RETENTION_S = 10.0
# An older report doesn't describe the current load.
MAX_REPORT_AGE_S = 10.0
REPORTS_COMPARED = 2
MIN_PRUNE_AT_CHARGES = 64
NOTHING = InFlight()


@define(kw_only=True)
class Charge:
    """The load of one of this VM's requests on its server."""

    server_name: str
    # Prompt tokens that the engine has to compute before the first token.
    tokens: int
    kv_tokens: int
    charged_unix_s: float
    # Prefill tokens queued ahead of it; None if it may have waited for more than prefill.
    tokens_ahead: int | None = None
    started_unix_s: float | None = None
    released_unix_s: float | None = None

    def is_in_flight_at(self, unix_s: float) -> bool:
        """Return whether the request was in flight at a past time."""
        return self.charged_unix_s <= unix_s and not _is_past(self.released_unix_s, unix_s)

    def tokens_at(self, unix_s: float) -> int:
        """Return the prompt tokens that were still to be computed at a past time."""
        return 0 if _is_past(self.started_unix_s, unix_s) else self.tokens


@define(kw_only=True)
class _Unexplained:
    """Load in one report beyond own charges and peers' counts, and those counts by peer."""

    requests: int
    tokens: int
    peers: dict[str, InFlight]

    def forget_peer(self, vm: str) -> None:
        count = self.peers.pop(vm, NOTHING)
        self.requests += count.requests
        self.tokens += count.tokens


@define
class ServerLoad:
    """The requests and prompt tokens in flight on one server.

    Own charges are exact and peers' counts are fresher than reports, so both are added up, and many
    placements can be made between two reports. Each report is compared with the charges and counts
    of the time at which it was measured. The difference is load that no VM accounts for, such as
    the requests of a crashed VM.
    """

    own_requests: int = 0
    own_tokens: int = 0
    own_kv_tokens: int = 0
    report: LoadReport | None = None
    measured_unix_s: float = float("-inf")
    _charges: list[Charge] = field(factory=list)
    # Released charges are kept for reports of their time. Scanning them at every release took 3% of
    # a request's time. The threshold doubles with the list, so that scans are rare and the list is
    # bounded even without reports.
    _prune_at_charges: int = MIN_PRUNE_AT_CHARGES
    _peers_requests: int = 0
    _peers_tokens: int = 0
    _unexplained: deque[_Unexplained] = field(factory=lambda: deque(maxlen=REPORTS_COMPARED))
    _unexplained_requests: int = 0
    _unexplained_tokens: int = 0

    @property
    def peers_requests(self) -> int:
        """Return the number of requests that peers have in flight."""
        return self._peers_requests

    @property
    def own(self) -> InFlight:
        """Return this VM's requests and tokens in flight."""
        return InFlight(requests=self.own_requests, tokens=self.own_tokens)

    def others_requests(self, now_unix_s: float) -> int:
        """Return the requests in flight that aren't this VM's, as far as they are known."""
        if now_unix_s - self.measured_unix_s <= MAX_REPORT_AGE_S:
            return max(0, self._peers_requests + self._unexplained_requests)
        return max(0, self._peers_requests)

    def others_tokens(self, now_unix_s: float) -> int:
        """Return the prompt tokens of other VMs that are still to be computed."""
        if now_unix_s - self.measured_unix_s <= MAX_REPORT_AGE_S:
            return max(0, self._peers_tokens + self._unexplained_tokens)
        return max(0, self._peers_tokens)

    def requests(self, now_unix_s: float) -> int:
        """Return the estimated number of requests in flight on the server."""
        return self.own_requests + self.others_requests(now_unix_s)

    def tokens(self, now_unix_s: float) -> int:
        """Return the estimated prompt tokens still to be computed on the server."""
        return self.own_tokens + self.others_tokens(now_unix_s)

    def add(self, charge: Charge) -> None:
        """Add the charge of a new request."""
        self._charges.append(charge)
        self.own_requests += 1
        self.own_tokens += charge.tokens
        self.own_kv_tokens += charge.kv_tokens

    def start(self, charge: Charge, now_unix_s: float) -> None:
        """Subtract the prefill tokens of a charge whose first token has arrived."""
        if charge.started_unix_s is not None:
            return
        charge.started_unix_s = now_unix_s
        self.own_tokens -= charge.tokens

    def release(self, charge: Charge, now_unix_s: float) -> None:
        """Subtract a charge whose request has ended."""
        self.start(charge, now_unix_s)
        charge.released_unix_s = now_unix_s
        self.own_requests -= 1
        self.own_kv_tokens -= charge.kv_tokens
        if len(self._charges) >= self._prune_at_charges:
            self._prune_released(now_unix_s)

    def observe_report(
        self, report: LoadReport, measured_unix_s: float, peers: Mapping[str, InFlight]
    ) -> None:
        """Compare a report with own charges and peers' counts of its time; ignore an older one."""
        if measured_unix_s <= self.measured_unix_s:
            return
        self.report = report
        self.measured_unix_s = measured_unix_s
        in_flight = [c for c in self._charges if c.is_in_flight_at(measured_unix_s)]
        requests, tokens = len(in_flight), sum(c.tokens_at(measured_unix_s) for c in in_flight)
        for count in peers.values():
            requests += count.requests
            tokens += count.tokens
        self._unexplained.append(
            _Unexplained(
                requests=report.running + report.waiting - requests,
                tokens=0 if report.is_partial else report.queued_prefill_tokens - tokens,
                peers=dict(peers),
            )
        )
        self._update_unexplained()
        self._prune_released(measured_unix_s)

    def replace_peer(self, old: InFlight, new: InFlight) -> None:
        """Replace a peer's previous count by its new one."""
        self._peers_requests += new.requests - old.requests
        self._peers_tokens += new.tokens - old.tokens

    def forget_peer(self, vm: str, last: InFlight) -> None:
        """Remove a peer's count; its remaining requests are counted by the server's reports."""
        self.replace_peer(last, NOTHING)
        for unexplained in self._unexplained:
            unexplained.forget_peer(vm)
        self._update_unexplained()

    def _update_unexplained(self) -> None:
        """Set the unexplained load to the mean difference of the last reports, of either sign."""
        # Counts and reports aren't of exactly the same time, so a single report is often off by a
        # few. If only positive differences counted, servers with free slots would appear full.
        reports = len(self._unexplained) or 1
        self._unexplained_requests = round(sum(u.requests for u in self._unexplained) / reports)
        self._unexplained_tokens = round(sum(u.tokens for u in self._unexplained) / reports)

    def _prune_released(self, now_unix_s: float) -> None:
        oldest_unix_s = max(self.measured_unix_s, now_unix_s - RELEASED_RETENTION_S)
        self._charges = [c for c in self._charges if not _is_past(c.released_unix_s, oldest_unix_s)]
        self._prune_at_charges = max(MIN_PRUNE_AT_CHARGES, 2 * len(self._charges))


def _is_past(event_unix_s: float | None, unix_s: float) -> bool:
    return event_unix_s is not None and event_unix_s <= unix_s
