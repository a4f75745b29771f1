"""Estimate one backend server's load from own charges, peers' counts and a lagging report."""

from attrs import define, field, frozen

from pomelobarrow.decision.work import InFlight, LoadReport

# Released charges are kept this long for a report that was measured before their release.
RELEASED_KEPT_S = 10.0
# An older report says nothing of the present.
REPORT_GOOD_FOR_S = 10.0
NOTHING = InFlight()


@define
class Charge:
    """Hold what one own request takes of a server."""

    server_name: str
    tokens: int
    charged_unix_s: float
    tokens_ahead: int = 0
    started_unix_s: float | None = None
    released_unix_s: float | None = None

    def held_at(self, unix_s: float) -> InFlight:
        """Return what the charge took at a past time."""
        if self.charged_unix_s > unix_s or _is_past(self.released_unix_s, unix_s):
            return NOTHING
        return InFlight(
            requests=1, tokens=0 if _is_past(self.started_unix_s, unix_s) else self.tokens
        )


@frozen
class _PeerCount:
    near: InFlight
    latest: InFlight


@define
class ServerLoad:
    """Add up what a server has in flight.

    The report counts everything up to when it was measured. Own charges since then, and the
    change in the counts of every peer heard since then, are added. So one report serves many
    placements, and a peer that is not heard is still counted by the report.
    """

    _own: InFlight = NOTHING
    _charges: list[Charge] = field(factory=list)
    _report: LoadReport | None = None
    _measured_unix_s: float = float("-inf")
    _own_in_report: InFlight = NOTHING
    _peers: dict[str, _PeerCount] = field(factory=dict)
    _peers_near: InFlight = NOTHING
    _peers_latest: InFlight = NOTHING

    @property
    def own(self) -> InFlight:
        """Return what this VM has in flight."""
        return self._own

    @property
    def report(self) -> LoadReport | None:
        """Return the newest report."""
        return self._report

    @property
    def measured_unix_s(self) -> float:
        """Return when the newest report was true, by this VM's clock."""
        return self._measured_unix_s

    def add(self, charge: Charge) -> None:
        """Count a charge."""
        self._charges.append(charge)
        self._own = _plus(self._own, InFlight(requests=1, tokens=charge.tokens))

    def start(self, charge: Charge, now_unix_s: float) -> None:
        """Take off the prefill of a charge whose first token came."""
        if charge.started_unix_s is not None:
            return
        charge.started_unix_s = now_unix_s
        self._own = _minus(self._own, InFlight(tokens=charge.tokens))

    def release(self, charge: Charge, now_unix_s: float) -> None:
        """Take off a charge whose request ended."""
        self.start(charge, now_unix_s)
        charge.released_unix_s = now_unix_s
        self._own = _minus(self._own, InFlight(requests=1))
        self._drop_released(now_unix_s)

    def observe_report(self, report: LoadReport, measured_unix_s: float) -> None:
        """Start from a newer report."""
        if measured_unix_s <= self._measured_unix_s:
            return
        self._report = report
        self._measured_unix_s = measured_unix_s
        held = [charge.held_at(measured_unix_s) for charge in self._charges]
        self._own_in_report = InFlight(
            requests=sum(h.requests for h in held), tokens=sum(h.tokens for h in held)
        )
        self._peers.clear()
        self._peers_near = self._peers_latest = NOTHING
        self._drop_released(measured_unix_s)

    def observe_peer(self, vm: str, count: InFlight, heard_since_report: bool) -> None:
        """Take in a peer's count; `heard_since_report` tells of an earlier, empty one."""
        old = self._peers.get(vm)
        near = old.near if old else (NOTHING if heard_since_report else count)
        latest = old.latest if old else NOTHING
        self._peers[vm] = _PeerCount(near, count)
        self._peers_near = _minus(_plus(self._peers_near, near), old.near if old else NOTHING)
        self._peers_latest = _minus(_plus(self._peers_latest, count), latest)

    def forget_peer(self, vm: str) -> None:
        """Leave a peer's requests to the reports."""
        old = self._peers.pop(vm, None)
        if old is None:
            return
        self._peers_near = _minus(self._peers_near, old.near)
        self._peers_latest = _minus(self._peers_latest, old.latest)

    def estimate(self, now_unix_s: float) -> InFlight:
        """Return everything in flight here now, as far as is known."""
        return _plus(_plus(self._own, self._peers_latest), self._unexplained(now_unix_s))

    def _unexplained(self, now_unix_s: float) -> InFlight:
        """Return the part of the report that neither own charges nor peers explain."""
        if self._report is None or now_unix_s - self._measured_unix_s > REPORT_GOOD_FOR_S:
            return NOTHING
        reported = InFlight(
            requests=self._report.running + self._report.waiting,
            tokens=self._report.queued_prefill_tokens,
        )
        rest = _minus(_minus(reported, self._own_in_report), self._peers_near)
        return InFlight(requests=max(0, rest.requests), tokens=max(0, rest.tokens))

    def _drop_released(self, now_unix_s: float) -> None:
        oldest = max(self._measured_unix_s, now_unix_s - RELEASED_KEPT_S)
        self._charges = [c for c in self._charges if not _is_past(c.released_unix_s, oldest)]


def _is_past(event_unix_s: float | None, unix_s: float) -> bool:
    return event_unix_s is not None and event_unix_s <= unix_s


def _plus(a: InFlight, b: InFlight) -> InFlight:
    return InFlight(requests=a.requests + b.requests, tokens=a.tokens + b.tokens)


def _minus(a: InFlight, b: InFlight) -> InFlight:
    return InFlight(requests=a.requests - b.requests, tokens=a.tokens - b.tokens)
