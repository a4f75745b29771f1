"""Read one keyspace page from the platform."""

from typing import Any

import aiohttp
import orjson
from attrs import frozen
from result import Err, Ok, Result

from pomelobarrow.decision.keyspace import Change

READ_TIMEOUT_S = 5.0
# The platform answers in milliseconds; a watch that is later than this by more is silent.
WATCH_MARGIN_S = 2.0
CONNECT_TIMEOUT_S = 1.0


@frozen
class Page:
    """Hold changes up to a head revision, or a part of them."""

    changes: tuple[Change, ...]
    head_revision: int
    complete: bool


async def read_page(
    session: aiohttp.ClientSession, address: str, keyspace: str, after: int, wait_s: float
) -> Result[Page, str]:
    """Read the changes after a revision; wait for one where wait_s is positive."""
    url = f"{address}/v1/keyspaces/{keyspace}/changes"
    total_s = wait_s + WATCH_MARGIN_S if wait_s else READ_TIMEOUT_S
    timeout = aiohttp.ClientTimeout(total=total_s, sock_connect=CONNECT_TIMEOUT_S)
    params = {"after": str(after), "wait_s": str(wait_s)}
    try:
        async with session.get(url, params=params, timeout=timeout) as response:
            if response.status != 200:
                return Err(f"status {response.status}")
            return Ok(_page(orjson.loads(await response.read())))
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError, KeyError) as error:
        return Err(repr(error))


def _page(body: dict[str, Any]) -> Page:
    changes = tuple(
        Change(revision=int(each["revision"]), key=each["key"], value=each["value"])
        for each in body["changes"]
    )
    return Page(changes, int(body["head_revision"]), bool(body["complete"]))
