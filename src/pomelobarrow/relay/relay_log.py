"""Report the decisions on relayed requests and their outcomes to logs and metrics."""

from collections import Counter
from collections.abc import Callable, Mapping

from attrs import define

from pomelobarrow.decision.members.live_members import LiveMembers
from pomelobarrow.decision.placement.region_choice import RegionLoad
from pomelobarrow.decision.requests.fingerprint import format_fingerprint
from pomelobarrow.decision.requests.placement_request import (
    LocalPlacement,
    NoPlacement,
    PeerPlacement,
)
from pomelobarrow.decision.servers.load_table import LoadTable
from pomelobarrow.decision.streams.stream_position import header_value
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.relay.attempt import Target
from pomelobarrow.relay.events import (
    RelayAttemptEnded,
    RelayEnded,
    RelayNotPlaced,
    RelayPlaced,
)
from pomelobarrow.relay.messages import AttemptReport
from pomelobarrow.relay.progress import RequestProgress


@define(kw_only=True)
class RelayLog:
    """Build and emit the events of relayed requests."""

    own_region: str
    table: LoadTable
    members: LiveMembers
    region_loads: Callable[[str], Mapping[str, RegionLoad]]
    observe: Callable[[object], None]

    def placed(self, progress: RequestProgress, decision: LocalPlacement | PeerPlacement) -> None:
        """Report where a request is sent."""
        work, table = progress.request.work, self.table
        if isinstance(decision, LocalPlacement):
            target, region = decision.placement.server.name, self.own_region
            expected_s = decision.placement.expected_wait_s
            cached_tokens = decision.placement.cached_tokens
            copy_from = decision.placement.copy_from
            copied_tokens = decision.placement.copied_tokens
            software_version = decision.placement.server.software_version
        else:
            target, region = decision.member.vm, decision.member.region
            expected_s, cached_tokens = decision.expected_first_answer_s, 0
            software_version, copy_from, copied_tokens = "", "", 0
        now = now_unix_s()
        self.observe(
            RelayPlaced(
                request_id=work.request_id,
                route=progress.request.route.name,
                pool=work.pool,
                routing_version=progress.routing.version,
                attempt=progress.history.attempts,
                target=target,
                target_region=region,
                reason=decision.reason,
                expected_first_answer_s=expected_s,
                software_version=software_version,
                resume_after=progress.resume_after,
                prompt_tokens=work.prompt_tokens,
                group=progress.request.head.group,
                shared_tokens=work.shared_tokens,
                cached_tokens=cached_tokens,
                copy_from=copy_from,
                copied_tokens=copied_tokens,
                view_age_s=table.view_age_s,
                servers_usable=len(table.usable_servers(work.pool, now)),
                time_left_s=work.deadline_unix_s - now,
            )
        )

    def not_placed(self, progress: RequestProgress, decision: NoPlacement) -> None:
        """Report that no server or peer may get a request now."""
        work, table, now = progress.request.work, self.table, now_unix_s()
        listed = table.pool_servers(work.pool)
        loads = self.region_loads(work.pool).items()
        self.observe(
            RelayNotPlaced(
                request_id=work.request_id,
                route=progress.request.route.name,
                pool=work.pool,
                routing_version=progress.routing.version,
                attempts=progress.history.attempts,
                reason=decision.reason,
                account=work.account,
                home_regions=progress.request.route.home_regions,
                expected_wait_s=decision.wait_s,
                servers_listed=len(listed),
                servers_usable=len(table.usable_servers(work.pool, now)),
                servers_cold=sum(server.cold_until_unix_s > now for server in listed),
                servers_backing_off=len(table.backing_off_servers(work.pool, now)),
                servers_elsewhere={
                    region: load.servers for region, load in loads if load.is_fresh(now)
                },
                vms_elsewhere=self._vms_elsewhere(),
                excluded=progress.excluded.names(),
                view_age_s=table.view_age_s,
                time_left_s=work.deadline_unix_s - now,
            )
        )

    def _vms_elsewhere(self) -> dict[str, int]:
        regions = (member.region for member in self.members.usable)
        return dict(Counter(region for region in regions if region != self.own_region))

    def attempt(
        self,
        progress: RequestProgress,
        target: Target,
        report: AttemptReport,
        started_unix_s: float,
    ) -> None:
        """Report how one attempt ended."""
        self.observe(
            RelayAttemptEnded(
                request_id=progress.request.work.request_id,
                route=progress.request.route.name,
                pool=progress.request.work.pool,
                attempt=progress.history.attempts,
                target=target.name,
                end=report.end.value,
                status=report.answer.head.status if report.answer else 0,
                detail=report.detail,
                over_limit=report.over_limit,
                took_s=now_unix_s() - started_unix_s,
                first_answer_s=_since(started_unix_s, report.first_answer_unix_s),
                longest_pause_s=report.longest_pause_s,
                events=report.stream.events,
                first_event_id=header_value(report.stream.first_id),
                last_event_id=header_value(report.stream.last_id),
                answer_end=report.body_end.value,
                is_join_rejected=report.is_join_rejected,
                is_leaving=report.announced.is_leaving,
                backoff_s=report.announced.backoff_s,
            )
        )

    def end(self, progress: RequestProgress, outcome: str) -> None:
        """Report the outcome for the client."""
        work, first_unix_s = progress.request.work, progress.first_answer_unix_s
        self.observe(
            RelayEnded(
                request_id=work.request_id,
                route=progress.request.route.name,
                fingerprint=format_fingerprint(progress.request.fingerprint),
                outcome=outcome,
                status=progress.sink.status,
                detail=progress.history.last_detail,
                routing_version=progress.routing.version,
                attempts=progress.history.attempts,
                forwarded_by=progress.request.forwarded_by,
                took_s=now_unix_s() - work.accepted_unix_s,
                first_answer_s=_since(work.accepted_unix_s, first_unix_s),
                late_by=_late_by(progress),
            )
        )


def _since(start_unix_s: float, unix_s: float | None) -> float | None:
    return None if unix_s is None else unix_s - start_unix_s


def _late_by(progress: RequestProgress) -> str:
    route, first_unix_s = progress.request.route, progress.first_answer_unix_s
    is_first_late = (
        first_unix_s is not None and first_unix_s > progress.request.work.first_token_due_unix_s
    )
    is_pause_late = 0.0 < route.gap_target_s < progress.longest_pause_s
    late = (("first answer", is_first_late), ("pause", is_pause_late))
    return " and ".join(name for name, is_late in late if is_late)
