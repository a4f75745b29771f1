"""Decide whether a request's key admits it to a route."""

from attrs import frozen
from result import Err, Ok, Result

from pomelobarrow.decision.common.errors import ErrorKind
from pomelobarrow.decision.published.accounts import Account
from pomelobarrow.decision.published.routing import Route, Routing

UNKNOWN_ACCOUNTS = "this VM has not received the accounts yet"
UNCONFIRMED = "this VM can't confirm that its configuration is current"
NOT_RECEIVED = "this VM has not received the account yet"
UNKNOWN_KEY = "no account has this key"


@frozen(kw_only=True)
class Admission:
    """The account of an admitted request, if any, and the route as it applies to the account."""

    account: Account | None
    route: Route


@frozen(kw_only=True)
class Denial:
    """Why a request isn't admitted."""

    kind: ErrorKind
    detail: str
    # The account that the request's key belongs to; None if the key decided.
    account: Account | None = None


def check_access(
    routing: Routing,
    route: Route,
    key_sha256: str,
    *,
    is_confirmed: bool,
    is_revocation_strict: bool,
    is_forwarded: bool,
) -> Result[Admission, Denial]:
    """Return the account that a key belongs to, or why the request may not run here.

    Only a VM whose configuration is confirmed rejects a key as unknown: callers don't retry after
    that, and an unconfirmed configuration may be older than the key.
    """
    if route.is_public:
        return Ok(Admission(account=None, route=route))
    if routing.needs_account is None and is_revocation_strict:
        return _not_ready(UNKNOWN_ACCOUNTS)
    if not routing.needs_account:
        return Ok(Admission(account=None, route=route))
    account = routing.account_by_key_sha256.get(key_sha256)
    if not is_confirmed and (account is None or is_revocation_strict):
        return _not_ready(UNCONFIRMED)
    if account is None and is_forwarded:
        return _not_ready(NOT_RECEIVED)
    if account is None:
        return Err(Denial(kind=ErrorKind.UNKNOWN_KEY, detail=UNKNOWN_KEY))
    route_of_account = routing.route_of_account(route, account)
    if not route_of_account.may_run_anywhere:
        return _no_common_region(route, account, is_confirmed and not is_forwarded)
    return Ok(Admission(account=account, route=route_of_account))


def _no_common_region(route: Route, account: Account, is_certain: bool) -> Err[Denial]:
    """Deny as bound to other regions only if this VM's configuration is known to be current."""
    kind = ErrorKind.NO_COMMON_REGION if is_certain else ErrorKind.NOT_READY
    regions = f"the route in {_listed(route)}, the account in {_listed(account)}"
    detail = f"no region may serve it: {regions}"
    return Err(Denial(kind=kind, detail=detail, account=account))


def _listed(bound: Route | Account) -> str:
    return ", ".join(bound.home_regions)


def _not_ready(detail: str) -> Result[Admission, Denial]:
    return Err(Denial(kind=ErrorKind.NOT_READY, detail=detail))
