"""Admit a client's request by its account's key and limit."""

from collections.abc import Awaitable, Callable

from attrs import define
from result import Err, Ok, Result

from pomelobarrow.decision.accounts.access import Admission, Denial, check_access
from pomelobarrow.decision.common.errors import ErrorKind, Refusal, RunStatus
from pomelobarrow.decision.published.accounts import Account
from pomelobarrow.decision.published.routing import Route, Routing
from pomelobarrow.dispatch.refusals import refuse
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.peers.token_grants import Refund, Refused
from pomelobarrow.relay.events import RelayDenied
from pomelobarrow.relay.messages import RelayRequest, RequestHead

# Other VMs may be able to confirm their configuration, and a caller that returns connects to one at
# random.
UNCONFIRMED_RETRY_S = 0.2
# Of denials that stay true until the configuration changes.
FINAL_REMEDIES = {
    ErrorKind.UNKNOWN_KEY: "send one key of a published account, or ask the operator for one",
    ErrorKind.NO_COMMON_REGION: "ask the operator for a region that the route and account share",
}
LIMIT_UNKNOWN = "no VM that meters the account's limit answered"
LIMIT_EXHAUSTED = "the account's limit is used up"

TokenAdmission = Callable[[Account, float], Awaitable[Result[Refund, Refused]]]


async def _admit_all(account: Account, cost: float) -> Result[Refund, Refused]:
    return Ok(lambda: None)


@define(kw_only=True)
class RelayAccess:
    """Check keys, confirm the configuration behind them, and charge accounts."""

    routing: Callable[[], Routing | None] = lambda: None
    is_revocation_strict: bool = False
    is_confirmed: Callable[[], bool] = lambda: True
    confirmed_age_s: Callable[[], float] = lambda: 0.0
    admit_tokens: TokenAdmission = _admit_all
    observe: Callable[[object], None] = lambda event: None

    def check(
        self, routing: Routing, route: Route, head: RequestHead, forwarded_by: str
    ) -> Result[Admission, Refusal]:
        """Return the request's account and route, or the refusal to answer with."""
        checked = self._check(routing, route, head.key_sha256, forwarded_by)
        if isinstance(checked, Ok):
            return checked
        denial = checked.err_value
        retry_at_unix_s = now_unix_s() + UNCONFIRMED_RETRY_S
        if remedy := FINAL_REMEDIES.get(denial.kind):
            refusal = refuse(denial.kind, RunStatus.NO, denial.detail, remedy=remedy)
        else:
            refusal = refuse(denial.kind, RunStatus.NO, denial.detail, retry_at_unix_s)
        self._report(refusal, routing, route, head, forwarded_by, denial.account)
        return Err(refusal)

    def may_still_run(self, request: RelayRequest) -> bool:
        """Return whether a request that was admitted may be sent to a server now.

        Its key may have been revoked while the request waited or while this VM stood still.
        """
        routing = self.routing()
        if request.account is None or routing is None:
            return True
        return self._check(
            routing, request.route, request.head.key_sha256, request.forwarded_by
        ).is_ok()

    async def charge(self, routing: Routing, request: RelayRequest) -> Result[Refund, Refusal]:
        """Take the request's cost from its account's limit; return how to refund it."""
        account = request.account
        if account is None or account.limit is None:
            return Ok(lambda: None)
        cost = account.limit.cost(request.head.counted_tokens)
        admitted = await self.admit_tokens(account, cost)
        if isinstance(admitted, Ok):
            return admitted
        refused = admitted.err_value
        kind = ErrorKind.ACCOUNT_LIMIT if refused.is_exhausted else ErrorKind.NOT_READY
        detail = LIMIT_EXHAUSTED if refused.is_exhausted else LIMIT_UNKNOWN
        refusal = refuse(kind, RunStatus.NO, detail, refused.retry_at_unix_s)
        self._report(refusal, routing, request.route, request.head, "", account, cost)
        return Err(refusal)

    def _check(
        self, routing: Routing, route: Route, key_sha256: str, forwarded_by: str
    ) -> Result[Admission, Denial]:
        return check_access(
            routing,
            route,
            key_sha256,
            is_confirmed=self.is_confirmed(),
            is_revocation_strict=self.is_revocation_strict,
            is_forwarded=bool(forwarded_by),
        )

    def _report(
        self,
        refusal: Refusal,
        routing: Routing,
        route: Route,
        head: RequestHead,
        forwarded_by: str,
        account: Account | None = None,
        cost: float = 0.0,
    ) -> None:
        limit = account.limit if account else None
        retry_at_unix_s = refusal.retry_at_unix_s
        self.observe(
            RelayDenied(
                request_id=head.request_id,
                route=route.name,
                account=account.name if account else "",
                kind=refusal.kind.label,
                detail=refusal.detail,
                routing_version=routing.version,
                confirmed_age_s=self.confirmed_age_s(),
                cost=cost,
                limit_per_s=limit.per_s if limit else 0.0,
                forwarded_by=forwarded_by,
                retry_after_s=None if retry_at_unix_s is None else retry_at_unix_s - now_unix_s(),
            )
        )
