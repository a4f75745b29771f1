"""Send requests by the documented rules for callers and record each caller's results."""

import asyncio
import time
from collections import defaultdict
from random import Random
from typing import Any

import aiohttp
import orjson
from attrs import define, field

from bench.traffic import Arrival, ClassTraffic, DeploymentTraffic, body_of
from harness.deployments import TRIAL_ACCOUNT, token_of
from pomelobarrow.standin.load_entries import EntryBook, NoEntryError
from pomelobarrow.standin.load_results import (
    Outcome,
    classify_chat_answer,
    classify_service_answer,
    parse_object,
)

CHAT_PATH = "/v1/chat/completions"
CONNECT_TIMEOUT_S = 1.0
GRACE_S = 2.0
# Each book serves many callers; with a single one, all would use the same entry VM.
BOOKS_PER_ACCOUNT = 4
MAX_ENTRIES_TRIED = 4
# Bounds the run: a caller does not retry if it would have to wait longer.
MAX_RETRY_WAIT_S = 10.0
OTHER_ENTRY_KINDS = frozenset({"draining", "not_ready"})
UNREACHED = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError, NoEntryError)


@define(kw_only=True)
class Answer:
    """The result of one try.

    `sent_s` and `retry_at_s` count from the scenario's start, `first_token_s` and `end_s` from
    `sent_s`.
    """

    outcome: Outcome
    kind: str
    sent_s: float
    first_token_s: float | None = None
    end_s: float | None = None
    server: str = ""
    retry_at_s: float | None = None
    detail: str = ""


@define(kw_only=True)
class Record:
    """One request and its tries."""

    arrival: Arrival
    tries: list[Answer] = field(factory=list)

    @property
    def last(self) -> Answer:
        """Return the last try."""
        return self.tries[-1]


