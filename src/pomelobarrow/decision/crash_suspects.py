"""Decide from crashes seen by all VMs which requests run no more.

Load pattern: one request comes again under new ids, at any VM, and ends each server that begins to
run it; each end takes along the streams of all others there. What else was on a server that ended
is innocent, and so are requests that are the same byte for byte and that some server has answered.
"""

import enum
from collections import OrderedDict
from collections.abc import Iterable

from attrs import define, field, frozen

from pomelobarrow.decision.rendezvous import weight

# One server that ends may do so for any reason. From the second one on, the request isn't sent
# again by this system; after the third it runs no more.
CRASHES_TO_SUSPECT = 2
CRASHES_TO_BLOCK = 3
# A request that ends what runs it is never answered. An answer clears a request of all crashes up
# to it, and of those of the next seconds: servers that fail together are seen over that time.
ANSWER_CLEARS_FOR_S = 10.0
ANSWER_KEPT_S = 600.0
# An innocent request must get out again. After these times, by the number of crashes, one is let
# through; each crash of a server costs dozens of other requests, so that two trials are enough.
TRIAL_AFTER_S = {3: 60.0, 4: 600.0}
# In its turn a VM lets one through; an answer or a crash is known to all before the next turn.
TRIAL_TURN_S = 5.0
CRASH_RETENTION_S = 3_600.0
# More crashes change nothing.
MAX_CRASHES = 8
# VMs see one end at slightly different times. A platform that doesn't tell when a server started
# lists it as the same one when it is back, which takes longer than this.
SAME_END_WITHIN_S = 1.0
# A caller that changes its body each time adds an entry with each server that it ends. The ones
# with the fewest crashes go first, many at once, since to choose them takes a look at all.
MAX_SUSPECTS = 4_096
DROPPED_AT_ONCE = 512
MAX_ANSWERED = 8_192


class Suspicion(enum.Enum):
    """Say what a request may still do."""

    NONE = "none"
    # It may be sent to one server, and not again if that one ends.
    SUSPECTED = "suspected"
    BLOCKED = "blocked"


@frozen(kw_only=True)
class Crash:
    """Tell that a server ended while a request was on it; both known by hashes."""

    fingerprint: int
    # Of the server's incarnation.
    server_key: int
    ended_unix_s: float


@frozen(kw_only=True)
class Answered:
    """Tell that a server answered a request whole."""

    fingerprint: int
    answered_unix_s: float


Finding = Crash | Answered


@frozen(kw_only=True)
class Evidence:
    """Hold what a blocked request is blocked for."""

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

    def knows(self, crash: Crash) -> bool:
        return any(
            known.server_key == crash.server_key
            and abs(known.ended_unix_s - crash.ended_unix_s) < SAME_END_WITHIN_S
            for known in self.crashes
        )


