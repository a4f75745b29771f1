"""Admit requests of accounts with a limit: by this VM's allowance, or by the account's meter."""

import asyncio
import math
import random
from collections.abc import Callable, Iterable, Mapping
from typing import Any, TypedDict

from attrs import define, frozen
from mode import Service
from result import Err, Ok, Result

from pomelobarrow.decision.accounts.account_meter import AccountMeter, Exhausted
from pomelobarrow.decision.accounts.local_allowance import LocalAllowance
from pomelobarrow.decision.common.bounded import UINT32_MAX, are_amounts
from pomelobarrow.decision.common.rendezvous import rendezvous
from pomelobarrow.decision.members.member import Member, name_of
from pomelobarrow.decision.members.membership import MembershipView
from pomelobarrow.decision.published.accounts import Account, RateLimit
from pomelobarrow.decision.requests.short_key import short_key
from pomelobarrow.kernel.background import background_task
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.datagrams import Address, PeerDatagrams, Reply

# Meters of the region that are queried in turn until one answers.
METERS_QUERIED = 3
# A few round trips inside a region. A VM that is busy for longer is no worse than one that is gone.
ANSWER_TIMEOUT_S = 0.12
# A meter that others rank first may still be alive and grant the whole limit, out of reach of the
# VM that asks. The next one grants this share of it.
DEPUTY_SHARE = 0.2
REVIEW_EVERY_S = 0.2
# The same while no accounts are published.
UNUSED_REVIEW_EVERY_S = 2.0
# A refused caller connects again to return, which takes longer than this.
MAX_WAIT_S = 0.2
# After a loss of all meters, until the members' views show which VMs are live.
UNREACHABLE_RETRY_S = 0.3
RETRY_JITTER = 0.3
MS_PER_S = 1_000.0
# Many times what a VM's meters are asked and refunded while a datagram is on the way.
NUMBERS_REMEMBERED = 4_096

# The published accounts by name.
Accounts = Mapping[str, Account]
# Returns the cost of a request that reached no server.
Refund = Callable[[], None]


class MeteredAccount(TypedDict):
    """What a meter has granted to an account, for the status answer."""

    granted: float
    limit_per_s: float


@frozen(kw_only=True)
class Refused:
    """Why a request isn't admitted, and when to retry."""

    # Whether the limit is used up; otherwise no meter answered.
    is_exhausted: bool
    retry_at_unix_s: float


@define(kw_only=True)
class _Local:
    """This VM's own allowance of one account, and what it knows of the account's meter."""

    allowance: LocalAllowance
    # Until when the meter has no tokens; requests are refused without another query.
    closed_until_unix_s: float = -math.inf


