"""Begin an answer without framing on the given port, and kill this process."""

import asyncio
import os
import signal
import sys

from aiohttp import web

from pomelobarrow.callers.sinks import HttpSink
from pomelobarrow.dispatch.answers import AnswerHead
from pomelobarrow.relay.answer import ClientAnswer
from pomelobarrow.relay.listeners import Listener, RelayListeners

EVENT = b"data: a part\n\n"
# More than the sockets of both ends take while nobody reads.
LARGE_BYTES = 32 << 20


async def begin_relayed(request: web.BaseRequest) -> None:
    sink = ClientAnswer(request, closes=lambda: False)
    await sink.open(200, ())
    await sink.send(EVENT)


async def end_relayed(request: web.BaseRequest) -> None:
    sink = ClientAnswer(request, closes=lambda: False)
    await sink.open(200, ())
    await sink.send(EVENT)
    ending = asyncio.create_task(sink.finish(LARGE_BYTES * b"a"))
    await asyncio.wait({ending}, timeout=0)


async def begin_own(request: web.BaseRequest) -> None:
    sink = HttpSink(request, "r1")  # type: ignore[arg-type]
    await sink.head(AnswerHead(200, (), "s1"))
    await sink.chunk(EVENT)


answer_by_name = {
    "relay": begin_relayed,
    "relay, ending": end_relayed,
    "own interface": begin_own,
}


async def serve(port: int, name: str) -> None:
    """Listen until a request comes."""

    async def handler(request: web.BaseRequest) -> web.StreamResponse:
        await answer_by_name[name](request)
        os.kill(os.getpid(), signal.SIGKILL)
        raise AssertionError

    listener = Listener(name="clients", address=f"127.0.0.1:{port}", handler=handler)
    listeners = RelayListeners((listener,))
    await listeners.start()
    print("listening", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve(int(sys.argv[1]), sys.argv[2]))
