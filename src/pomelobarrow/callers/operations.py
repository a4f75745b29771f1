"""Answer operators' requests: health, readiness, status and explanation."""

from typing import Any

import orjson
from aiohttp import web
from attrs import define
from result import Err

from pomelobarrow.callers import parsing
from pomelobarrow.callers.problems import problem_response
from pomelobarrow.decision.common.errors import ErrorKind, RunStatus
from pomelobarrow.decision.placement.server_choice import choose_server
from pomelobarrow.decision.published.configuration import Account, Configuration
from pomelobarrow.decision.requests.work import Work
from pomelobarrow.dispatch.dispatcher import Dispatcher
from pomelobarrow.dispatch.refusals import refuse
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.kernel.context import Context
from pomelobarrow.published.keyspaces import PublishedState


@define(kw_only=True)
class Operations:
    """Handle operators' requests."""

    context: Context
    published: PublishedState
    dispatcher: Dispatcher

    def not_ready_reason(self) -> str | None:
        """Return the first reason why this VM isn't ready, or None."""
        if self.context.is_draining:
            return "draining"
        reasons = self.context.hooks.hook.not_ready_reason(context=self.context)
        return next(iter(reasons), None)

    async def health(self, request: web.Request) -> web.Response:
        """Answer GET /healthz."""
        return web.Response(text="ok\n")

    async def readiness(self, request: web.Request) -> web.Response:
        """Answer GET /readyz."""
        reason = self.not_ready_reason()
        return web.Response(status=503 if reason else 200, text=f"{reason or 'ready'}\n")

    async def status(self, request: web.Request) -> web.Response:
        """Answer GET /v1/status."""
        settings = self.context.settings
        answer: dict[str, Any] = {
            "vm": settings.vm,
            "incarnation": self.context.incarnation,
            "region": settings.region,
            "failure_domain": settings.failure_domain,
            "draining": self.context.is_draining,
            "not_ready_reason": self.not_ready_reason(),
        }
        for section in self.context.hooks.hook.status(context=self.context):
            answer[section.name] = section.values
        return json_response(answer)

    async def explain(self, request: web.Request) -> web.Response:
        """Answer GET /v1/explain: where a request of a class and account would go now."""
        configuration = self.published.configuration
        if configuration is None:
            return problem_response(
                refuse(ErrorKind.NOT_READY, RunStatus.NO, "no configuration yet")
            )
        work_class = parsing.find_class(request.query.get("class"), configuration)
        if isinstance(work_class, Err):
            return problem_response(work_class.err_value)
        account = configuration.accounts.get(request.query.get("account", ""))
        if account is None:
            # The known accounts aren't listed, because callers can reach this path too and the
            # names identify other client accounts.
            remedy = "use the name of a published account"
            return problem_response(
                refuse(ErrorKind.UNKNOWN_ACCOUNT, RunStatus.NO, "no such account", remedy=remedy)
            )
        return json_response(self._explanation(work_class.ok_value.name, account, configuration))

    def _explanation(
        self, class_name: str, account: Account, configuration: Configuration
    ) -> dict[str, Any]:
        work = self._sample_work(class_name, account, configuration)
        choice = self.dispatcher.choose(work, set())
        answer: dict[str, Any] = {
            "class": class_name,
            "account": account.name,
            "rank": work.rank.value,
            "home_region": work.home_region,
            "home_bound": work.home_bound,
            "region": choice.region,
            "reason": choice.reason.value,
            "expected_wait_s": self.dispatcher.local.expected_wait_s(work),
        }
        if choice.region == self.dispatcher.own_region:
            answer["backend_server"] = self._server_choice(work)
        return answer

    def _server_choice(self, work: Work) -> dict[str, Any] | str:
        local = self.dispatcher.local
        placement = choose_server(local.table, work, now_unix_s(), local.rng, frozenset())
        if placement is None:
            return "none has room now: it would wait in the queue"
        return {
            "name": placement.server.name,
            "reason": placement.reason,
            "expected_wait_s": placement.expected_wait_s,
        }

    def _sample_work(self, class_name: str, account: Account, configuration: Configuration) -> Work:
        work_class, now = configuration.classes[class_name], now_unix_s()
        return parsing.build_work(
            request_id="explain",
            account=account,
            work_class=work_class,
            home_region=account.home_region or self.dispatcher.own_region,
            deadline_unix_s=now + work_class.finish_target_s * parsing.DEFAULT_DEADLINE_FACTOR,
            now_unix_s=now,
            expected_output_tokens=parsing.DEFAULT_OUTPUT_TOKENS,
        )


def json_response(body: Any) -> web.Response:
    """Return a JSON answer."""
    return web.Response(body=orjson.dumps(body), content_type="application/json")