class TokenGrants(Service):
    """Query and serve the meters of accounts, one VM per region and account."""

    def __init__(
        self,
        *,
        view: MembershipView,
        regions: Iterable[str],
        accounts: Callable[[], Accounts],
        datagrams: PeerDatagrams,
        tolerance: float = 0.0,
        lowered_after_s: float = 0.0,
    ) -> None:
        super().__init__()
        self._view = view
        self._other_regions = tuple(sorted(set(regions) - {view.own_region}))
        self._accounts = accounts
        self._datagrams = datagrams
        self._tolerance = tolerance
        self._lowered_after_s = lowered_after_s
        self._started_unix_s = now_unix_s()
        self._random = random.Random()
        self._meter_id = self._random.getrandbits(64)
        self._meters: dict[str, AccountMeter] = {}
        self._locals: dict[str, _Local] = {}
        # Numbers of the refunds applied last, and the answers to the last queries by number.
        self._refunds: dict[int, None] = {}
        self._answers: dict[int, pb.TokenAnswer] = {}
        self._names: tuple[Accounts, dict[int, str]] = ({}, {})
        datagrams.handlers["token_query"] = self._on_query
        datagrams.handlers["token_refund"] = self._on_refund
        datagrams.handlers["token_use"] = self._on_use
        datagrams.handlers["token_use_received"] = self._on_use_received

    async def admit(self, account: Account, cost: float) -> Result[Refund, Refused]:
        """Take a request's cost from its account's limit, or return when to retry."""
        limit, now = account.limit, now_unix_s()
        if limit is None:
            return Ok(lambda: None)
        local = self._local(account.name)
        if local.allowance.try_take(cost, limit, len(self._view.known()) + 1, now):
            return Ok(lambda: local.allowance.refund(cost))
        if now < local.closed_until_unix_s:
            return Err(self._exhausted(local.closed_until_unix_s))
        for member in self._ranked_meters(account.name, self._view.own_region):
            granted = await self._query_twice(member, account.name, limit, cost)
            if isinstance(granted, Ok):
                return Ok(self._refund_to(member, account.name, cost))
            if isinstance(granted, Err):
                return Err(self._close(local, granted.err_value))
        retry_s = UNREACHABLE_RETRY_S * self._random.uniform(1.0, 1.0 + RETRY_JITTER)
        return Err(Refused(is_exhausted=False, retry_at_unix_s=now_unix_s() + retry_s))

    def _refund_to(self, member: Member, name: str, cost: float) -> Refund:
        if member.vm == self._view.own_vm:
            return lambda: self._meter(name).refund(cost)
        refund = pb.TokenRefund(
            account_key=short_key(name), cost=cost, number=self._datagrams.next_number()
        )
        return lambda: self._datagrams.send(self._address(member), pb.Datagram(token_refund=refund))

    def metered_accounts(self) -> dict[str, MeteredAccount]:
        """Return what this VM has granted since its start as the meter of accounts."""
        accounts = self._accounts()
        limits = {name: account.limit for name, account in accounts.items()}
        return {
            name: MeteredAccount(granted=meter.granted, limit_per_s=limit.per_s)
            for name, meter in self._meters.items()
            if (limit := limits.get(name)) is not None
        }

    def _local(self, name: str) -> _Local:
        if name not in self._locals:
            allowance = LocalAllowance(started_unix_s=self._started_unix_s)
            self._locals[name] = _Local(allowance=allowance)
        return self._locals[name]

    def _close(self, local: _Local, refused: Exhausted) -> Refused:
        local.closed_until_unix_s = refused.opens_unix_s
        return Refused(is_exhausted=True, retry_at_unix_s=refused.retry_unix_s)

    def _exhausted(self, opens_unix_s: float) -> Refused:
        now = now_unix_s()
        spread_s = RETRY_JITTER * self._random.random()
        return Refused(is_exhausted=True, retry_at_unix_s=max(now, opens_unix_s) + spread_s)

    async def _query_twice(
        self, member: Member, name: str, limit: RateLimit, cost: float
    ) -> Result[None, Exhausted] | None:
        """Query a meter, and once more if the limit has room again in a moment."""
        granted = await self._query(member, name, limit, cost)
        if not isinstance(granted, Err):
            return granted
        wait_s = granted.err_value.opens_unix_s - now_unix_s()
        if wait_s > MAX_WAIT_S:
            return granted
        await asyncio.sleep(max(0.0, wait_s))
        return await self._query(member, name, limit, cost)

    async def _query(
        self, member: Member, name: str, limit: RateLimit, cost: float
    ) -> Result[None, Exhausted] | None:
        """Return a meter's decision, None if it doesn't answer."""
        if member.vm == self._view.own_vm:
            return self._take(name, limit, cost)
        query = pb.TokenQuery(account_key=short_key(name), cost=cost)
        answer = await self._datagrams.query(
            self._address(member), pb.Datagram(token_query=query), ANSWER_TIMEOUT_S
        )
        if not isinstance(answer, pb.TokenAnswer):
            return None
        if answer.is_granted:
            return Ok(None)
        now = now_unix_s()
        return Err(
            Exhausted(
                opens_unix_s=now + answer.opens_in_ms / MS_PER_S,
                retry_unix_s=now + answer.retry_in_ms / MS_PER_S,
            )
        )

    def _take(self, name: str, limit: RateLimit, cost: float) -> Result[None, Exhausted]:
        """Decide as the account's meter, or as its deputy."""
        meters = self._ranked_meters(name, self._view.own_region)
        is_deputy = bool(meters) and meters[0].vm != self._view.own_vm
        share = DEPUTY_SHARE if is_deputy else 1.0
        return self._meter(name).take(cost, limit, now_unix_s(), share)

    def _meter(self, name: str) -> AccountMeter:
        if name not in self._meters:
            self._meters[name] = AccountMeter(
                other_regions=self._other_regions,
                tolerance=self._tolerance,
                lowered_after_s=self._lowered_after_s,
            )
        return self._meters[name]

    def _ranked_meters(self, name: str, region: str) -> tuple[Member, ...]:
        """Return a region's live VMs that meter an account, the first in charge."""
        now = now_unix_s()

        def rank() -> tuple[Member, ...]:
            members = {name_of(member): member for member in self._view.live(region, now)}
            return tuple(members[vm] for vm in rendezvous(f"meter/{name}", members, METERS_QUERIED))

        return self._view.memoized(f"meter/{name}/{region}", rank, now)

    def _address(self, member: Member) -> Address:
        return member.host, self._datagrams.port

    def _account_of(self, key: int) -> Account | None:
        accounts = self._accounts()
        if accounts is not self._names[0]:
            self._names = (accounts, {short_key(name): name for name in accounts})
        name = self._names[1].get(key)
        return accounts[name] if name is not None else None

    def _on_query(self, query: pb.TokenQuery, reply: Reply) -> None:
        account = self._account_of(query.account_key)
        # Without an answer, the VM that asks turns to the next meter.
        if account is None or not are_amounts([query.cost]):
            return
        # The network may repeat a datagram; its tokens are taken once.
        answer = self._answers.get(query.number)
        if answer is None:
            answer = self._answers[query.number] = self._decide(account, query)
            _forget_oldest(self._answers)
        reply(pb.Datagram(token_answer=answer))
        self._announce(account)

    def _decide(self, account: Account, query: pb.TokenQuery) -> pb.TokenAnswer:
        answer = pb.TokenAnswer(number=query.number, is_granted=True)
        if account.limit is not None:
            taken = self._take(account.name, account.limit, query.cost)
            if isinstance(taken, Err):
                now = now_unix_s()
                answer.is_granted = False
                answer.opens_in_ms = _ms(taken.err_value.opens_unix_s - now)
                answer.retry_in_ms = _ms(taken.err_value.retry_unix_s - now)
        return answer

    def _on_refund(self, refund: pb.TokenRefund, reply: Reply) -> None:
        account = self._account_of(refund.account_key)
        if account is None or not are_amounts([refund.cost]):
            return
        if self._is_first(refund.number):
            self._meter(account.name).refund(refund.cost)

    def _is_first(self, number: int) -> bool:
        """Return whether a refund wasn't applied before; the network may repeat a datagram."""
        if number and number in self._refunds:
            return False
        self._refunds[number] = None
        _forget_oldest(self._refunds)
        return True

    def _on_use(self, use: pb.TokenUse, reply: Reply) -> None:
        account = self._account_of(use.account_key)
        if account is not None and account.limit is not None and are_amounts([use.granted]):
            meter = self._meter(account.name)
            meter.observe(use.region, use.meter, use.granted, account.limit, now_unix_s())
            received = pb.TokenUseReceived(
                account_key=use.account_key,
                region=self._view.own_region,
                meter=use.meter,
                granted=use.granted,
            )
            reply(pb.Datagram(token_use_received=received))

    def _on_use_received(self, received: pb.TokenUseReceived, reply: Reply) -> None:
        account = self._account_of(received.account_key)
        is_own = received.meter == self._meter_id and are_amounts([received.granted])
        if account is not None and is_own:
            meter = self._meter(account.name)
            meter.acknowledge(received.region, received.granted, now_unix_s())

    @background_task
    async def _announce_all(self) -> None:
        while not self.should_stop:
            accounts = self._accounts()
            for account in accounts.values():
                self._announce(account)
            await asyncio.sleep(REVIEW_EVERY_S if accounts else UNUSED_REVIEW_EVERY_S)

    def _announce(self, account: Account) -> None:
        """Send what this VM has granted to the account's meters in the other regions."""
        meters = self._ranked_meters(account.name, self._view.own_region)
        is_in_charge = bool(meters) and meters[0].vm == self._view.own_vm
        if account.limit is None or not (is_in_charge or account.name in self._meters):
            return
        meter = self._meter(account.name)
        if not is_in_charge and not meter.has_unannounced:
            return
        granted = meter.announcement(account.limit, now_unix_s())
        if granted is None:
            return
        use = pb.TokenUse(
            account_key=short_key(account.name),
            region=self._view.own_region,
            meter=self._meter_id,
            granted=granted,
        )
        for region in self._other_regions:
            for member in self._ranked_meters(account.name, region)[:1]:
                self._datagrams.send(self._address(member), pb.Datagram(token_use=use))


def _forget_oldest(by_number: dict[int, Any]) -> None:
    if len(by_number) > NUMBERS_REMEMBERED:
        del by_number[next(iter(by_number))]


def _ms(duration_s: float) -> int:
    return math.ceil(min(max(0.0, duration_s * MS_PER_S), UINT32_MAX))
