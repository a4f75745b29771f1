"""Accept orders to load models or change role, with or without fencing."""

from collections.abc import Mapping
from typing import Any

from attrs import define, field


@define(kw_only=True)
class EngineOrders:
    """Log of the orders that an engine has received, with the last accepted fencing number."""

    checks_fencing: bool
    fencing: int = 0
    log: list[dict[str, Any]] = field(factory=list)

    def record(self, order: Mapping[str, Any]) -> bool:
        """Log an order and return whether it is accepted."""
        fencing = int(order["fencing"])
        is_refused = self.checks_fencing and fencing < self.fencing
        self.log.append({**order, "refused": is_refused})
        if not is_refused:
            self.fencing = fencing
        return not is_refused
