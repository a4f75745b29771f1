"""Measure what relaying a streamed token costs a daemon, at several rates."""

import asyncio
import time

import aiohttp

from bench.capacity_fleet import HOST, CapacityFleet, cpu_s

TOKENS = 300
WAY = "/v1/chat/completions"


async def token_cpu_s(fleet: CapacityFleet, streams: int) -> tuple[float, float]:
    """Return tokens a second and the daemon's processor time a second, less when idle."""
    vm = fleet.vms[0]
    pid, url = fleet.processes.running[vm].pid, f"http://{HOST}:{fleet.port_of(vm)}{WAY}"
    idle_s_per_s = await _idle(pid)
    started_s, before_s = time.monotonic(), cpu_s(pid)
    async with aiohttp.ClientSession() as session:
        tokens = await asyncio.gather(*(_stream(session, url) for _ in range(streams)))
    elapsed_s = time.monotonic() - started_s
    used_s_per_s = (cpu_s(pid) - before_s) / elapsed_s
    return sum(tokens) / elapsed_s, used_s_per_s - idle_s_per_s


async def _idle(pid: int) -> float:
    before_s = cpu_s(pid)
    await asyncio.sleep(2.0)
    return (cpu_s(pid) - before_s) / 2.0


async def _stream(session: aiohttp.ClientSession, url: str) -> int:
    headers = {"Authorization": "Bearer token-0", "Pomelobarrow-Class": "draft"}
    messages = [{"role": "user", "content": "a short prompt"}]
    body = {"model": "draft-large", "stream": True, "max_tokens": TOKENS, "messages": messages}
    async with session.post(url, json=body, headers=headers) as response:
        data = await response.read()
        if response.status != 200:
            raise RuntimeError(f"{response.status}: {data[:300]!r}")
    return data.count(b"\n\n")
