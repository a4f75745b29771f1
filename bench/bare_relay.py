"""Relay chat requests to one engine without any routing, as the baseline of the overhead bench."""

import argparse

import aiohttp
from aiohttp import web

CHAT_PATH = "/v1/chat/completions"
TARGET = web.AppKey("target", str)
SESSION = web.AppKey("session", aiohttp.ClientSession)


async def relay(request: web.Request) -> web.StreamResponse:
    """Forward one request and stream its answer back."""
    body = await request.read()
    headers = {"Content-Type": "application/json"}
    url = f"http://{request.app[TARGET]}{CHAT_PATH}"
    async with request.app[SESSION].post(url, data=body, headers=headers) as answer:
        response = web.StreamResponse(status=answer.status)
        response.content_type = answer.content_type
        await response.prepare(request)
        async for chunk in answer.content.iter_any():
            await response.write(chunk)
        await response.write_eof()
        return response


async def hold_session(app: web.Application):  # type: ignore[no-untyped-def]
    """Keep one session with pooled connections open while the relay runs."""
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        app[SESSION] = session
        yield


def main() -> None:
    """Serve until stopped."""
    parser = argparse.ArgumentParser(prog="bare_relay")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--target", required=True)
    options = parser.parse_args()
    app = web.Application(client_max_size=8 << 20)
    app[TARGET] = options.target
    app.cleanup_ctx.append(hold_session)
    app.router.add_post(CHAT_PATH, relay)
    web.run_app(app, host="127.0.0.1", port=options.port, access_log=None, print=None)


if __name__ == "__main__":
    main()
