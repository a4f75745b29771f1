"""Backend servers of accounts, and clients whose keys come and go."""

import asyncio
import itertools
import math
import time
from collections import Counter
from random import Random
from typing import Any

import aiohttp
from aiohttp import web
from attrs import define, field, frozen

from soak.fleet import APPLY_S, KEYED, LIMIT_WINDOW_S, REGIONS, REVOCATION_S, ROOT_HOST, SoakFleet
from soak.servers import REQUEST_ID, SoakServer

KEY, ACCOUNT = "Pomelobarrow-Key", "Pomelobarrow-Tenant"
LIMITED, UNLIMITED = "limited", "unlimited"
LIMIT_PER_S = 300.0
PLAIN_COST = 20.0
# By the published rule: a quarter more than the limit, and one request a region.
MAX_IN_WINDOW = (LIMIT_WINDOW_S + 1.0) * LIMIT_PER_S * 1.25 + len(REGIONS) * PLAIN_COST
REQUESTS_AT_ONCE = 3
MIN_SAMPLE = 20
# For the clocks of the checks and of the daemons, and the way to the server.
SLACK_S = 0.2
# A new key is served everywhere after this time if nothing fails.
SPREAD_S = 2.0


@frozen(kw_only=True)
class Sent:
    """One request, its key and when it was sent."""

    key: str
    account: str
    at_s: float


