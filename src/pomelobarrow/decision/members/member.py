"""Entry VMs, which callers connect to, as cluster members, and their daemons' lifecycle phases."""

import enum

from attrs import evolve, field, frozen


class Phase(enum.Enum):
    """Lifecycle phase of a daemon; within an incarnation it only advances."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"
    LEFT = "left"


READY = Phase.READY.value
LEFT = Phase.LEFT.value
PHASE_ORDER = {phase.value: index for index, phase in enumerate(Phase)}


@frozen(kw_only=True)
class Member:
    """One incarnation of an entry VM's daemon, as described by one message.

    Equality ignores the sequence number and when the member was last seen.
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

    @property
    def host(self) -> str:
        """Return the address of the VM, without a port."""
        return self.peer_address.rpartition(":")[0]


@frozen(kw_only=True)
class ListedVm:
    """An entry VM as listed by the platform; the list may be out of date."""

    vm: str
    region: str = ""
    failure_domain: str = ""
    caller_address: str = ""
    peer_address: str = ""
    leaving: bool = False


def name_of(member: Member) -> str:
    """Return a member's VM name, the sort key for members."""
    return member.vm


def later_phase(first: Member, second: Member) -> str:
    """Return the later of two phases; an unknown phase counts as the first one."""
    return max(first.phase, second.phase, key=_phase_index)


def advance(old: Member, new: Member) -> Member:
    """Return the newer description, without reverting to an earlier phase."""
    return evolve(new, phase=later_phase(old, new), successor=new.successor or old.successor)


def _phase_index(phase: str) -> int:
    return PHASE_ORDER.get(phase, 0)
