"""Block requests that crash the servers that run them."""

from collections.abc import Callable, Iterable

from attrs import define, field, frozen

from pomelobarrow.backends.server_watch import ServerWatch
from pomelobarrow.decision.crash_suspects import Crash, CrashSuspects, Finding, Suspicion
from pomelobarrow.decision.errors import ErrorKind, Refusal, RunStatus
from pomelobarrow.decision.fingerprint import format_fingerprint
from pomelobarrow.decision.short_key import server_key
from pomelobarrow.decision.work import BackendServer
from pomelobarrow.dispatch.refusals import refuse
from pomelobarrow.kernel.clock import now_unix_s

DETAIL = "servers ended while they ran this request (the same caller, path and body)"


@frozen(kw_only=True)
class RequestBlocked:
    """Report that a request was refused because it crashes servers, with the evidence."""

    request_id: str
    pool: str
    fingerprint: str
    servers_ended: int
    newest_age_s: float


@define(kw_only=True)
class CrashGuard:
    """Collect crash evidence, share it with peers and decide which requests to refuse."""

    suspects: CrashSuspects = field(factory=CrashSuspects)
    watch: ServerWatch = field(factory=ServerWatch)
    live_vms: Callable[[], Iterable[str]] = tuple
    notify_peers: Callable[[tuple[Finding, ...]], None] = lambda findings: None
    observe: Callable[[object], None] = lambda event: None

    def __attrs_post_init__(self) -> None:
        self.watch.on_ended = self._note_ended

    def refuses(self, fingerprint: int) -> bool:
        """Return whether to refuse a request now; at intervals one is admitted as a trial."""
        now = now_unix_s()
        if self.suspects.suspicion(fingerprint, now) is not Suspicion.BLOCKED:
            return False
        return not self.suspects.try_start_trial(fingerprint, self.live_vms(), now)

    def refuses_after_wait(self, fingerprint: int) -> bool:
        """Return whether to refuse a request that was admitted before it waited in a queue."""
        now = now_unix_s()
        is_blocked = self.suspects.suspicion(fingerprint, now) is Suspicion.BLOCKED
        return is_blocked and not self.suspects.is_on_trial(fingerprint, now)

    def may_repeat(self, fingerprint: int) -> bool:
        """Return whether a request that a server has lost may be sent to another one."""
        return self.suspects.suspicion(fingerprint, now_unix_s()) is Suspicion.NONE

    def refusal(self, request_id: str, pool: str, fingerprint: int, run: RunStatus) -> Refusal:
        """Return the refusal of a blocked request and report it with the evidence."""
        evidence = self.suspects.evidence(fingerprint)
        servers_ended = evidence.servers_ended if evidence else 0
        newest_age_s = now_unix_s() - evidence.newest_unix_s if evidence else 0.0
        self.observe(
            RequestBlocked(
                request_id=request_id,
                pool=pool,
                fingerprint=format_fingerprint(fingerprint),
                servers_ended=servers_ended,
                newest_age_s=newest_age_s,
            )
        )
        return refuse(ErrorKind.CRASHES_SERVERS, run, DETAIL)

    def note_answered(self, fingerprint: int) -> None:
        """Clear the suspicion of a request that a server has answered completely."""
        self._notify(self.suspects.answered(fingerprint, now_unix_s()))

    async def note_closed(self, server: BackendServer, fingerprint: int) -> None:
        """Check whether a server that closed a connection has crashed; return once that is known.

        The decision on another attempt then takes this crash into account.
        """
        await self.watch.note_closed(server, fingerprint)

    def has_ended(self, server: BackendServer, fingerprint: int) -> bool:
        """Return whether a server is known to have crashed while it ran a request."""
        return self.suspects.has_crash(fingerprint, server_key(server))

    def note_crash(self, fingerprint: int, server_key: int) -> None:
        """Record that a server has just crashed while it ran a request."""
        crash = Crash(fingerprint=fingerprint, server_key=server_key, ended_unix_s=now_unix_s())
        self._notify(self.suspects.note(crash))

    def _note_ended(self, server: BackendServer, fingerprints: tuple[int, ...]) -> None:
        now, key = now_unix_s(), server_key(server)
        found: list[Finding] = []
        for fingerprint in fingerprints:
            crash = Crash(fingerprint=fingerprint, server_key=key, ended_unix_s=now)
            found += self.suspects.note(crash)
        self._notify(tuple(found))

    def _notify(self, findings: tuple[Finding, ...]) -> None:
        if findings:
            self.notify_peers(findings)
