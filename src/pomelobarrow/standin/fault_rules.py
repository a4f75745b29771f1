"""State what each fault does to a connection."""

import enum
from fnmatch import fnmatchcase
from typing import Any

from attrs import frozen


class Direction(enum.Enum):
    """Name a direction through the proxy."""

    TO_TARGET = "to_target"
    TO_CLIENT = "to_client"


class Fault(enum.Enum):
    """Name a fault."""

    PASS = "pass"
    REFUSE = "refuse"
    CUT = "cut"
    CUT_TO_TARGET = "cut_to_target"
    CUT_TO_CLIENT = "cut_to_client"
    SILENT = "silent"
    CLOSE = "close"


BOTH = frozenset(Direction)
# A held direction keeps its bytes and delivers them once it heals, as TCP does.
HELD_BY_FAULT = {
    Fault.PASS: frozenset[Direction](),
    Fault.REFUSE: frozenset[Direction](),
    Fault.CUT: BOTH,
    Fault.CUT_TO_TARGET: frozenset({Direction.TO_TARGET}),
    Fault.CUT_TO_CLIENT: frozenset({Direction.TO_CLIENT}),
    Fault.SILENT: BOTH,
    Fault.CLOSE: frozenset[Direction](),
}
# Faults that a connection doesn't recover from when its route passes again.
LASTING = frozenset({Fault.SILENT, Fault.REFUSE, Fault.CLOSE})


@frozen(kw_only=True)
class Trigger:
    """Apply a fault to a connection once so many bytes went one way."""

    direction: Direction
    after_bytes: int
    fault: Fault


@frozen(kw_only=True)
class Order:
    """Hold one checked `POST /faults`."""

    routes: str
    fault: Fault
    trigger: Trigger | None = None

    def concerns(self, route_name: str) -> bool:
        """Say whether the order is for a route."""
        return fnmatchcase(route_name, self.routes)


TRIGGER_FIELDS = {
    "after_bytes_to_target": Direction.TO_TARGET,
    "after_bytes_to_client": Direction.TO_CLIENT,
    "truncate_to_client_after": Direction.TO_CLIENT,
}


def parse_order(body: dict[str, Any]) -> Order:
    """Check a fault order; ValueError says what is wrong."""
    routes = str(body.get("route") or body.get("routes") or "*")
    is_truncation = "truncate_to_client_after" in body
    fault = Fault.CLOSE if is_truncation else Fault(body.get("mode", "pass"))
    trigger_field = next((name for name in TRIGGER_FIELDS if name in body), None)
    if trigger_field is None:
        return Order(routes=routes, fault=fault)
    trigger = Trigger(
        direction=TRIGGER_FIELDS[trigger_field], after_bytes=int(body[trigger_field]), fault=fault
    )
    return Order(routes=routes, fault=Fault.PASS, trigger=trigger)