@define(kw_only=True, slots=False)
class KeyedServers:
    """One server per region, and accounts of which one changes its key again and again."""

    fleet: SoakFleet
    random: Random
    sent: dict[str, Sent] = field(factory=dict)
    statuses: list[tuple[str, int | None]] = field(factory=list)
    # Request id, account's name and arrival time of each run, and ids that came with a key.
    runs: list[tuple[str, str, float]] = field(factory=list)
    leaked: list[str] = field(factory=list)
    published_s: dict[str, float] = field(factory=dict)
    revoked_s: dict[str, float] = field(factory=dict)
    _serial: "itertools.count[int]" = field(factory=itertools.count)
    _runners: list[web.ServerRunner] = field(factory=list)

    async def start(self) -> None:
        """Start the servers and publish the accounts."""
        for region in REGIONS:
            await self._start_one(region)
        self._replace_key()

    async def stop(self) -> None:
        """Stop the servers."""
        await asyncio.gather(*(runner.cleanup() for runner in self._runners))

    async def wait_until_served(self) -> None:
        """Wait until a request with a key in force has been served."""
        async with asyncio.timeout(LIMIT_WINDOW_S):
            while not any(status == 200 for _, status in self.statuses):
                await asyncio.sleep(0.05)

    async def send_until(self, until_s: float) -> None:
        """Send with valid, revoked and unknown keys, and replace the valid one now and then."""
        timeout = aiohttp.ClientTimeout(total=10)
        next_change_s = time.monotonic() + SPREAD_S
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while time.monotonic() < until_s:
                if time.monotonic() >= next_change_s:
                    self._replace_key()
                    next_change_s = time.monotonic() + self.random.uniform(1.0, 8.0)
                keys = [self._choose_key() for _ in range(REQUESTS_AT_ONCE)]
                await asyncio.gather(*(self._send(session, key) for key in keys))
                await asyncio.sleep(self.random.uniform(0.01, 0.08))

    def find_violations(self) -> list[str]:
        """Return a line for each key that leaked, ran too late or was rejected, and each excess."""
        found = [f"{id_} reached a server with its key" for id_ in self.leaked]
        for id_, account, _ in self.runs:
            sent = self.sent[id_]
            if account != sent.account:
                found.append(f"{id_} of {sent.account!r} ran for {account!r}")
            late_s = sent.at_s - self.revoked_s.get(sent.key, sent.at_s)
            if late_s > REVOCATION_S + SLACK_S:
                found.append(f"{id_} ran with a key revoked {late_s:.1f} s before")
        return found + self._wrongly_rejected() + self._over_the_limit()

    def find_unserved(self, since_s: float, min_share: float) -> list[str]:
        """Return a line if too few requests with a key in force were served since a time."""
        statuses = Counter(
            status
            for id_, status in self.statuses
            if self.sent[id_].at_s >= since_s and self._was_valid(self.sent[id_])
        )
        # The servers refuse and fail a few requests in a hundred themselves.
        if statuses.total() < MIN_SAMPLE or statuses[200] >= min_share * statuses.total():
            return []
        return [f"requests with a valid key are not served after all faults: {dict(statuses)}"]

    def _was_valid(self, sent: Sent) -> bool:
        from_s = self.published_s.get(sent.key, math.inf) + SPREAD_S
        return from_s <= sent.at_s < self.revoked_s.get(sent.key, math.inf)

    def _wrongly_rejected(self) -> list[str]:
        found = []
        for id_, status in self.statuses:
            sent = self.sent[id_]
            valid_from_s = self.published_s.get(sent.key, math.inf) + APPLY_S
            is_valid = valid_from_s < sent.at_s and sent.key not in self.revoked_s
            if status == 401 and is_valid:
                found.append(f"{id_} was rejected though its key was published long before")
        return found

    def _over_the_limit(self) -> list[str]:
        times_s = sorted(at_s for _, account, at_s in self.runs if account == LIMITED)
        most = max(
            (sum(t <= at < t + LIMIT_WINDOW_S for at in times_s) for t in times_s), default=0
        )
        if most * PLAIN_COST <= MAX_IN_WINDOW:
            return []
        return [f"{most * PLAIN_COST:.0f} tokens of {LIMITED} in {LIMIT_WINDOW_S} s"]

    def _choose_key(self) -> str:
        revoked = list(self.revoked_s)[-2:] or ["unknown"]
        return self.random.choice([self._valid_key, self._valid_key, "limited-key", *revoked])

    @property
    def _valid_key(self) -> str:
        return list(self.published_s)[-1]

    def _replace_key(self) -> None:
        """Publish a new key of the account that has no limit, and revoke the one before."""
        old = list(self.published_s)[-1:]
        key = f"key-{next(self._serial)}"
        self.fleet.tenants = [
            _tenant(UNLIMITED, key),
            _tenant(LIMITED, "limited-key", RatePerS=LIMIT_PER_S, Burst=LIMIT_PER_S),
        ]
        self.fleet.publish_configuration()
        now_s = time.monotonic()
        self.published_s[key] = now_s
        self.revoked_s.update(dict.fromkeys(old, now_s))

    async def _send(self, session: aiohttp.ClientSession, key: str) -> None:
        account = LIMITED if key == "limited-key" else UNLIMITED
        daemon, id_ = self.random.choice(self.fleet.daemons), f"k{next(self._serial)}"
        self.sent[id_] = Sent(key=key, account=account, at_s=time.monotonic())
        status = await self.fleet.send(session, daemon, KEYED, id_, b"", {KEY: key})
        self.statuses.append((id_, status))

    async def _start_one(self, region: str) -> None:
        name = f"keyed-{region}"
        server = SoakServer(
            name=name, region=region, runs=self.fleet.runs, random=Random(self.random.random())
        )

        async def answer(request: web.BaseRequest) -> web.StreamResponse:
            id_ = request.headers.get(REQUEST_ID, "")
            if KEY in request.headers:
                self.leaked.append(id_)
            # Requests for another server are rejected unrun, as those that probe a pool.
            if request.headers.get("Pomelobarrow-Target-Instance") == name:
                self.runs.append((id_, request.headers.get(ACCOUNT, ""), time.monotonic()))
            return await server.answer(request)

        runner = web.ServerRunner(web.Server(answer))
        self._runners.append(runner)
        await runner.setup()
        await web.TCPSite(runner, ROOT_HOST, 0).start()
        self.fleet.list_address(name, region, f"{ROOT_HOST}:{runner.addresses[0][1]}", KEYED)


def _tenant(name: str, key: str, **more: Any) -> dict[str, Any]:
    tenant = {"Name": name, "Keys": [key], "Unit": "tokens", "PlainTokens": PLAIN_COST}
    return {**tenant, "HomeRegions": [], **more}
