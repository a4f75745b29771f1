"""What the caller of a plain service gets of an answer whose server ends."""

import asyncio
from functools import partial

import pytest
from test_backends_attempts import Sink, request_for
from test_end_check import ANY_ANSWER, is_running

from pomelobarrow.backends.service import ServiceAttempt
from pomelobarrow.backends.sessions import BackendSessions
from pomelobarrow.decision.requests.attempt import Attempt
from pomelobarrow.decision.requests.work import BackendServer

BODY = b"the part that had arrived"
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n" + BODY
FAILURE = b"HTTP/1.1 503 Service Unavailable\r\n\r\n" + BODY
OTHER_CODING = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\n" + BODY
TWO_CODINGS = OTHER_CODING.replace(b"identity", b"chunked\r\nTransfer-Encoding: identity")
OF_A_LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(BODY), BODY)
IN_CHUNKS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (
    len(BODY),
    BODY,
)


@pytest.mark.parametrize(
    ("answer", "is_killed", "is_whole"),
    [
        (UNFRAMED, True, False),
        (OTHER_CODING, True, False),
        (TWO_CODINGS, True, False),
        (FAILURE, True, False),
        (UNFRAMED, False, True),
        (OF_A_LENGTH, True, True),
        (IN_CHUNKS, True, True),
    ],
)
async def test_end_of_a_killed_service_is_not_the_end_of_its_answer(
    answer: bytes, is_killed: bool, is_whole: bool
) -> None:
    """A killed process closes its connections like one that has sent its whole answer."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        await writer.drain()
        if is_killed:
            listening.close()
        writer.close()

    listening = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = listening.sockets[0].getsockname()
    server = BackendServer(
        name="s",
        region="r",
        failure_domain="d",
        address=f"{host}:{port}",
        pool="p",
        slots=1,
        kv_capacity_tokens=0,
    )
    sessions, sink = BackendSessions({}), Sink()
    result = await ServiceAttempt(
        sessions=sessions,
        request=request_for("POST", is_chat=False, repeatable=False, deadline_s=5.0),
        server=server,
        attempt=Attempt(),
        number=1,
        sink=sink,
        on_first_byte=lambda: None,
        is_running=partial(is_running, sessions, probe=ANY_ANSWER),
    ).run()
    await sessions.close()
    listening.close()
    assert (sink.body, sink.is_whole, result.is_finished) == (BODY, is_whole, is_whole)
