"""Query a running daemon and print its answer."""

import asyncio
from collections.abc import Iterator, Mapping
from typing import Any

import aiohttp
import orjson
from cleo.exceptions import CleoUserError
from cleo.helpers import option
from result import Err, Ok, Result
from yarl import URL

from pomelobarrow.decision.published.checks import Fault, shorten
from pomelobarrow.operators.commands.base import EXIT_OK, OperatorCommand

HTTP_OK = 200
DEFAULT_TIMEOUT_S = 5.0
INDENT = "  "
ADDRESS_OPTION = option(
    "address", "a", "The daemon's caller address, such as 10.0.1.4:8080.", flag=False
)
TIMEOUT_OPTION = option(
    "timeout-s", None, "Seconds to wait for the answer.", flag=False, default=f"{DEFAULT_TIMEOUT_S}"
)
JSON_OPTION = option("json", None, "Print the answer as JSON on one line.", flag=True)


class DaemonQueryCommand(OperatorCommand):
    """Command that sends one GET request to a daemon and prints the answer."""

    def print_answer(self, path: str, query: Mapping[str, str]) -> int:
        """Send the request and print the answer."""
        url = _url(self.required_option("address"), path).with_query(query)
        answer = asyncio.run(_get(url, _timeout_s(self.required_option("timeout-s"))))
        if isinstance(answer, Err):
            return self.fail([answer.err_value])
        if self.option("json"):
            self.print_line(orjson.dumps(answer.ok_value).decode())
            return EXIT_OK
        for line in tree_lines(answer.ok_value):
            self.print_line(line)
        return EXIT_OK


def tree_lines(value: Any, indent: str = "") -> Iterator[str]:
    """Format decoded JSON as indented lines."""
    pairs = value.items() if isinstance(value, dict) else (("-", each) for each in _as_list(value))
    for key, each in pairs:
        label = f"{indent}{key}" if key == "-" else f"{indent}{key}:"
        if isinstance(each, dict | list) and each:
            yield label
            yield from tree_lines(each, indent + INDENT)
        else:
            yield f"{label} {_scalar(each)}"


def _as_list(value: Any) -> list[Any]:
    return value if isinstance(value, list) else [value]


def _scalar(value: Any) -> str:
    return value if isinstance(value, str) else orjson.dumps(value).decode()


def _url(address: str, path: str) -> URL:
    remedy = f"give --address as host:port, such as 10.0.1.4:8080, not {address!r}"
    try:
        url = URL(address if "://" in address else f"http://{address}")
    except ValueError as error:
        raise CleoUserError(remedy) from error
    if url.scheme not in ("http", "https") or not url.host or url.path not in ("", "/"):
        raise CleoUserError(remedy)
    return url.with_path(path)


def _timeout_s(text: str) -> float:
    try:
        timeout_s = float(text)
    except ValueError:
        timeout_s = 0.0
    if not 0 < timeout_s < float("inf"):
        raise CleoUserError(f"give --timeout-s as a number of seconds above 0, not {text!r}")
    return timeout_s


async def _get(url: URL, timeout_s: float) -> Result[Any, Fault]:
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(url) as response,
        ):
            return _decode(url, response.status, await response.read())
    except TimeoutError:
        seen, remedy = f"no answer within {timeout_s:g} s", "try again or give a longer --timeout-s"
    except (aiohttp.ClientError, OSError, ValueError) as error:
        seen, remedy = str(error) or type(error).__name__, "check the address and the daemon's log"
    return Err(Fault(path=str(url), seen=seen, remedy=remedy))


def _decode(url: URL, status: int, body: bytes) -> Result[Any, Fault]:
    try:
        decoded = orjson.loads(body)
    except orjson.JSONDecodeError:
        seen = f"status {status} without JSON"
        return Err(Fault(path=str(url), seen=seen, remedy="check that this is a daemon's address"))
    if status == HTTP_OK:
        return Ok(decoded)
    problem = decoded if isinstance(decoded, dict) else {}
    detail = shorten(str(problem.get("detail", "no detail")))
    remedy = str(problem.get("remedy", "see the daemon's log"))
    return Err(Fault(path=str(url), seen=f"status {status}: {detail}", remedy=remedy))
