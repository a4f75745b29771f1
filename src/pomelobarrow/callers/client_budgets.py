"""The budgets of the clients of this process, one for each group of listeners."""

from collections.abc import Callable

from attrs import define, field

from pomelobarrow.decision.admission.budget_limits import (
    ListenerGroup,
    VmResources,
    budget_limits,
)
from pomelobarrow.decision.admission.client_budget import BudgetLimits, ClientBudget


def _no_body(group: ListenerGroup) -> int:
    return 0


@define(kw_only=True)
class ClientBudgets:
    """Hold the budget of each group; all of them together fit the resources of the VM."""

    resources: Callable[[], VmResources] = VmResources
    # Returns the size of the largest body that a group's clients may send.
    max_body_bytes: Callable[[ListenerGroup], int] = _no_body
    _by_group: dict[ListenerGroup, ClientBudget] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._by_group = {
            group: ClientBudget(limits=self._limits(group)) for group in ListenerGroup
        }

    def of(self, group: ListenerGroup) -> ClientBudget:
        """Return the budget of a group."""
        return self._by_group[group]

    def refresh(self) -> None:
        """Derive the limits again, after the settings or the published size of a body changed."""
        for group, budget in self._by_group.items():
            budget.limits = self._limits(group)

    def _limits(self, group: ListenerGroup) -> BudgetLimits:
        return budget_limits(group, self.resources(), self.max_body_bytes(group))
