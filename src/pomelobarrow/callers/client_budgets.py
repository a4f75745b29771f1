"""The budgets of the clients of this process, one for each group of listeners."""

import resource
from collections.abc import Callable

from attrs import define, evolve, field

from pomelobarrow.decision.admission.budget_limits import (
    ListenerGroup,
    VmResources,
    budget_limits,
    process_limit_bytes,
)
from pomelobarrow.decision.admission.client_budget import (
    BudgetLimits,
    ClientBudget,
    ProcessBudget,
)


def _no_body(group: ListenerGroup) -> int:
    return 0


def within_process_limits(stated: VmResources) -> VmResources:
    """Return the stated resources, with no more descriptors than this process may open."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        return stated
    return evolve(stated, descriptors=min(stated.descriptors, soft_limit))


@define(kw_only=True)
class ClientBudgets:
    """Hold the budget of each group; all of them together fit the resources of the VM."""

    resources: Callable[[], VmResources] = VmResources
    # Returns the size of the largest body that a group's clients may send.
    max_body_bytes: Callable[[ListenerGroup], int] = _no_body
    _process: ProcessBudget = field(init=False)
    _by_group: dict[ListenerGroup, ClientBudget] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._process = ProcessBudget(limit_bytes=self._process_limit_bytes())
        self._by_group = {
            group: ClientBudget(limits=self._limits(group), process=self._process)
            for group in ListenerGroup
        }

    def of(self, group: ListenerGroup) -> ClientBudget:
        """Return the budget of a group."""
        return self._by_group[group]

    def refresh(self) -> None:
        """Derive the limits again, after the settings or the published size of a body changed."""
        self._process.limit_bytes = self._process_limit_bytes()
        for group, budget in self._by_group.items():
            budget.limits = self._limits(group)

    def _process_limit_bytes(self) -> int:
        most_bytes = max(self.max_body_bytes(group) for group in ListenerGroup)
        return process_limit_bytes(self.resources(), most_bytes)

    def _limits(self, group: ListenerGroup) -> BudgetLimits:
        return budget_limits(group, self.resources(), self.max_body_bytes(group))
