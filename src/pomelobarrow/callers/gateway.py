"""Check, dispatch and answer callers' requests."""

import itertools
from collections.abc import Callable, Mapping

from aiohttp import web
from attrs import define, evolve, field
from result import Err, Ok, Result

from pomelobarrow.callers import parsing
from pomelobarrow.callers.bodies import check_uncompressed, read_body
from pomelobarrow.callers.headers import check_text, public_headers, read_traceparent
from pomelobarrow.callers.problems import problem_response
from pomelobarrow.callers.sinks import HttpSink
from pomelobarrow.decision.common.errors import ErrorKind, Refusal, RunStatus
from pomelobarrow.decision.published.configuration import Account, Configuration, WorkClass
from pomelobarrow.decision.requests.work import Work
from pomelobarrow.dispatch.entry import EntryDispatch
from pomelobarrow.dispatch.events import RequestEnded
from pomelobarrow.dispatch.refusals import refuse
from pomelobarrow.dispatch.request import GatewayRequest
from pomelobarrow.kernel.clock import now_unix_s


@define(kw_only=True)
class CheckedHeaders:
    """Values of the request headers after validation."""

    account: Account
    work_class: WorkClass
    home_region: str
    deadline_unix_s: float
    key: str | None


@define(kw_only=True)
class CallerGateway:
    """Handle the requests of all callers on this VM."""

    vm: str
    region: str
    incarnation: int
    configuration: Callable[[], Configuration | None]
    regions: Callable[[], frozenset[str]]
    entry: EntryDispatch
    observe: Callable[[object], None]
    is_draining: Callable[[], bool]
    not_ready_reason: Callable[[], str | None]
    # Returns the mean output length of a class's answers so far.
    expected_output_tokens: Callable[[str], int]
    _serial: "itertools.count[int]" = field(factory=itertools.count)

    async def chat(self, request: web.Request) -> web.StreamResponse:
        """Answer POST /v1/chat/completions."""
        return await self._serve(request, self._build_chat)

    async def service(self, request: web.Request) -> web.StreamResponse:
        """Answer a call of a plain service."""
        return await self._serve(request, self._build_service)

    def check_headers(
        self, headers: Mapping[str, str], configuration: Configuration
    ) -> Result[CheckedHeaders, Refusal]:
        """Check the headers: account, class, deadline, home region and key."""
        account = parsing.find_account(headers, configuration)
        if isinstance(account, Err):
            return account
        work_class = parsing.find_class(headers.get(parsing.CLASS_HEADER), configuration)
        if isinstance(work_class, Err):
            return work_class
        found = work_class.ok_value
        given_deadline = headers.get(parsing.DEADLINE_HEADER)
        deadline = parsing.read_deadline(given_deadline, found, now_unix_s())
        if isinstance(deadline, Err):
            return deadline
        given_region = headers.get(parsing.HOME_REGION_HEADER)
        home = parsing.read_home_region(
            given_region, account.ok_value, found, self.regions(), self.region
        )
        if isinstance(home, Err):
            return home
        return self._check_key(
            CheckedHeaders(
                account=account.ok_value,
                work_class=found,
                home_region=home.ok_value,
                deadline_unix_s=deadline.ok_value,
                key=headers.get(parsing.KEY_HEADER),
            )
        )

    def _check_key(self, checked: CheckedHeaders) -> Result[CheckedHeaders, Refusal]:
        """Refuse a key that this system did not issue if the work must not run twice.

        Two entry VMs may disagree on the owner of such a key while their lists of VMs differ, and
        both would run the request. Repeatable work needs no key, so the key is ignored there.
        """
        if checked.key is None or parsing.is_issued(checked.key):
            return Ok(checked)
        if checked.work_class.repeatable:
            checked.key = None
            return Ok(checked)
        return Err(
            refuse(
                ErrorKind.BAD_IDEMPOTENCY_KEY,
                RunStatus.NO,
                "the key was not issued by this system",
                remedy="send an id from the request_ids of GET /v1/entries",
            )
        )

    async def _serve(
        self,
        request: web.Request,
        build: Callable[
            [web.Request, CheckedHeaders, Configuration, bytes], Result[GatewayRequest, Refusal]
        ],
    ) -> web.StreamResponse:
        started_unix_s = now_unix_s()
        configuration, reason = self.configuration(), self.not_ready_reason()
        if configuration is None or reason:
            refusal = refuse(ErrorKind.NOT_READY, RunStatus.NO, reason or "not ready")
            return problem_response(_unknown_run_if_repeat(refusal, request.headers))
        readable = check_text(request.raw_path, request.headers)
        if isinstance(readable, Err):
            return self._refusal_response(request, readable.err_value, started_unix_s)
        checked = self.check_headers(request.headers, configuration)
        if isinstance(checked, Err):
            return self._refusal_response(request, checked.err_value, started_unix_s)
        if self._is_refused_while_draining(checked.ok_value):
            return self._refusal_response(request, self._draining_refusal(), started_unix_s)
        body = await read_body(request, checked.ok_value.deadline_unix_s)
        if isinstance(body, Err):
            return self._refusal_response(request, body.err_value, started_unix_s)
        # The stop may have been requested while the body was being read. Starting the request now
        # would delay the stop, or the request would start after the check for remaining work and
        # be aborted.
        if self._is_refused_while_draining(checked.ok_value):
            return self._refusal_response(request, self._draining_refusal(), started_unix_s)
        built = build(request, checked.ok_value, configuration, body.ok_value)
        if isinstance(built, Err):
            return self._refusal_response(request, built.err_value, started_unix_s)
        return await self._answer(request, built.ok_value, checked.ok_value.account)

    def _is_refused_while_draining(self, checked: CheckedHeaders) -> bool:
        """Return whether to refuse new work; a repeat may still ask for its outcome."""
        return self.is_draining() and checked.key is None

    def _draining_refusal(self) -> Refusal:
        return refuse(ErrorKind.DRAINING, RunStatus.NO, "this VM is stopping")

    async def _answer(
        self, request: web.Request, gateway_request: GatewayRequest, account: Account
    ) -> web.StreamResponse:
        sink = HttpSink(request, gateway_request.work.request_id)
        refusal: Refusal | None = None
        outcome = "caller_gone"
        try:
            refusal = await self.entry.dispatch(gateway_request, account, sink)
            outcome = "answered" if refusal is None else "refused"
        finally:
            self._report(gateway_request.work, sink, outcome, refusal)
        if sink.response is not None:
            return sink.response
        assert refusal is not None
        return problem_response(refusal, gateway_request.work.request_id)

    def _build_chat(
        self,
        request: web.Request,
        checked: CheckedHeaders,
        configuration: Configuration,
        body: bytes,
    ) -> Result[GatewayRequest, Refusal]:
        uncompressed = check_uncompressed(request)
        if isinstance(uncompressed, Err):
            return uncompressed
        chat = parsing.read_chat_body(body)
        if isinstance(chat, Err):
            return chat
        model = parsing.check_model(chat.ok_value.model, checked.work_class, configuration)
        if isinstance(model, Err):
            return model
        work = self._work(checked, chat.ok_value)
        return Ok(self._request(request, checked, work, body, chat.ok_value.is_streamed, True))

    def _build_service(
        self,
        request: web.Request,
        checked: CheckedHeaders,
        configuration: Configuration,
        body: bytes,
    ) -> Result[GatewayRequest, Refusal]:
        name = request.match_info["name"]
        service = parsing.check_service(name, checked.work_class, configuration)
        if isinstance(service, Err):
            return service
        return Ok(self._request(request, checked, self._work(checked, None), body, False, False))

    def _work(self, checked: CheckedHeaders, chat: parsing.ChatBody | None) -> Work:
        return parsing.build_work(
            request_id=checked.key or f"{self.vm}-{self.incarnation:x}-{next(self._serial):x}",
            account=checked.account,
            work_class=checked.work_class,
            home_region=checked.home_region,
            deadline_unix_s=checked.deadline_unix_s,
            now_unix_s=now_unix_s(),
            expected_output_tokens=self.expected_output_tokens(checked.work_class.name),
            chat=chat,
        )

    def _request(
        self,
        request: web.Request,
        checked: CheckedHeaders,
        work: Work,
        body: bytes,
        is_streamed: bool,
        is_chat: bool,
    ) -> GatewayRequest:
        return GatewayRequest(
            work=work,
            work_class=checked.work_class,
            is_chat=is_chat,
            is_streamed=is_streamed,
            is_claimed=checked.key is not None,
            method=request.method,
            path=request.path if is_chat else _service_path(request),
            headers=() if is_chat else public_headers(request.headers),
            body=body,
            traceparent=read_traceparent(request.headers),
        )

    def _refusal_response(
        self, request: web.Request, refusal: Refusal, started_unix_s: float
    ) -> web.Response:
        refusal = _unknown_run_if_repeat(refusal, request.headers)
        self.observe(
            RequestEnded(
                request_id="",
                class_name="",
                account="",
                outcome="refused",
                kind=refusal.kind.label,
                run=refusal.run.value,
                region=self.region,
                accepted_unix_s=started_unix_s,
                ended_unix_s=now_unix_s(),
            )
        )
        return problem_response(refusal)

    def _report(self, work: Work, sink: HttpSink, outcome: str, refusal: Refusal | None) -> None:
        self.observe(
            RequestEnded(
                request_id=work.request_id,
                class_name=work.class_name,
                account=work.account,
                outcome=outcome,
                kind=refusal.kind.label if refusal else "",
                run=refusal.run.value if refusal else "",
                server=sink.server,
                region=self.region,
                accepted_unix_s=work.accepted_unix_s,
                first_byte_unix_s=sink.first_byte_unix_s,
                ended_unix_s=now_unix_s(),
                max_gap_s=sink.max_gap_s,
                chunks=sink.chunks,
            )
        )


def _unknown_run_if_repeat(refusal: Refusal, headers: Mapping[str, str]) -> Refusal:
    """Set run to "unknown" if the request repeats an issued id that was not looked up yet.

    The refused repeat did not run, but the first request may have run. If the refusal stated "not
    run", the caller would send the request again.
    """
    if parsing.is_issued(headers.get(parsing.KEY_HEADER, "")):
        return evolve(refusal, run=RunStatus.UNKNOWN)
    return refusal


def _service_path(request: web.Request) -> str:
    """Return the raw path below the service's name, with its query.

    The request line may contain an absolute URL, and the name percent-encoded characters.
    """
    url = request.rel_url
    rest = url.raw_path.split("/", 3)[3:]
    query = f"?{url.raw_query_string}" if url.raw_query_string else ""
    return f"/{''.join(rest)}{query}"
