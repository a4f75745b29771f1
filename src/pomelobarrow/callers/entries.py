"""Answer which entry VMs a caller may use."""

from random import Random
from typing import Any

from attrs import define, field
from result import Err, Ok, Result

from pomelobarrow.decision.common.errors import ErrorKind, Refusal, RunStatus
from pomelobarrow.decision.members.member import Member
from pomelobarrow.decision.members.membership import MembershipView
from pomelobarrow.decision.published.configuration import Account
from pomelobarrow.decision.requests.request_ids import RequestIdLedger
from pomelobarrow.dispatch.refusals import refuse
from pomelobarrow.kernel.clock import now_unix_s

GOOD_FOR_S = 10.0
REQUEST_IDS_PER_ANSWER = 4
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
        # A VM that is joining, or that leaves as the last live one, has no entries to return. A
        # caller would keep an empty answer until it expires and have nowhere to send requests,
        # whereas after a refusal it asks another VM at once.
        if not members:
            return Err(
                refuse(
                    ErrorKind.NOT_READY, RunStatus.NO, "no entry VM that accepts work is known yet"
                )
            )
        # Callers use the first entry. Without the shuffle, one VM would receive all the requests
        # of the region.
        self.rng.shuffle(members)
        members.sort(key=lambda member: self._sort_key(member, home_region, round_trips_s))
        answer = {
            "entries": [_entry(member) for member in members[:MAX_ENTRIES]],
            "good_until_unix_s": now + GOOD_FOR_S,
            "request_ids": list(self.ledger.issue(account.name, REQUEST_IDS_PER_ANSWER, now)),
        }
        return Ok(answer)

    def _members(self, now_unix_s: float) -> list[Member]:
        """Return the usable entries; those of this region must have been seen recently.

        Updates about VMs of other regions arrive only every few seconds.
        """
        local = self.view.entries_for_callers(self.view.own_region, now_unix_s)
        usable = self.view.usable_entries(now_unix_s=now_unix_s)
        return [*local, *(each for each in usable if each.region != self.view.own_region)]

    def _sort_key(
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