@define(kw_only=True)
class CrashSuspects:
    """Hold the requests under which servers ended, and those answered of late."""

    own_vm: str = ""
    _suspects: dict[int, _Suspect] = field(factory=dict)
    _answered: "OrderedDict[int, float]" = field(factory=OrderedDict)

    def note(self, finding: Finding) -> tuple[Finding, ...]:
        """Take in a finding, of this VM or a peer; return what peers should hear of it."""
        if isinstance(finding, Answered):
            return self._note_answered(finding)
        return self._note_crash(finding)

    def answered(self, fingerprint: int, now_unix_s: float) -> tuple[Finding, ...]:
        """Take in that a server answered here; return what peers should hear of it."""
        return self._note_answered(Answered(fingerprint=fingerprint, answered_unix_s=now_unix_s))

    def suspicion(self, fingerprint: int, now_unix_s: float) -> Suspicion:
        """Say what a request may still do."""
        suspect = self._current(fingerprint, now_unix_s)
        crashes = 0 if suspect is None else len(suspect.crashes)
        if crashes >= CRASHES_TO_BLOCK:
            return Suspicion.BLOCKED
        return Suspicion.SUSPECTED if crashes >= CRASHES_TO_SUSPECT else Suspicion.NONE

    def has_crash(self, fingerprint: int, server_key: int) -> bool:
        """Say whether a server is known to have ended under a request."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and any(
            crash.server_key == server_key for crash in suspect.crashes
        )

    def evidence(self, fingerprint: int) -> Evidence | None:
        """Return what is held against a request, None where nothing is."""
        suspect = self._suspects.get(fingerprint)
        return None if suspect is None else suspect.evidence

    def crashes(self) -> list[Crash]:
        """Return all that is held against requests."""
        return [crash for suspect in self._suspects.values() for crash in suspect.crashes]

    def is_on_trial(self, fingerprint: int, now_unix_s: float) -> bool:
        """Say whether a blocked request was let through a moment ago."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and now_unix_s < suspect.last_trial_unix_s + TRIAL_TURN_S

    def try_start_trial(self, fingerprint: int, live_vms: Iterable[str], now_unix_s: float) -> bool:
        """Say whether a blocked request is let through once, to find out whether it may be cleared.

        One VM at a time does so, in an order that all agree on, each of them once.
        """
        suspect = self._current(fingerprint, now_unix_s)
        if suspect is None:
            return True
        crashes, newest_unix_s = len(suspect.crashes), suspect.evidence.newest_unix_s
        after_s = TRIAL_AFTER_S.get(crashes)
        if after_s is None or now_unix_s < newest_unix_s + after_s:
            return False
        is_tried = suspect.last_trial_unix_s > newest_unix_s
        turn = int((now_unix_s - newest_unix_s - after_s) / TRIAL_TURN_S)
        vms = {self.own_vm, *live_vms}
        if is_tried or turn % len(vms) != self._place(fingerprint, vms):
            return False
        suspect.last_trial_unix_s = now_unix_s
        return True

    def _place(self, fingerprint: int, live_vms: Iterable[str]) -> int:
        """Return how many VMs have their turn before this one."""
        key = f"trial/{fingerprint}"
        own = (weight(key, self.own_vm), self.own_vm)
        return sum((weight(key, vm), vm) < own for vm in live_vms)

    def _note_crash(self, crash: Crash) -> tuple[Finding, ...]:
        answered_unix_s = self._answered.get(crash.fingerprint, float("-inf"))
        if crash.ended_unix_s < answered_unix_s + ANSWER_CLEARS_FOR_S:
            return (Answered(fingerprint=crash.fingerprint, answered_unix_s=answered_unix_s),)
        suspect = self._suspects.get(crash.fingerprint)
        if suspect is None:
            self._make_room()
            suspect = self._suspects[crash.fingerprint] = _Suspect()
        if suspect.knows(crash) or len(suspect.crashes) >= MAX_CRASHES:
            return ()
        suspect.crashes.append(crash)
        return (crash,)

    def _note_answered(self, answered: Answered) -> tuple[Finding, ...]:
        fingerprint, answered_unix_s = answered.fingerprint, answered.answered_unix_s
        if answered_unix_s > self._answered.get(fingerprint, float("-inf")):
            self._answered[fingerprint] = answered_unix_s
            self._answered.move_to_end(fingerprint)
            self._drop_old_answers(answered_unix_s)
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return ()
        if suspect.evidence.newest_unix_s >= answered_unix_s + ANSWER_CLEARS_FOR_S:
            return ()
        # Passed on by those alone that held something against it, so that it ends somewhere: each
        # VM's clock makes another time of it.
        del self._suspects[fingerprint]
        return (answered,)

    def _drop_old_answers(self, now_unix_s: float) -> None:
        while self._answered:
            oldest = next(iter(self._answered))
            is_old = self._answered[oldest] < now_unix_s - ANSWER_KEPT_S
            if not is_old and len(self._answered) <= MAX_ANSWERED:
                return
            del self._answered[oldest]

    def _make_room(self) -> None:
        if len(self._suspects) < MAX_SUSPECTS:
            return
        ranked = sorted(self._suspects, key=self._worth_keeping)
        for fingerprint in ranked[:DROPPED_AT_ONCE]:
            del self._suspects[fingerprint]

    def _worth_keeping(self, fingerprint: int) -> tuple[int, float]:
        evidence = self._suspects[fingerprint].evidence
        return evidence.servers_ended, evidence.newest_unix_s

    def _current(self, fingerprint: int, now_unix_s: float) -> _Suspect | None:
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.evidence.newest_unix_s < now_unix_s - CRASH_RETENTION_S:
            del self._suspects[fingerprint]
            return None
        return suspect
