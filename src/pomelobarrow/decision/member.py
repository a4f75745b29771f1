"""Describe entry VMs and the phases that their daemons go through."""

import enum

from attrs import evolve, field, frozen


class Phase(enum.Enum):
    """Enumerate a daemon's phases; within an incarnation they only advance."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"
    LEFT = "left"


READY = Phase.READY.value
LEFT = Phase.LEFT.value
PHASE_ORDER = {phase.value: place for place, phase in enumerate(Phase)}


@frozen(kw_only=True)
class Member:
    """Describe one incarnation of an entry VM's daemon, as of one message about it.

    Members are equal whose descriptions are, whenever they were heard.
    """

    vm: str
    incarnation: int = 0
    region: str
    failure_domain: str = ""
    caller_address: str = ""
    peer_address: str = ""
    phase: str = READY
    last_seen_unix_s: float = field(default=0.0, eq=False)
    sequence: int = field(default=0, eq=False)
    successor: str = ""


@frozen(kw_only=True)
class ListedVm:
    """Hold an entry VM as the platform's list has it; the list lags."""

    vm: str
    region: str = ""
    failure_domain: str = ""
    caller_address: str = ""
    peer_address: str = ""
    leaving: bool = False


def name_of(member: Member) -> str:
    """Return a member's name, its place in every order."""
    return member.vm


def later_phase(first: Member, second: Member) -> str:
    """Return the later of two phases; an unknown one counts as the first."""
    return max(first.phase, second.phase, key=_phase_place)


def advance(old: Member, new: Member) -> Member:
    """Take the newer description, without going back to an earlier phase."""
    return evolve(new, phase=later_phase(old, new), successor=new.successor or old.successor)


def _phase_place(phase: str) -> int:
    return PHASE_ORDER.get(phase, 0)
