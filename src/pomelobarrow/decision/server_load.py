"""Estimate one backend server's load from own charges, peers' counts and a lagging report."""

from attrs import define, field

from pomelobarrow.decision.work import InFlight, LoadReport

# A released charge is kept this long for a report that was measured before its release.
RELEASED_KEPT_S = 10.0
# An older report says nothing of the present.
REPORT_GOOD_FOR_S = 10.0
NOTHING = InFlight()


@define(kw_only=True)
class Charge:
    """Hold what one own request takes of a server."""

    server_name: str
    # Prompt tokens that the engine has to compute before the first token.
    tokens: int
    kv_tokens: int
    charged_unix_s: float
    tokens_ahead: int = 0
    started_unix_s: float | None = None
    released_unix_s: float | None = None

    def is_held_at(self, unix_s: float) -> bool:
        """Say whether the request was on its server at a past time."""
        return self.charged_unix_s <= unix_s and not _is_past(self.released_unix_s, unix_s)

    def tokens_at(self, unix_s: float) -> int:
        """Count the tokens that were still to be computed at a past time."""
        return 0 if _is_past(self.started_unix_s, unix_s) else self.tokens


@define
class _PeerCount:
    near: InFlight
    latest: InFlight


@define
class ServerLoad:
    """Add up what a server has in flight.

    A report counts everything up to when it was measured, whoever sent it. Own charges since then,
    and the change in the counts of each peer heard since then, come on top. So one late report
    serves many placements, and a dead or unheard peer's requests stay counted.
    """

    own_requests: int = 0
    own_tokens: int = 0
    own_kv_tokens: int = 0
    report: LoadReport | None = None
    measured_unix_s: float = float("-inf")
    _charges: list[Charge] = field(factory=list)
    _peers: dict[str, _PeerCount] = field(factory=dict)
    _peers_latest_requests: int = 0
    _peers_latest_tokens: int = 0
    # What the report counts beyond own charges and the peers heard since.
    _rest_requests: int = 0
    _rest_tokens: int = 0

    @property
    def own(self) -> InFlight:
        """Return what this VM has in flight."""
        return InFlight(requests=self.own_requests, tokens=self.own_tokens)

    def requests(self, now_unix_s: float) -> int:
        """Count the requests in flight here now, as far as is known."""
        rest = max(0, self._rest_requests) if self._is_report_good(now_unix_s) else 0
        return self.own_requests + self._peers_latest_requests + rest

    def tokens(self, now_unix_s: float) -> int:
        """Count the prompt tokens still to be computed here."""
        rest = max(0, self._rest_tokens) if self._is_report_good(now_unix_s) else 0
        return self.own_tokens + self._peers_latest_tokens + rest

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
        self._drop_released(now_unix_s)

    def observe_report(self, report: LoadReport, measured_unix_s: float) -> None:
        """Count from a newer report on."""
        if measured_unix_s <= self.measured_unix_s:
            return
        self.report = report
        self.measured_unix_s = measured_unix_s
        held = [c for c in self._charges if c.is_held_at(measured_unix_s)]
        held_tokens = sum(c.tokens_at(measured_unix_s) for c in held)
        self._rest_requests = report.running + report.waiting - len(held)
        self._rest_tokens = report.queued_prefill_tokens - held_tokens
        self._peers.clear()
        self._peers_latest_requests = self._peers_latest_tokens = 0
        self._drop_released(measured_unix_s)

    def observe_peer(self, vm: str, count: InFlight, heard_since_report: bool) -> None:
        """Take in a peer's count; `heard_since_report` says that an empty one came before."""
        if vm not in self._peers:
            near = NOTHING if heard_since_report else count
            self._peers[vm] = _PeerCount(near, NOTHING)
            self._rest_requests -= near.requests
            self._rest_tokens -= near.tokens
        self._replace_latest(self._peers[vm], count)

    def forget_peer(self, vm: str) -> None:
        """Leave a peer's requests to the reports."""
        peer = self._peers.pop(vm, None)
        if peer is None:
            return
        self._replace_latest(peer, NOTHING)
        self._rest_requests += peer.near.requests
        self._rest_tokens += peer.near.tokens

    def _replace_latest(self, peer: _PeerCount, count: InFlight) -> None:
        self._peers_latest_requests += count.requests - peer.latest.requests
        self._peers_latest_tokens += count.tokens - peer.latest.tokens
        peer.latest = count

    def _is_report_good(self, now_unix_s: float) -> bool:
        return now_unix_s - self.measured_unix_s <= REPORT_GOOD_FOR_S

    def _drop_released(self, now_unix_s: float) -> None:
        oldest_unix_s = max(self.measured_unix_s, now_unix_s - RELEASED_KEPT_S)
        self._charges = [c for c in self._charges if not _is_past(c.released_unix_s, oldest_unix_s)]


def _is_past(event_unix_s: float | None, unix_s: float) -> bool:
    return event_unix_s is not None and event_unix_s <= unix_s
