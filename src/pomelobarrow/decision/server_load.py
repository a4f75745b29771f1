"""Estimate one backend server's load from own charges, peers' counts and a lagging report."""

from collections import deque
from collections.abc import Mapping

from attrs import define, field

from pomelobarrow.decision.work import InFlight, LoadReport

# A released charge is kept this long for a report that was measured before its release.
RELEASED_KEPT_S = 10.0
# An older report says nothing of the present.
REPORT_GOOD_FOR_S = 10.0
REPORTS_COMPARED = 2
MIN_DROP_AT_CHARGES = 64
NOTHING = InFlight()


@define(kw_only=True)
class Charge:
    """Hold what one own request takes of a server."""

    server_name: str
    # Prompt tokens that the engine has to compute before the first token.
    tokens: int
    kv_tokens: int
    charged_unix_s: float
    # None where the request may have waited for more than prefill.
    tokens_ahead: int | None = None
    started_unix_s: float | None = None
    released_unix_s: float | None = None

    def is_held_at(self, unix_s: float) -> bool:
        """Say whether the request was on its server at a past time."""
        return self.charged_unix_s <= unix_s and not _is_past(self.released_unix_s, unix_s)

    def tokens_at(self, unix_s: float) -> int:
        """Count the tokens that were still to be computed at a past time."""
        return 0 if _is_past(self.started_unix_s, unix_s) else self.tokens


@define(kw_only=True)
class _Unexplained:
    """Hold what one report counts beyond own charges and what each peer told of that time."""

    requests: int
    tokens: int
    peers: dict[str, InFlight]

    def forget_peer(self, vm: str) -> None:
        count = self.peers.pop(vm, NOTHING)
        self.requests += count.requests
        self.tokens += count.tokens


@define
class ServerLoad:
    """Add up what a server has in flight.

    Own charges are exact and peers' counts are fresher than reports, so both count at once; one
    late report serves many placements. A report is compared with what both were when it was
    measured, and the difference is what nobody tells of, such as a dead VM's requests.
    """

    own_requests: int = 0
    own_tokens: int = 0
    own_kv_tokens: int = 0
    report: LoadReport | None = None
    measured_unix_s: float = float("-inf")
    _charges: list[Charge] = field(factory=list)
    # Released charges are kept for the report of their time. Looking through them at every release
    # took 3% of a request; doubling keeps the look rare and the list bounded without reports.
    _drop_at_charges: int = MIN_DROP_AT_CHARGES
    _peers_requests: int = 0
    _peers_tokens: int = 0
    _unexplained: deque[_Unexplained] = field(factory=lambda: deque(maxlen=REPORTS_COMPARED))
    _unexplained_requests: int = 0
    _unexplained_tokens: int = 0

    @property
    def is_glimpsed(self) -> bool:
        """Say whether the newest word on its load came with an answer."""
        return self.report is not None and self.report.is_partial

    @property
    def peers_requests(self) -> int:
        """Count the requests that peers tell of."""
        return self._peers_requests

    @property
    def own(self) -> InFlight:
        """Return what this VM has in flight."""
        return InFlight(requests=self.own_requests, tokens=self.own_tokens)

    def requests(self, now_unix_s: float) -> int:
        """Count the requests in flight here now, as far as is known."""
        unexplained = self._unexplained_requests if self._is_report_good(now_unix_s) else 0
        return self.own_requests + max(0, self._peers_requests + unexplained)

    def tokens(self, now_unix_s: float) -> int:
        """Count the prompt tokens still to be computed here."""
        unexplained = self._unexplained_tokens if self._is_report_good(now_unix_s) else 0
        return self.own_tokens + max(0, self._peers_tokens + unexplained)

    def add(self, charge: Charge) -> None:
        """Count a charge."""
        self._charges.append(charge)
        self.own_requests += 1
        self.own_tokens += charge.tokens
        self.own_kv_tokens += charge.kv_tokens

    def start(self, charge: Charge, now_unix_s: float) -> None:
        """Take off the prefill of a charge whose first token came."""
        if charge.started_unix_s is not None:
            return
        charge.started_unix_s = now_unix_s
        self.own_tokens -= charge.tokens

    def release(self, charge: Charge, now_unix_s: float) -> None:
        """Take off a charge whose request ended."""
        self.start(charge, now_unix_s)
        charge.released_unix_s = now_unix_s
        self.own_requests -= 1
        self.own_kv_tokens -= charge.kv_tokens
        if len(self._charges) >= self._drop_at_charges:
            self._drop_released(now_unix_s)

    def observe_report(
        self, report: LoadReport, measured_unix_s: float, peers: Mapping[str, InFlight]
    ) -> None:
        """Compare a newer report with own charges and peers' counts of its time."""
        if measured_unix_s <= self.measured_unix_s:
            return
        self.report = report
        self.measured_unix_s = measured_unix_s
        held = [c for c in self._charges if c.is_held_at(measured_unix_s)]
        requests = len(held) + sum(count.requests for count in peers.values())
        tokens = sum(c.tokens_at(measured_unix_s) for c in held)
        tokens += sum(count.tokens for count in peers.values())
        self._unexplained.append(
            _Unexplained(
                requests=report.running + report.waiting - requests,
                tokens=0 if report.is_partial else report.queued_prefill_tokens - tokens,
                peers=dict(peers),
            )
        )
        self._sum_up_unexplained()
        self._drop_released(measured_unix_s)

    def replace_peer(self, old: InFlight, new: InFlight) -> None:
        """Take in a peer's new count."""
        self._peers_requests += new.requests - old.requests
        self._peers_tokens += new.tokens - old.tokens

    def forget_peer(self, vm: str, last: InFlight) -> None:
        """Leave a peer's requests to the reports."""
        self.replace_peer(last, NOTHING)
        for unexplained in self._unexplained:
            unexplained.forget_peer(vm)
        self._sum_up_unexplained()

    def _is_report_good(self, now_unix_s: float) -> bool:
        return now_unix_s - self.measured_unix_s <= REPORT_GOOD_FOR_S

    def _sum_up_unexplained(self) -> None:
        """Take the mean difference of the last reports, of either sign."""
        # Counts and reports aren't of quite the same time, so that one report is often off by a
        # few. Were only what is too much added, servers would look full that aren't.
        reports = len(self._unexplained) or 1
        self._unexplained_requests = round(sum(u.requests for u in self._unexplained) / reports)
        self._unexplained_tokens = round(sum(u.tokens for u in self._unexplained) / reports)

    def _drop_released(self, now_unix_s: float) -> None:
        oldest_unix_s = max(self.measured_unix_s, now_unix_s - RELEASED_KEPT_S)
        self._charges = [c for c in self._charges if not _is_past(c.released_unix_s, oldest_unix_s)]
        self._drop_at_charges = max(MIN_DROP_AT_CHARGES, 2 * len(self._charges))


def _is_past(event_unix_s: float | None, unix_s: float) -> bool:
    return event_unix_s is not None and event_unix_s <= unix_s
