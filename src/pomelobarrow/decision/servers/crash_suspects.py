"""Decide from the crashes observed by all VMs which requests to block, by body or by prompt part.

Load pattern: one request is sent repeatedly under new ids, at any VM, and crashes every server that
starts to run it; or many different requests do, which share a part of their prompts. Each crash
also ends all other streams on that server. The other requests on a crashed server are not at fault,
nor is a request if a server has answered a byte-identical one.
"""

import enum
import math
from collections import OrderedDict, deque
from collections.abc import Iterable

from attrs import define, field, frozen

from pomelobarrow.decision.common.rendezvous import weight

# A single crash may have any cause. From the second crash on, a failed request is not retried on
# another server; after the third, the request is blocked.
CRASHES_TO_SUSPECT = 2
CRASHES_TO_BLOCK = 3
# A request that crashes servers is never answered, so an answer clears a request of all crashes
# before it. It also clears crashes up to this long after it, because servers that fail together are
# detected one after another over that time.
ANSWER_CLEARS_FOR_S = 10.0
ANSWER_RETENTION_S = 600.0
# A part of prompts that many requests share is answered again soon. One that begins to crash
# servers would be sent on for longer if an earlier answer cleared it for the time above.
PART_ANSWER_CLEARS_FOR_S = 3.0
# Servers that crash by themselves at once may have requests with one part on most of them. That
# part is blamed only if it was on this share of the pool's servers that crashed in the meantime, or
# if so many crashed under it that the others must be spared in any case.
MIN_EXPLAINED_SHARE = 0.8
SERVERS_TO_BLOCK_ANY_PART = 5
# So many crash under a single sound request only if it is tried again beside crashing ones.
REQUESTS_THAT_ENDED_MANY = 2
# Crashes of servers that are kept to compare a part's crashes with.
MAX_ENDED = 256
# The fingerprint of the finding that a server has ended, whatever was on it.
ANY_REQUEST = 0
# A request that was blocked wrongly must be unblocked. After these times, by number of crashes, it
# is admitted once as a trial. Each crash ends dozens of other requests, so two trials are enough.
TRIAL_AFTER_S = {3: 60.0, 4: 600.0}
# Each VM may run one trial in its turn; all VMs have received the result before the next turn.
TRIAL_TURN_S = 5.0
CRASH_RETENTION_S = 3_600.0
# The decision does not depend on further crashes.
MAX_CRASHES = 8
# VMs detect the same crash at slightly different times.
SAME_CRASH_WITHIN_S = 1.0
# On platforms that report no start time a restarted server has the same key. A request that was
# sent this long after a crash was detected can't have been lost to it: a reset has arrived by then,
# also after one retransmission, and VMs agree on the time that well.
RESTARTED_AFTER_S = 0.25
# A caller that changes its request body each time adds one entry per server that it crashes.
# Entries with the fewest crashes are evicted first, in batches, since selection sorts all entries.
MAX_SUSPECTS = 4_096
EVICTION_BATCH = 512
MAX_ANSWERED = 8_192


class Suspicion(enum.Enum):
    """The degrees to which a request is restricted because of crashes."""

    NONE = "none"
    # The request may be sent to one server, but is not retried if that server crashes.
    SUSPECTED = "suspected"
    BLOCKED = "blocked"


@frozen(kw_only=True)
class Crash:
    """A server that ended while running a request; both are identified by hashes."""

    fingerprint: int
    # Hash of the server's incarnation.
    server_key: int
    ended_unix_s: float
    # When the newest request that it lost was sent, so that it was running; minus infinity if
    # unknown.
    running_unix_s: float = -math.inf
    # Hash of the request's id if the fingerprint is of a part of its prompt, else 0. A request that
    # is tried again beside a crashing one may be on several servers that crash. So crashes count
    # for a part only if different requests with it were on the servers.
    request_key: int = 0
    # Hash of the server's pool, if the fingerprint is of a part or of any request.
    pool_key: int = 0

    @property
    def answer_clears_for_s(self) -> float:
        """Return for how long after an answer a crash doesn't count."""
        return PART_ANSWER_CLEARS_FOR_S if self.request_key else ANSWER_CLEARS_FOR_S


@frozen(kw_only=True)
class Answered:
    """A complete answer of a server to a request."""

    fingerprint: int
    answered_unix_s: float


Finding = Crash | Answered


@frozen(kw_only=True)
class RunningRequest:
    """A request that was on a server when it ended, with its parts that may be at fault."""

    fingerprint: int
    parts: tuple[int, ...] = ()
    # Hash of the request's id.
    key: int = 0
    # When it was sent, or a moment before; minus infinity if unknown.
    sent_unix_s: float = -math.inf


