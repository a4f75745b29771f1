"""Run one attempt on a plain service."""

import asyncio
from collections.abc import Callable, Mapping

import aiohttp
from attrs import define

from pomelobarrow.backends.answer_buffers import read_limited
from pomelobarrow.backends.end_check import RunningCheck, is_maybe_cut
from pomelobarrow.backends.engine import CONNECTION_ERRORS, states_not_run
from pomelobarrow.backends.sessions import (
    CONNECT_TIMEOUT_S,
    REJECTED_STATUS,
    BackendSessions,
    WithheldError,
    describe_error,
)
from pomelobarrow.backends.single_use import END_UNCONFIRMED
from pomelobarrow.decision.requests.attempt import Attempt, AttemptEvent, AttemptState
from pomelobarrow.decision.requests.work import BackendServer
from pomelobarrow.dispatch.answers import AnswerHead, AnswerSink, AttemptResult
from pomelobarrow.dispatch.request import GatewayRequest
from pomelobarrow.kernel.clock import now_unix_s

HOP_BY_HOP = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "upgrade", "te", "trailer", "host"}
)


@define(kw_only=True)
class ServiceAttempt:
    """Run one call of a plain service and track its progress."""

    sessions: BackendSessions
    request: GatewayRequest
    server: BackendServer
    attempt: Attempt
    number: int
    sink: AnswerSink
    on_first_byte: Callable[[], None]
    # Takes the status and the headers of the answer.
    on_head: Callable[[int, Mapping[str, str]], None] = lambda status, headers: None
    # Returns whether the server still takes requests, asked when the connection is open.
    may_send: Callable[[], bool] = lambda: True
    # Returns whether the process of a server runs; None if only a whole answer ends unmarked.
    is_running: RunningCheck | None = None
    head_passed: bool = False

    async def run(self) -> AttemptResult:
        """Call the service once; retries are left to the dispatcher."""
        remaining_s = max(0.0, self.request.work.deadline_unix_s - now_unix_s())
        try:
            async with asyncio.timeout(remaining_s):
                return await self._call()
        except WithheldError as error:
            return self._result(str(error))
        except CONNECTION_ERRORS as error:
            if self.attempt.state is not AttemptState.FINISHED:
                self.attempt.apply(AttemptEvent.LOSE)
            return self._result(describe_error(error))

    async def _call(self) -> AttemptResult:
        session = self.sessions.for_request(self.request.work.repeatable)
        async with session.request(
            self.request.method,
            self.sessions.url(self.server.address, self.request.path),
            data=self.request.body or None,
            headers=self._headers(),
            timeout=aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S),
            allow_redirects=False,
            trace_request_ctx=self._begin_sending,
        ) as response:
            self.on_head(response.status, response.headers)
            body = None
            if response.status == REJECTED_STATUS:
                body = await read_limited(response.content)
                if states_not_run(response.status, body):
                    self.attempt.apply(AttemptEvent.REFUSE_UNRUN)
                    return self._result("refused with 503")
            self.attempt.apply(AttemptEvent.FIRST_BYTE)
            await self._pass_on(response, body)
        self.attempt.apply(AttemptEvent.END)
        return self._result("")

    def _begin_sending(self) -> None:
        if not self.may_send():
            raise WithheldError
        self.attempt.apply(AttemptEvent.SEND)

    async def _pass_on(self, response: aiohttp.ClientResponse, body: bytes | None) -> None:
        self.head_passed = True
        self.on_first_byte()
        await self.sink.head(AnswerHead(response.status, _end_to_end(response), self.server.name))
        if body is not None:
            await self.sink.chunk(body)
        else:
            async for data in response.content.iter_any():
                await self.sink.chunk(data)
        if self.is_running and await is_maybe_cut(response, self.server, self.is_running):
            raise aiohttp.ClientPayloadError(END_UNCONFIRMED)
        await self.sink.end()

    def _headers(self) -> list[tuple[str, str]]:
        headers = [each for each in self.request.headers if each[0].lower() not in HOP_BY_HOP]
        headers.append(("X-Request-Id", self.request.work.request_id))
        headers.append(("X-Attempt", str(self.number)))
        if self.request.traceparent:
            headers.append(("traceparent", self.request.traceparent))
        return headers

    def _result(self, detail: str) -> AttemptResult:
        return AttemptResult(
            state=self.attempt.state,
            head_passed=self.head_passed,
            detail=detail,
            server=self.server.name,
        )


def _end_to_end(response: aiohttp.ClientResponse) -> tuple[tuple[str, str], ...]:
    return tuple((k, v) for k, v in response.headers.items() if k.lower() not in HOP_BY_HOP)
