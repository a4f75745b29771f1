"""Answer clients that look up entry VMs, and the platform's readiness checks."""

from collections.abc import Callable

from aiohttp import web
from attrs import define, field

from pomelobarrow.decision.members.member import Member
from pomelobarrow.decision.members.membership import MembershipView
from pomelobarrow.decision.published.routing import Routing
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.relay.directory_log import DirectoryLog
from pomelobarrow.relay.wire import DirectoryQuery, RelayWire

# Some clients keep an answer three times as long as this. With a short validity they stop using a
# VM soon after it has gone.
ANSWER_VALID_S = 1.0
MAX_ADDRESSES = 16
# With fewer VMs in the client's failure domain, the answer lists those of its whole region.
MIN_SAME_DOMAIN = 2


@define(kw_only=True)
class RelayDirectory:
    """Answer directory queries and readiness checks from the member table and the routing."""

    view: MembershipView
    wire: RelayWire
    routing: Callable[[], Routing | None]
    not_ready_reason: Callable[[], str | None]
    observe: Callable[[object], None]
    _log: DirectoryLog = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._log = DirectoryLog(view=self.view, observe=self.observe)

    async def answer(self, incoming: web.BaseRequest) -> web.StreamResponse:
        """Answer a client's query for the addresses to connect to."""
        if incoming.path != self.wire.directory_path:
            return web.Response(status=404)
        query = self.wire.read_directory_query(incoming.query)
        now = now_unix_s()
        members = self._members(query, now)[:MAX_ADDRESSES]
        self._log.note(query, members, now)
        if not members:
            return web.Response(status=503)
        addresses = [member.caller_address for member in members]
        body = self.wire.directory_answer(addresses, ANSWER_VALID_S)
        return web.Response(body=body, content_type="application/json")

    async def readiness(self, incoming: web.BaseRequest) -> web.StreamResponse:
        """Answer the platform's readiness check."""
        reason = self.not_ready_reason()
        return web.Response(status=503 if reason else 200, text=f"{reason or 'ready'}\n")

    def _members(self, query: DirectoryQuery, now_unix_s: float) -> list[Member]:
        """Return the VMs nearest to a client.

        The client's own region comes first, also for work that is bound to other regions: a VM
        there forwards it. Only without a VM in that region is the client sent to a home region.
        """
        members = list(self.view.entries_for_callers(now_unix_s=now_unix_s))
        same_region = [member for member in members if member.region == query.region]
        same_domain = [m for m in same_region if m.failure_domain == query.failure_domain]
        if len(same_domain) >= MIN_SAME_DOMAIN:
            return same_domain
        homes = self._homes(query.host)
        found = same_region or _within(homes, members)
        if found or not homes:
            return found or members
        # Heartbeats of some VMs in other regions arrive only every few seconds.
        at_home = _within(homes, list(self.view.usable_entries(now_unix_s=now_unix_s)))
        return at_home or self._stopping_members(query.region, homes, now_unix_s) or members

    def _stopping_members(self, region: str, homes: set[str], now_unix_s: float) -> list[Member]:
        """Return the VMs of the client's region, else of its homes, that still serve late clients.

        During a rolling replacement, all VMs of a region may be stopping at the same time. Any
        other region would only refuse a request that is bound to its home regions, after its body
        has left the regions that it may be in.
        """
        stopping = list(self.view.leaving_entries_for_callers(now_unix_s))
        return _within({region}, stopping) or _within(homes, stopping)

    def _homes(self, host: str) -> set[str]:
        routing = self.routing()
        routes = routing.routes_of_host(host) if routing else ()
        return {region for route in routes for region in route.home_regions}


def _within(regions: set[str], members: list[Member]) -> list[Member]:
    return [member for member in members if member.region in regions]
