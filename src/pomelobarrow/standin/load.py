"""Send requests to entry VMs at a given rate and summarize the results."""

import asyncio
import sys
import time
from random import Random
from typing import Any

import aiohttp
import orjson
from attrs import define, field, frozen

from pomelobarrow.standin.load_entries import EntryBook, NoEntryError
from pomelobarrow.standin.load_plan import LoadPlan, WorkPlan, make_body, read_plan
from pomelobarrow.standin.load_results import (
    ClassResults,
    Outcome,
    classify_chat_answer,
    classify_service_answer,
)

CHAT_PATH = "/v1/chat/completions"
# Time after the deadline for the gateway to report that the deadline passed.
DEADLINE_GRACE_S = 5.0
CONNECT_TIMEOUT_S = 2.0
# Errors raised before the first byte of a request is sent.
CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


@frozen(kw_only=True)
class LoadOptions:
    """Command-line options of the load tool."""

    plan: str = field(metadata={"help": "JSON file with the classes' work"})
    entry: tuple[str, ...] = field(metadata={"help": "Address of an entry VM; may be repeated"})
    seconds: float = field(default=10.0, metadata={"help": "Seconds to send for"})
    seed: int = field(default=0, metadata={"help": "Seed of arrivals and prompts"})


@define(kw_only=True)
class Caller:
    """Sender of the requests of one class."""

    class_name: str
    plan: WorkPlan
    session: aiohttp.ClientSession
    book: EntryBook
    rng: Random
    results: ClassResults = field(factory=ClassResults)
    _serial: int = 0

    async def send_until(self, stop_at_s: float) -> None:
        """Send with Poisson arrivals at the planned rate, whether or not answers arrive in time."""
        loop = asyncio.get_running_loop()
        due_at_s = loop.time()
        async with asyncio.TaskGroup() as tasks:
            while (due_at_s := due_at_s + self.rng.expovariate(self.plan.rate_per_s)) < stop_at_s:
                await asyncio.sleep(due_at_s - loop.time())
                tasks.create_task(self._send(due_at_s))

    async def _send(self, due_at_s: float) -> None:
        self._serial += 1
        marker = f"{self.class_name}-{self.rng.getrandbits(32):08x}-{self._serial}"
        body = make_body(self.class_name, self.plan, marker, self.rng)
        try:
            outcome, kind = await self._exchange(body, marker, due_at_s)
        except (*CONNECT_ERRORS, NoEntryError):
            outcome, kind = Outcome.UNREACHED, ""
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            outcome, kind = Outcome.UNKNOWN, type(error).__name__
        self.results.outcomes[outcome] += 1
        if kind:
            self.results.kinds[kind] += 1

    async def _exchange(
        self, body: dict[str, Any], marker: str, due_at_s: float
    ) -> tuple[Outcome, str]:
        address, request_id = await self.book.best(needs_id=not self.plan.repeatable)
        try:
            return await self._post(address, body, self._headers(marker, request_id), due_at_s)
        except CONNECT_ERRORS:
            self.book.drop(address)
            raise

    async def _post(
        self, address: str, body: dict[str, Any], headers: dict[str, str], due_at_s: float
    ) -> tuple[Outcome, str]:
        loop = asyncio.get_running_loop()
        url = f"http://{address}{self.plan.service_path or CHAT_PATH}"
        timeout = aiohttp.ClientTimeout(
            total=self.plan.due_after_s + DEADLINE_GRACE_S, sock_connect=CONNECT_TIMEOUT_S
        )
        async with self.session.post(url, json=body, headers=headers, timeout=timeout) as response:
            first = await response.content.readany()
            first_byte_s = loop.time() - due_at_s
            answer = first + await response.read()
        if self.plan.service_path:
            outcome, kind = classify_service_answer(body, response.status, answer)
        else:
            outcome, kind = classify_chat_answer(
                body, response.status, response.content_type, answer
            )
        if outcome is Outcome.ANSWERED:
            self.results.first_byte_s.append(first_byte_s)
            self.results.end_s.append(loop.time() - due_at_s)
        return outcome, kind

    def _headers(self, marker: str, request_id: str) -> dict[str, str]:
        headers = {
            "Authorization": f"Bearer {self.plan.token}",
            "Pomelobarrow-Class": self.class_name,
            "Pomelobarrow-Deadline": f"{time.time() + self.plan.due_after_s:.3f}",
            "X-Marker": marker,
        }
        return headers | ({"Idempotency-Key": request_id} if request_id else {})


async def run_load(
    plan: LoadPlan, entries: tuple[str, ...], *, duration_s: float, seed: int
) -> dict[str, Any]:
    """Send the work of all classes for a duration and return the summary."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        callers = [
            Caller(
                class_name=name,
                plan=work,
                session=session,
                book=EntryBook(
                    session=session, class_name=name, token=work.token, known_addresses=entries
                ),
                rng=Random(f"{seed} {name}"),
            )
            for name, work in plan.classes.items()
        ]
        stop_at_s = asyncio.get_running_loop().time() + duration_s
        await asyncio.gather(*(caller.send_until(stop_at_s) for caller in callers))
    return {caller.class_name: caller.results.payload() for caller in callers}


async def main(options: LoadOptions) -> None:
    """Run the load and print its summary as one JSON line."""
    summary = await run_load(
        read_plan(options.plan), options.entry, duration_s=options.seconds, seed=options.seed
    )
    line = {"seconds": options.seconds, "seed": options.seed, "classes": summary}
    sys.stdout.write(orjson.dumps(line).decode() + "\n")