@define(kw_only=True)
class Callers:
    """The callers of one deployment."""

    traffic: DeploymentTraffic
    session: aiohttp.ClientSession
    # Addresses of the entry VMs by region.
    directory: dict[str, list[str]]
    started_s: float
    rng: Random = field(factory=lambda: Random(1))
    _books: dict[tuple[str, str, str, int], EntryBook] = field(factory=dict)
    _serial: defaultdict[str, int] = field(factory=lambda: defaultdict(int))

    def now_s(self) -> float:
        """Return the seconds since the scenario's start."""
        return time.monotonic() - self.started_s

    async def send(self, arrival: Arrival, account: str = "") -> Record:
        """Send one request; if refused, retry once at the time that the refusal states."""
        record = Record(arrival=arrival)
        due_s = arrival.at_s + self._due_after_s(arrival)
        record.tries.append(await self._try(arrival, account, due_s))
        retry_at_s = record.last.retry_at_s
        if record.last.outcome is not Outcome.REFUSED or retry_at_s is None:
            return record
        wait_s = retry_at_s - self.now_s()
        if wait_s <= MAX_RETRY_WAIT_S:
            await asyncio.sleep(max(0.0, wait_s))
            # A retry has a later deadline than the first try.
            due_s = self.now_s() + self._due_after_s(arrival)
            record.tries.append(await self._try(arrival, account, due_s))
        return record

    async def send_all(self, arrivals: list[Arrival], account: str = "") -> list[Record]:
        """Send each request at its planned time, without waiting for earlier answers."""
        tasks: list[asyncio.Task[Record]] = []
        for arrival in arrivals:
            await asyncio.sleep(max(0.0, arrival.at_s - self.now_s()))
            tasks.append(asyncio.create_task(self.send(arrival, account)))
        return list(await asyncio.gather(*tasks))

    async def _try(self, arrival: Arrival, account: str, due_s: float) -> Answer:
        sent_s = self.now_s()
        answer = Answer(outcome=Outcome.UNREACHED, kind="", sent_s=sent_s)
        for _ in range(MAX_ENTRIES_TRIED):
            answer = await self._exchange(arrival, account, due_s, sent_s)
            tries_next_entry = (
                answer.outcome is Outcome.UNREACHED or answer.kind in OTHER_ENTRY_KINDS
            )
            if not tries_next_entry or self.now_s() >= due_s:
                break
        return answer

    async def _exchange(
        self, arrival: Arrival, account: str, due_s: float, sent_s: float
    ) -> Answer:
        each = self.traffic.class_named(arrival.class_name)
        book = self._book(arrival, account)
        address = ""
        try:
            address, request_id = await book.best(needs_id=not each.repeatable)
            return await self._post(book, each, arrival, address, request_id, due_s, sent_s)
        except UNREACHED as error:
            book.drop(address)
            return Answer(
                outcome=Outcome.UNREACHED, kind="", sent_s=sent_s, detail=type(error).__name__
            )
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            book.drop(address)
            return Answer(
                outcome=Outcome.UNKNOWN,
                kind="connection",
                sent_s=sent_s,
                detail=type(error).__name__,
            )

    async def _post(
        self,
        book: EntryBook,
        each: ClassTraffic,
        arrival: Arrival,
        address: str,
        request_id: str,
        due_s: float,
        sent_s: float,
    ) -> Answer:
        body = body_of(each, arrival)
        left_s = due_s - self.now_s()
        headers = _headers(book.token, arrival, request_id, left_s)
        timeout = aiohttp.ClientTimeout(
            total=max(0.1, left_s + GRACE_S), sock_connect=CONNECT_TIMEOUT_S
        )
        url = f"http://{address}{each.service_path or CHAT_PATH}"
        async with self.session.post(
            url, data=orjson.dumps(body), headers=headers, timeout=timeout
        ) as response:
            first = await response.content.readany()
            first_token_s = self.now_s() - sent_s
            data = first + await response.read()
        if each.is_chat:
            outcome, kind = classify_chat_answer(body, response.status, response.content_type, data)
        else:
            outcome, kind = classify_service_answer(body, response.status, data)
        is_answered = outcome is Outcome.ANSWERED
        return Answer(
            outcome=outcome,
            kind=kind,
            sent_s=sent_s,
            first_token_s=first_token_s if is_answered else None,
            end_s=self.now_s() - sent_s,
            server=response.headers.get("Pomelobarrow-Backend-Server", ""),
            retry_at_s=None if is_answered else self._retry_at_s(response, data),
            detail="" if is_answered else str(parse_object(data).get("detail", ""))[:120],
        )

    def _retry_at_s(self, response: aiohttp.ClientResponse, data: bytes) -> float | None:
        announced = parse_object(data).get("retry_at_unix_s")
        if isinstance(announced, (int, float)):
            return self.now_s() + float(announced) - time.time()
        after_s = response.headers.get("Retry-After", "")
        return self.now_s() + float(after_s) if after_s.isdecimal() else None

    def _due_after_s(self, arrival: Arrival) -> float:
        each = self.traffic.class_named(arrival.class_name)
        is_trial = arrival.rank == TRIAL_ACCOUNT and each.trial_due_after_s
        return each.trial_due_after_s if is_trial else each.due_after_s

    def _book(self, arrival: Arrival, account: str) -> EntryBook:
        name = account or f"{arrival.rank}-{arrival.region}"
        self._serial[name] += 1
        key = (arrival.class_name, name, arrival.region, self._serial[name] % BOOKS_PER_ACCOUNT)
        if key not in self._books:
            self._books[key] = EntryBook(
                session=self.session,
                class_name=arrival.class_name,
                token=token_of(name),
                known_addresses=self._entry_addresses(arrival.region),
            )
        return self._books[key]

    def _entry_addresses(self, region: str) -> tuple[str, ...]:
        """Return the addresses of all entry VMs, those of the caller's region first."""
        own = list(self.directory[region])
        others = [vm for name, vms in self.directory.items() if name != region for vm in vms]
        self.rng.shuffle(own)
        self.rng.shuffle(others)
        return (*own, *others)


def _headers(token: str, arrival: Arrival, request_id: str, left_s: float) -> dict[str, Any]:
    headers = {
        "Authorization": f"Bearer {token}",
        "Content-Type": "application/json",
        "Pomelobarrow-Class": arrival.class_name,
        "Pomelobarrow-Deadline": f"{time.time() + max(0.05, left_s):.3f}",
        "X-Marker": arrival.marker,
    }
    return headers | ({"Idempotency-Key": request_id} if request_id else {})
