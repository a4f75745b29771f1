"""What callers of the product's own interface get whose requests meet a planned stop."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from unittest.mock import Mock

import pytest
from aiohttp import web
from result import Err

from harness.processes import free_ports
from pomelobarrow.callers.bodies import read_body
from pomelobarrow.callers.client_budgets import ClientBudgets
from pomelobarrow.callers.problems import problem_response
from pomelobarrow.callers.server import CallerServer
from pomelobarrow.kernel.clock import now_unix_s

HOST = "127.0.0.1"
HEAD = b"POST /x HTTP/1.1\r\nHost: a\r\n"
Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]
PARTS = {
    "length": b"Content-Length: 12\r\n\r\ntwelve byte",
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n6\r\ntwelve\r\n",
}


async def handle(request: web.Request) -> web.StreamResponse:
    body = await read_body(request, now_unix_s() + 60.0)
    return problem_response(body.err_value) if isinstance(body, Err) else web.Response()


@asynccontextmanager
async def interface() -> AsyncIterator[tuple[Mock, CallerServer, Connection]]:
    """Run the interface, and connect to it."""
    [port] = free_ports(1)
    context = Mock(is_draining=False)
    context.get.return_value = ClientBudgets()
    context.settings.callers.listen = f"{HOST}:{port}"
    context.settings.callers.max_body_bytes = 1 << 20
    context.hooks.hook.routes.return_value = [[web.post("/x", handle)]]
    server = CallerServer(context)
    await server.start()
    reader, writer = await asyncio.open_connection(HOST, port)
    yield context, server, (reader, writer)
    writer.close()
    await server.stop()


@pytest.mark.parametrize("form", PARTS)
async def test_body_on_its_way_when_the_interface_closes_is_refused(form: str) -> None:
    """Guards against stops that drop what a caller sends and wait a minute for the rest of it."""
    async with interface() as (context, server, (reader, writer)):
        writer.write(HEAD + PARTS[form])
        await writer.drain()
        context.is_draining = True
        closing = asyncio.create_task(server.close())
        answer = await reader.read()
        writer.close()
        await closing
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"connection: close" in answer.lower()
    assert b'"draining"' in answer
    assert b'"run":"no"' in answer


async def test_requests_sent_ahead_are_all_answered_while_the_interface_drains() -> None:
    """Guards against a close after the first answer, though the next request was read whole."""
    async with interface() as (context, _, (reader, writer)):
        context.is_draining = True
        writer.write(2 * (HEAD + b"Content-Length: 2\r\n\r\nok"))
        answer = await reader.read()
    assert answer.count(b"HTTP/1.1 200") == 2
    assert answer.lower().count(b"connection: close") == 1
