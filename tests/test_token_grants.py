"""VMs of two regions admit an account's requests through its meters, over real datagrams."""

from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager

import pytest
from attrs import define
from datagram_vms import HOST_BY_VM, KEY, REGION_BY_VM, view_of
from result import Err, Ok, Result

from harness.processes import free_ports
from pomelobarrow.decision.accounts.account_meter import AccountMeter
from pomelobarrow.decision.published.accounts import Account, RateLimit
from pomelobarrow.decision.requests.short_key import short_key
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers import token_grants
from pomelobarrow.peers.datagrams import PeerDatagrams
from pomelobarrow.peers.token_grants import Refund, Refused, TokenGrants

SHOPS = Account(
    name="shops",
    token_sha256=(),
    limit=RateLimit(per_s=100_000.0, burst=100_000.0, counts_tokens=True),
)
UNLIMITED = Account(name="free", token_sha256=())


@define
class Vm:
    datagrams: PeerDatagrams
    grants: TokenGrants

    async def stop(self) -> None:
        await self.grants.stop()
        await self.datagrams.stop()


@asynccontextmanager
async def fleet() -> AsyncIterator[dict[str, Vm]]:
    [port] = free_ports(1)
    vms = {}
    for vm in REGION_BY_VM:
        view = view_of(vm)
        datagrams = PeerDatagrams((KEY,), HOST_BY_VM[vm], port)
        grants = TokenGrants(
            view=view,
            regions=("a", "b"),
            accounts=lambda: {SHOPS.name: SHOPS},
            datagrams=datagrams,
        )
        await datagrams.start()
        await grants.start()
        vms[vm] = Vm(datagrams=datagrams, grants=grants)
    try:
        yield vms
    finally:
        for each in vms.values():
            await each.stop()


async def use_up(vms: Iterator[Vm] | list[Vm], cost: float = 1_000.0) -> Result[Refund, Refused]:
    """Admit requests at the VMs in turn until one is refused."""
    while True:
        for vm in vms:
            admitted = await vm.grants.admit(SHOPS, cost)
            if isinstance(admitted, Err):
                return admitted


@pytest.fixture(autouse=True)
def _refuse_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Refuse requests that would otherwise wait a moment for the limit."""
    monkeypatch.setattr(token_grants, "MAX_WAIT_S", -1.0)


async def test_request_waits_a_moment_for_the_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    async with fleet() as vms:
        await use_up([vms["a-1"]])
        monkeypatch.setattr(token_grants, "MAX_WAIT_S", 5.0)
        vms["a-1"].grants._locals["shops"].closed_until_unix_s = 0.0
        assert (await vms["a-1"].grants.admit(SHOPS, 1_000.0)).is_ok()


async def test_account_without_limit_is_admitted() -> None:
    async with fleet() as vms:
        assert (await vms["a-1"].grants.admit(UNLIMITED, 1e9)).is_ok()


async def test_limit_holds_at_every_vm_of_a_region() -> None:
    async with fleet() as vms:
        local = [vms[vm] for vm in ("a-1", "a-2", "a-3")]
        refused = (await use_up(local)).unwrap_err()
        assert refused.is_exhausted
        assert refused.retry_at_unix_s > now_unix_s() - 1.0
        # Each VM is refused, whichever used the limit.
        large = [await vm.grants.admit(SHOPS, 90_000.0) for vm in local]
        assert any(isinstance(each, Err) for each in large)


async def test_vm_that_was_refused_waits_until_the_limit_has_room() -> None:
    async with fleet() as vms:
        await use_up([vms["a-1"]])
        for _ in range(50):
            await vms["a-1"].grants.admit(SHOPS, 50_000.0)
        metered = [vm.grants.metered_accounts() for vm in vms.values()]
        granted = sum(each["shops"]["granted"] for each in metered if "shops" in each)
        assert granted <= 300_000.0


async def test_next_vm_meters_an_account_if_the_first_does_not_answer() -> None:
    async with fleet() as vms:
        ranked = vms["b-1"].grants._ranked_meters("shops", "a")
        first = ranked[0].vm
        await vms[first].stop()
        asking = next(vm for vm in ("a-1", "a-2", "a-3") if vm != first)
        assert (await vms[asking].grants.admit(SHOPS, 100.0)).is_ok()


async def test_request_is_not_rejected_for_good_while_no_meter_answers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The caller returns, perhaps to another VM; 429 would say that its limit is used up."""
    async with fleet() as vms:
        asking = vms["a-1"].grants
        others = tuple(each for each in asking._ranked_meters("shops", "a") if each.vm != "a-1")
        monkeypatch.setattr(asking, "_ranked_meters", lambda name, region: others)
        await vms["a-2"].stop()
        await vms["a-3"].stop()
        refused = (await asking.admit(SHOPS, 100.0)).unwrap_err()
        assert not refused.is_exhausted


async def test_refund_returns_tokens_to_the_meter() -> None:
    async with fleet() as vms:
        meter_vm = vms["a-1"].grants._ranked_meters("shops", "a")[0].vm
        vm = vms[meter_vm]
        admitted = await vm.grants.admit(SHOPS, 200_000.0)
        assert isinstance(admitted, Ok)
        assert (await vm.grants.admit(SHOPS, 1_000.0)).is_err()
        admitted.ok_value()
        vm.grants._locals["shops"].closed_until_unix_s = 0.0
        assert (await vm.grants.admit(SHOPS, 1_000.0)).is_ok()


async def test_refund_replayed_on_the_way_returns_tokens_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A duplicated datagram must not let an account exceed its limit."""
    refunded: list[float] = []
    monkeypatch.setattr(AccountMeter, "refund", lambda meter, cost: refunded.append(cost))
    async with fleet() as vms:
        meter = vms[vms["a-1"].grants._ranked_meters("shops", "a")[0].vm]
        asking = next(vm for vm in (vms["a-1"], vms["a-2"]) if vm is not meter)
        refund = (await asking.grants.admit(SHOPS, 90_000.0)).unwrap()
        sent: list[bytes] = []
        monkeypatch.setattr(
            asking.datagrams,
            "send",
            lambda _, each: sent.append(asking.datagrams._codec.encode(each)),
        )
        refund()
        for data in sent * 3:
            meter.datagrams._receive(data, ("127.0.0.1", 1))
        assert refunded == [90_000.0]


async def test_refund_of_an_earlier_release_has_no_number_and_counts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    refunded: list[float] = []
    monkeypatch.setattr(AccountMeter, "refund", lambda meter, cost: refunded.append(cost))
    async with fleet() as vms:
        grants = vms["a-1"].grants
        for _ in range(2):
            refund = pb.TokenRefund(account_key=short_key("shops"), cost=5.0)
            grants._on_refund(refund, lambda answer: None)
    assert refunded == [5.0, 5.0]


async def test_query_replayed_on_the_way_takes_tokens_once() -> None:
    """A duplicated datagram must not use up an account's limit, nor get another answer."""
    async with fleet() as vms:
        grants = vms["a-1"].grants
        answers: list[pb.Datagram] = []
        for number in (7, 7, 7, 8):
            query = pb.TokenQuery(number=number, account_key=short_key("shops"), cost=5.0)
            grants._on_query(query, answers.append)
        granted = grants.metered_accounts()["shops"]["granted"]
    assert granted == 10.0
    assert [each.token_answer.number for each in answers] == [7, 7, 7, 8]
    assert all(each.token_answer.is_granted for each in answers)
