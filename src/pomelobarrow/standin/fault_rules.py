"""Define the faults of the proxy and parse the orders that set them."""

import enum
from fnmatch import fnmatchcase
from typing import Any

from attrs import frozen


class Direction(enum.Enum):
    """Direction of bytes through the proxy."""

    TO_TARGET = "to_target"
    TO_CLIENT = "to_client"


class Fault(enum.Enum):
    """Fault that the proxy applies to a route or connection."""

    PASS = "pass"
    REFUSE = "refuse"
    CUT = "cut"
    CUT_TO_TARGET = "cut_to_target"
    CUT_TO_CLIENT = "cut_to_client"
    SILENT = "silent"
    CLOSE = "close"


BOTH_DIRECTIONS = frozenset(Direction)
# A held direction queues its bytes and delivers them when the fault ends, as TCP does.
HELD_DIRECTIONS_BY_FAULT = {
    Fault.PASS: frozenset[Direction](),
    Fault.REFUSE: frozenset[Direction](),
    Fault.CUT: BOTH_DIRECTIONS,
    Fault.CUT_TO_TARGET: frozenset({Direction.TO_TARGET}),
    Fault.CUT_TO_CLIENT: frozenset({Direction.TO_CLIENT}),
    Fault.SILENT: BOTH_DIRECTIONS,
    Fault.CLOSE: frozenset[Direction](),
}
# Faults from which a connection does not recover when the route's fault ends.
PERMANENT_FAULTS = frozenset({Fault.SILENT, Fault.REFUSE, Fault.CLOSE})


@frozen(kw_only=True)
class Trigger:
    """Fault to apply to a connection after a number of bytes in one direction."""

    direction: Direction
    after_bytes: int
    fault: Fault


@frozen(kw_only=True)
class FaultOrder:
    """Validated body of a `POST /faults` request."""

    routes: str
    fault: Fault
    trigger: Trigger | None = None

    def applies_to(self, route_name: str) -> bool:
        """Return whether the order applies to a route."""
        return fnmatchcase(route_name, self.routes)


TRIGGER_FIELDS = {
    "after_bytes_to_target": Direction.TO_TARGET,
    "after_bytes_to_client": Direction.TO_CLIENT,
    "truncate_to_client_after": Direction.TO_CLIENT,
}


def parse_order(body: dict[str, Any]) -> FaultOrder:
    """Parse and validate a fault order; raise ValueError if it is invalid."""
    routes = str(body.get("route") or body.get("routes") or "*")
    is_truncation = "truncate_to_client_after" in body
    fault = Fault.CLOSE if is_truncation else Fault(body.get("mode", "pass"))
    trigger_field = next((name for name in TRIGGER_FIELDS if name in body), None)
    if trigger_field is None:
        return FaultOrder(routes=routes, fault=fault)
    trigger = Trigger(
        direction=TRIGGER_FIELDS[trigger_field], after_bytes=int(body[trigger_field]), fault=fault
    )
    return FaultOrder(routes=routes, fault=Fault.PASS, trigger=trigger)
