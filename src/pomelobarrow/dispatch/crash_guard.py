"""Block requests that crash the servers that run them."""

import math
from collections.abc import Callable, Iterable, Iterator, Mapping
from functools import partial
from types import MappingProxyType

from attrs import define, field, frozen

from pomelobarrow.backends.server_watch import ServerWatch
from pomelobarrow.decision.common.errors import ErrorKind, Refusal, RunStatus
from pomelobarrow.decision.requests.fingerprint import format_fingerprint
from pomelobarrow.decision.requests.short_key import server_key, short_key
from pomelobarrow.decision.requests.work import BackendServer
from pomelobarrow.decision.servers.crash_suspects import (
    ANY_REQUEST,
    Crash,
    CrashSuspects,
    Finding,
    RunningRequest,
    Suspicion,
)
from pomelobarrow.decision.servers.crashing_parts import PartAnswers
from pomelobarrow.dispatch.refusals import refuse
from pomelobarrow.kernel.clock import now_unix_s

DETAIL = "servers ended while they ran this request (the same caller, path and body)"
NO_PARTS: Mapping[int, str] = MappingProxyType({})
PART_DETAIL = "servers ended when they began to answer prompts with a part of this one"


@frozen(kw_only=True)
class RequestBlocked:
    """Report that a request was refused because it crashes servers, with the evidence."""

    request_id: str
    pool: str
    # Of the request, or of the part of its prompt.
    fingerprint: str
    # The id of that part as the client sent it; empty if the whole request is blocked.
    part: str
    servers_ended: int
    newest_age_s: float


@define(kw_only=True)
class CrashGuard:
    """Collect crash evidence, share it with peers and decide which requests to refuse."""

    suspects: CrashSuspects = field(factory=CrashSuspects)
    part_answers: PartAnswers = field(init=False)
    watch: ServerWatch = field(factory=ServerWatch)
    live_vms: Callable[[], Iterable[str]] = tuple
    notify_peers: Callable[[tuple[Finding, ...]], None] = lambda findings: None
    observe: Callable[[object], None] = lambda event: None

    def __attrs_post_init__(self) -> None:
        self.watch.on_ended = self._note_ended
        self.part_answers = PartAnswers(answered_unix_s=self.suspects.answered_unix_s)

    def refuses(self, fingerprint: int, parts: Iterable[int] = ()) -> bool:
        """Return whether to refuse a request now; at intervals one is admitted as a trial."""
        now = now_unix_s()
        return any(
            self.suspects.suspicion(each, now) is Suspicion.BLOCKED
            and not self.suspects.try_start_trial(each, self.live_vms(), now)
            for each in (fingerprint, *parts)
        )

    def refuses_after_wait(self, fingerprint: int) -> bool:
        """Return whether to refuse a request that was admitted before it waited in a queue."""
        now = now_unix_s()
        is_blocked = self.suspects.suspicion(fingerprint, now) is Suspicion.BLOCKED
        return is_blocked and not self.suspects.is_on_trial(fingerprint, now)

    def may_repeat(self, fingerprint: int, parts: Iterable[int] = ()) -> bool:
        """Return whether a request that a server has lost may be sent to another one."""
        now = now_unix_s()
        subjects = (fingerprint, *parts)
        return all(self.suspects.suspicion(each, now) is Suspicion.NONE for each in subjects)

    def refusal(
        self,
        request_id: str,
        pool: str,
        fingerprint: int,
        run: RunStatus,
        parts: Mapping[int, str] = NO_PARTS,
    ) -> Refusal:
        """Return the refusal of a blocked request and report it with the evidence.

        `parts` are the ids of the prompt's parts by their fingerprints.
        """
        now = now_unix_s()
        blocked = next(
            (p for p in parts if self.suspects.suspicion(p, now) is Suspicion.BLOCKED), None
        )
        subject = fingerprint if blocked is None else blocked
        evidence = self.suspects.evidence(subject)
        self.observe(
            RequestBlocked(
                request_id=request_id,
                pool=pool,
                fingerprint=format_fingerprint(subject),
                part="" if blocked is None else parts[blocked],
                servers_ended=evidence.servers_ended if evidence else 0,
                newest_age_s=now - evidence.newest_unix_s if evidence else 0.0,
            )
        )
        return refuse(ErrorKind.CRASHES_SERVERS, run, DETAIL if blocked is None else PART_DETAIL)

    def note_answered(self, fingerprint: int) -> None:
        """Clear the suspicion of a request that a server has answered completely."""
        self._notify(self.suspects.answered(fingerprint, now_unix_s()))

    def note_parts_answered(self, pool: str, parts: Iterable[int]) -> None:
        """Clear the suspicion of parts of a prompt that a server answers without crashing."""
        now, distinct = now_unix_s(), tuple(parts)
        self.part_answers.note(pool, distinct, now)
        found: list[Finding] = []
        for part in distinct:
            found += self.suspects.answered(part, now)
        self._notify(tuple(found))

    async def note_closed(self, server: BackendServer, request: RunningRequest) -> None:
        """Check whether a server that closed a connection has crashed; return once that is known.

        The decision on another attempt then takes this crash into account.
        """
        await self.watch.note_closed(server, request)

    def has_ended(self, server: BackendServer, fingerprint: int) -> bool:
        """Return whether a server is known to have crashed while it ran a request."""
        return self.suspects.has_crash(fingerprint, server_key(server))

    def note_crash(self, server_key: int, pool: str, requests: Iterable[RunningRequest]) -> None:
        """Record that a server has just crashed while it ran requests."""
        found: list[Finding] = []
        for crash in self._crashes(server_key, pool, requests):
            found += self.suspects.note(crash)
        self._notify(tuple(found))

    def _note_ended(self, server: BackendServer, requests: tuple[RunningRequest, ...]) -> None:
        self.note_crash(server_key(server), server.pool, requests)

    def _crashes(
        self, server_key: int, pool: str, requests: Iterable[RunningRequest]
    ) -> Iterator[Crash]:
        lost, pool_key = tuple(requests), short_key(pool)
        make_crash = partial(
            Crash,
            server_key=server_key,
            ended_unix_s=now_unix_s(),
            running_unix_s=max((each.sent_unix_s for each in lost), default=-math.inf),
        )
        yield make_crash(fingerprint=ANY_REQUEST, pool_key=pool_key)
        for request in lost:
            yield make_crash(fingerprint=request.fingerprint)
            for part in self._suspect_parts(pool, request):
                yield make_crash(fingerprint=part, request_key=request.key, pool_key=pool_key)

    def _suspect_parts(self, pool: str, request: RunningRequest) -> list[int]:
        suspects = self.part_answers.suspects(pool, request.parts)
        return suspects or self.part_answers.presumed(pool, request.parts)

    def _notify(self, findings: tuple[Finding, ...]) -> None:
        if findings:
            self.notify_peers(findings)