@frozen(kw_only=True)
class Evidence:
    """The crashes for which a request, or a part of prompts, is blocked."""

    servers_ended: int
    newest_unix_s: float


@define
class _Suspect:
    crashes: list[Crash] = field(factory=list)
    last_trial_unix_s: float = float("-inf")

    @property
    def evidence(self) -> Evidence:
        return Evidence(
            servers_ended=len(self.crashes),
            newest_unix_s=max(crash.ended_unix_s for crash in self.crashes),
        )

    @property
    def is_part(self) -> bool:
        return self.crashes[0].request_key != 0

    @property
    def count(self) -> int:
        """Return how many crashes count; for a part, those under different requests."""
        if not self.is_part:
            return len(self.crashes)
        return len({crash.request_key for crash in self.crashes})

    @property
    def ended_many(self) -> bool:
        return len(self.crashes) >= SERVERS_TO_BLOCK_ANY_PART

    def includes(self, crash: Crash) -> bool:
        return any(_is_same(known, crash) for known in self.crashes)

    def is_cleared_by(self, answered_unix_s: float) -> bool:
        newest = max(self.crashes, key=lambda crash: crash.ended_unix_s)
        return newest.ended_unix_s < answered_unix_s + newest.answer_clears_for_s


def _is_same(known: Crash, crash: Crash) -> bool:
    if known.server_key != crash.server_key:
        return False
    first, last = sorted((known, crash), key=lambda each: each.ended_unix_s)
    has_restarted = last.running_unix_s >= first.ended_unix_s + RESTARTED_AFTER_S
    return not has_restarted and last.ended_unix_s - first.ended_unix_s < SAME_CRASH_WITHIN_S


