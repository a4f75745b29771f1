"""An account's demand is known in every region, so that its limit holds across regions."""

from pomelobarrow.decision.admission.limits import AccountLimits
from pomelobarrow.decision.published.configuration import Account, Configuration
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.demand_updates import (
    MAX_RATED_ACCOUNTS,
    DemandUpdates,
    SentDemand,
)
from pomelobarrow.peers.grid import LinkKind, Neighbours, neighbours

LIMIT_PER_S = 10.0
ASKED_PER_S = 40.0
ACCOUNT = Account(
    name="desk", token_sha256=(), max_requests_per_s=LIMIT_PER_S, max_requests_in_flight=1_000
)
CONFIGURATION = Configuration(accounts={ACCOUNT.name: ACCOUNT})
HEARTBEAT_EVERY_S = 0.5


class Vm:
    """Simulate one entry VM that exchanges demand."""

    def __init__(self, name: str, region: str, region_vms: tuple[str, ...]) -> None:
        self.name, self.region = name, region
        self.limits = AccountLimits()
        self.updates = DemandUpdates(limits=self.limits, configuration=lambda: CONFIGURATION)
        self.neighbours: Neighbours = neighbours(name, region_vms)
        self.limits.set_region_vms(len(region_vms))
        self.sent: dict[str, SentDemand] = {}

    def send_heartbeat_to(self, other: "Vm", now_unix_s: float) -> None:
        """Send the demand part of one heartbeat."""
        heartbeat = pb.Heartbeat(vm=self.name, region=self.region)
        kind = self.neighbours.kind(other.name, self.region == other.region)
        sent = self.sent.setdefault(other.name, SentDemand())
        self.updates.write(heartbeat, sent, kind, self.neighbours, now_unix_s)
        back = other.neighbours.kind(self.name, self.region == other.region)
        other.updates.apply(heartbeat, back, now_unix_s)


def admitted(vms: list[Vm], seconds: float) -> int:
    """Count the requests that evenly loaded VMs admit once they know each other's demand."""
    count, steps = 0, int(seconds * ASKED_PER_S)
    next_heartbeat_unix_s = 0.0
    for step in range(steps):
        now_unix_s = 1_000.0 + step / ASKED_PER_S
        if now_unix_s >= next_heartbeat_unix_s:
            next_heartbeat_unix_s = now_unix_s + HEARTBEAT_EVERY_S
            for vm in vms:
                for other in vms:
                    if other is not vm:
                        vm.send_heartbeat_to(other, now_unix_s)
        vm = vms[step % len(vms)]
        if vm.limits.admit(ACCOUNT, now_unix_s).is_ok():
            vm.limits.release(ACCOUNT.name)
            count += step >= steps / 2
    return count


def test_limit_holds_over_regions() -> None:
    # Without the demand of other regions, each region would admit the whole limit: three times in
    # all.
    regions = ("milan", "turin", "bologna")
    vms = [Vm(f"{r}-{n}", r, (f"{r}-1", f"{r}-2")) for r in regions for n in (1, 2)]
    assert admitted(vms, 20.0) <= LIMIT_PER_S * 10.0 * 1.1


def test_other_region_receives_the_sum_of_all_vms() -> None:
    own, near, far = (
        Vm("milan-1", "milan", ("milan-1", "milan-2")),
        Vm("milan-2", "milan", ("milan-1", "milan-2")),
        Vm("turin-1", "turin", ("turin-1",)),
    )
    for step in range(40):
        for vm in (own, near):
            vm.limits.admit(ACCOUNT, 1_000.0 + step / 20.0)
    now_unix_s = 1_002.0
    near.send_heartbeat_to(own, now_unix_s)
    heartbeat = pb.Heartbeat(vm=own.name, region=own.region)
    own.updates.write(heartbeat, SentDemand(), LinkKind.OTHER_REGION, own.neighbours, now_unix_s)
    alone = pb.Heartbeat(vm=own.name, region=own.region)
    own.updates.write(alone, SentDemand(), LinkKind.ROW, own.neighbours, now_unix_s)
    assert heartbeat.account_rates[0] > 1.5 * alone.account_rates[0]
    assert far.name not in own.neighbours.all


def test_rates_of_accounts_without_end_are_left_out() -> None:
    """Guards against a faulty VM that states the demand of accounts that don't exist."""
    vm = Vm("a", "milan", ("a", "b"))
    for first in range(0, 3 * MAX_RATED_ACCOUNTS, MAX_RATED_ACCOUNTS):
        keys = range(first, first + MAX_RATED_ACCOUNTS)
        heartbeat = pb.Heartbeat(vm="b", account_keys=keys, account_rates=[1.0] * len(keys))
        vm.updates.apply(heartbeat, LinkKind.ROW, 1_000.0)
    assert len(vm.updates._rates["b"]) == MAX_RATED_ACCOUNTS
