"""Tell callers which entry VMs to use."""

from random import Random
from typing import Any

from attrs import define, field
from result import Err, Ok, Result

from pomelobarrow.decision.configuration import Account
from pomelobarrow.decision.errors import ErrorKind, Refusal, RunStatus
from pomelobarrow.decision.member import Member
from pomelobarrow.decision.membership import MembershipView
from pomelobarrow.decision.request_ids import RequestIdLedger
from pomelobarrow.dispatch.refusals import refuse
from pomelobarrow.kernel.clock import now_unix_s

GOOD_FOR_S = 10.0
REQUEST_IDS = 4
MAX_ENTRIES = 16


@define(kw_only=True)
class EntryDirectory:
    """Rank the live entry VMs for a caller and issue request ids."""

    view: MembershipView
    ledger: RequestIdLedger
    rng: Random = field(factory=Random)

    def answer(
        self, account: Account, home_region: str, round_trips_s: dict[str, float]
    ) -> Result[Any, Refusal]:
        """Return the entries, best first, and a few request ids."""
        now = now_unix_s()
        members = self._members(now)
        # A VM that is joining, or leaves as the last one it knows, would name nobody. A caller
        # that keeps such an answer for as long as it is good has no one to send to; a refusal
        # makes it ask another VM at once.
        if not members:
            return Err(
                refuse(
                    ErrorKind.NOT_READY, RunStatus.NO, "no entry VM that takes work is known yet"
                )
            )
        # Callers all take the first entry; without the shuffle one VM of the region got them all.
        self.rng.shuffle(members)
        members.sort(key=lambda member: self._order(member, home_region, round_trips_s))
        answer = {
            "entries": [_entry(member) for member in members[:MAX_ENTRIES]],
            "good_until_unix_s": now + GOOD_FOR_S,
            "request_ids": list(self.ledger.issue(account.name, REQUEST_IDS, now)),
        }
        return Ok(answer)

    def _members(self, now_unix_s: float) -> list[Member]:
        """Return the entries to name; other regions' VMs are only heard of every few seconds."""
        here = self.view.entries_for_callers(self.view.own_region, now_unix_s)
        usable = self.view.usable_entries(now_unix_s=now_unix_s)
        return [*here, *(each for each in usable if each.region != self.view.own_region)]

    def _order(
        self, member: Member, home_region: str, round_trips_s: dict[str, float]
    ) -> tuple[bool, float]:
        is_home = member.region == home_region
        return (not is_home, 0.0 if is_home else round_trips_s.get(member.region, 1.0))


def _entry(member: Member) -> dict[str, str]:
    return {
        "vm": member.vm,
        "region": member.region,
        "failure_domain": member.failure_domain,
        "address": member.caller_address,
    }