@define(kw_only=True)
class CrashSuspects:
    """Requests and parts of prompts that were on servers when they crashed, and answered ones."""

    own_vm: str = ""
    _suspects: dict[int, _Suspect] = field(factory=dict)
    # The servers that crashed, whatever was on them.
    _ended: deque[Crash] = field(factory=lambda: deque(maxlen=MAX_ENDED))
    _answered: "OrderedDict[int, float]" = field(factory=OrderedDict)

    def note(self, finding: Finding) -> tuple[Finding, ...]:
        """Record a finding of this VM or a peer; return the findings to send to peers."""
        if isinstance(finding, Answered):
            return self._note_answered(finding)
        return self._note_crash(finding)

    def answered(self, fingerprint: int, now_unix_s: float) -> tuple[Finding, ...]:
        """Record that a server answered at this VM; return the findings to send to peers."""
        return self._note_answered(Answered(fingerprint=fingerprint, answered_unix_s=now_unix_s))

    def answered_unix_s(self, fingerprint: int) -> float:
        """Return when a server last answered, minus infinity if it isn't known."""
        return self._answered.get(fingerprint, float("-inf"))

    def suspicion(self, fingerprint: int, now_unix_s: float) -> Suspicion:
        """Return the degree to which a request, or requests with a part, are restricted."""
        suspect = self._current(fingerprint, now_unix_s)
        if suspect is None or len(suspect.crashes) < CRASHES_TO_SUSPECT:
            return Suspicion.NONE
        return Suspicion.BLOCKED if self._is_blocked(suspect) else Suspicion.SUSPECTED

    def _is_blocked(self, suspect: _Suspect) -> bool:
        if suspect.ended_many and suspect.count >= REQUESTS_THAT_ENDED_MANY:
            return True
        is_enough = suspect.count >= CRASHES_TO_BLOCK
        return is_enough and (not suspect.is_part or self._is_explanation(suspect))

    def _is_explanation(self, suspect: _Suspect) -> bool:
        """Return whether a part was on most servers of its pool that crashed in its time."""
        times = [crash.ended_unix_s for crash in suspect.crashes]
        from_unix_s, until_unix_s = min(times), max(times)
        others = [
            crash
            for crash in self._ended
            if crash.pool_key == suspect.crashes[0].pool_key
            and from_unix_s - SAME_CRASH_WITHIN_S < crash.ended_unix_s
            and crash.ended_unix_s < until_unix_s + SAME_CRASH_WITHIN_S
            and not suspect.includes(crash)
        ]
        return len(times) >= MIN_EXPLAINED_SHARE * (len(times) + len(others))

    def has_crash(self, fingerprint: int, server_key: int) -> bool:
        """Return whether a server is recorded as having crashed while running a request."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and any(
            crash.server_key == server_key for crash in suspect.crashes
        )

    def evidence(self, fingerprint: int) -> Evidence | None:
        """Return the crashes recorded for a request, or None."""
        suspect = self._suspects.get(fingerprint)
        return None if suspect is None else suspect.evidence

    def blocked(self, now_unix_s: float) -> dict[int, Evidence]:
        """Return the blocked requests and parts of prompts, with the evidence."""
        return {
            fingerprint: suspect.evidence
            for fingerprint, suspect in tuple(self._suspects.items())
            if self.suspicion(fingerprint, now_unix_s) is Suspicion.BLOCKED
        }

    def crashes(self) -> list[Crash]:
        """Return all recorded crashes."""
        under_requests = (each for suspect in self._suspects.values() for each in suspect.crashes)
        return [*self._ended, *under_requests]

    def is_on_trial(self, fingerprint: int, now_unix_s: float) -> bool:
        """Return whether this VM admitted a blocked request as a trial within the last turn."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and now_unix_s < suspect.last_trial_unix_s + TRIAL_TURN_S

    def try_start_trial(self, fingerprint: int, live_vms: Iterable[str], now_unix_s: float) -> bool:
        """Start a trial of a blocked request if it is due, and return whether to admit it.

        One VM at a time may run a trial, each of them once, in an order on which all VMs agree.
        """
        suspect = self._current(fingerprint, now_unix_s)
        if suspect is None:
            return True
        crashes, newest_unix_s = suspect.count, suspect.evidence.newest_unix_s
        after_s = TRIAL_AFTER_S.get(crashes)
        if after_s is None or now_unix_s < newest_unix_s + after_s:
            return False
        is_tried = suspect.last_trial_unix_s > newest_unix_s
        turn = int((now_unix_s - newest_unix_s - after_s) / TRIAL_TURN_S)
        vms = {self.own_vm, *live_vms}
        if is_tried or turn % len(vms) != self._turn_offset(fingerprint, vms):
            return False
        suspect.last_trial_unix_s = now_unix_s
        return True

    def _turn_offset(self, fingerprint: int, live_vms: Iterable[str]) -> int:
        """Return how many VMs have their turn before this VM."""
        key = f"trial/{fingerprint}"
        own = (weight(key, self.own_vm), self.own_vm)
        return sum((weight(key, vm), vm) < own for vm in live_vms)

    def _note_crash(self, crash: Crash) -> tuple[Finding, ...]:
        if crash.fingerprint == ANY_REQUEST:
            return self._note_ended(crash)
        answered_unix_s = self.answered_unix_s(crash.fingerprint)
        if crash.ended_unix_s < answered_unix_s + crash.answer_clears_for_s:
            return (Answered(fingerprint=crash.fingerprint, answered_unix_s=answered_unix_s),)
        suspect = self._suspects.get(crash.fingerprint)
        if suspect is None:
            self._evict_least_suspect()
            suspect = self._suspects[crash.fingerprint] = _Suspect()
        if suspect.includes(crash) or len(suspect.crashes) >= MAX_CRASHES:
            return ()
        suspect.crashes.append(crash)
        return (crash,)

    def _note_ended(self, crash: Crash) -> tuple[Finding, ...]:
        if any(_is_same(known, crash) for known in self._ended):
            return ()
        self._ended.append(crash)
        return (crash,)

    def _note_answered(self, answered: Answered) -> tuple[Finding, ...]:
        fingerprint, answered_unix_s = answered.fingerprint, answered.answered_unix_s
        if answered_unix_s > self.answered_unix_s(fingerprint):
            self._answered[fingerprint] = answered_unix_s
            self._answered.move_to_end(fingerprint)
            self._drop_old_answers(answered_unix_s)
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.is_cleared_by(answered_unix_s):
            return ()
        # Only VMs that had recorded crashes forward the answer, so that forwarding terminates: its
        # time changes at each hop as clocks differ, so a repeat would not be recognised.
        del self._suspects[fingerprint]
        return (answered,)

    def _drop_old_answers(self, now_unix_s: float) -> None:
        while self._answered:
            oldest = next(iter(self._answered))
            is_old = self._answered[oldest] < now_unix_s - ANSWER_RETENTION_S
            if not is_old and len(self._answered) <= MAX_ANSWERED:
                return
            del self._answered[oldest]

    def _evict_least_suspect(self) -> None:
        if len(self._suspects) < MAX_SUSPECTS:
            return
        ranked = sorted(self._suspects, key=self._eviction_key)
        for fingerprint in ranked[:EVICTION_BATCH]:
            del self._suspects[fingerprint]

    def _eviction_key(self, fingerprint: int) -> tuple[int, float]:
        evidence = self._suspects[fingerprint].evidence
        return evidence.servers_ended, evidence.newest_unix_s

    def _current(self, fingerprint: int, now_unix_s: float) -> _Suspect | None:
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.evidence.newest_unix_s < now_unix_s - CRASH_RETENTION_S:
            del self._suspects[fingerprint]
            return None
        return suspect
