"""Translate the headers of requests and answers, and the calls that clients make beside them."""

import re
from collections.abc import Mapping, Sequence

import orjson
from aiohttp import ClientResponse
from result import Err, Ok, Result

from pomelobarrow.decision.server_limits import parse_limit
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.relay.messages import (
    Headers,
    PromptPart,
    RelayRequest,
    RequestHead,
    ServerAnswerHead,
    ServerCounts,
)
from pomelobarrow.relay.wire import DirectoryQuery, RelayWire, ServerCallOptions

READINESS_PATH = "/readiness"
DIRECTORY_PATH = "/resolution"

REQUEST_ID = "Pomelobarrow-Request-Id"
# How many milliseconds the sender will still wait.
TIME_LEFT = "Pomelobarrow-Request-Deadline"
MODEL = "Pomelobarrow-Model"
# Tokens of the prompt, then the most tokens of the answer.
TOKEN_COUNTS = "Pomelobarrow-Token-Count"
# The prompt's parts in order, each as hexadecimal id and tokens.
PROMPT_PARTS = "Pomelobarrow-Prompt-Prefix"
LAST_EVENT_ID = "Last-Event-Id"
TARGET_SERVER = "Pomelobarrow-Target-Instance"
PRIORITY = "Pomelobarrow-Request-Priority"
SEAL = "Pomelobarrow-Response-Seal"
NOT_RUN = "Pomelobarrow-Not-Executed"
# Requests that run, requests that wait, slots.
SERVER_LOAD = "Pomelobarrow-Server-Load"

# Requests a second that the server takes from all machines together. It is written without the
# prefix where it is described, but no message that was seen shows it.
SERVER_LIMITS = ("Server-Limit", "Pomelobarrow-Server-Limit")

WRONG_SERVER_STATUS = 421
MAX_PRIORITY = 9
MS_PER_S = 1_000.0

# For the system alone to set. A client could reserve or pin memory with them, or take over what
# another request left in a server's memory.
SYSTEM_HEADERS = frozenset(
    name.lower()
    for name in (
        TARGET_SERVER,
        PRIORITY,
        "Pomelobarrow-Expected-Version",
        "Pomelobarrow-Hold",
        "Pomelobarrow-Pin-Duration",
        "Pomelobarrow-Kv-Backup",
        "Kv-From",
        "Kv-Fetch",
    )
)
CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Peers mark with these what they say to each other.
PEER_PREFIX = "pomelobarrow-peer-"

_EVENT_ID_PATTERN = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


def platform_wire() -> RelayWire:
    """Return the translation for the relay."""
    return RelayWire(
        readiness_path=READINESS_PATH,
        directory_path=DIRECTORY_PATH,
        read_request=read_request,
        server_headers=server_headers,
        peer_headers=peer_headers,
        read_answer=read_answer,
        read_directory_query=read_directory_query,
        directory_answer=directory_answer,
        event_id=event_id,
    )


def read_request(headers: Mapping[str, str]) -> Result[RequestHead, str]:
    """Read a client's headers; the error says what is wrong with them."""
    request_id = headers.get(REQUEST_ID, "")
    if not request_id:
        return Err(f"{REQUEST_ID} is missing")
    try:
        time_left_ms = headers.get(TIME_LEFT)
        prompt_tokens, _, output_tokens = headers.get(TOKEN_COUNTS, "0,0").partition(",")
        return Ok(
            RequestHead(
                request_id=request_id,
                headers=_going_on(headers),
                time_limit_s=float(time_left_ms) / MS_PER_S if time_left_ms else None,
                model=headers.get(MODEL),
                prompt_tokens=int(prompt_tokens),
                max_output_tokens=int(output_tokens or 0),
                prompt_parts=_prompt_parts(headers.get(PROMPT_PARTS, "")),
                last_event_id=headers.get(LAST_EVENT_ID, ""),
            )
        )
    except ValueError as error:
        return Err(f"a header's number can't be read: {error}")


def server_headers(request: RelayRequest, order: ServerCallOptions) -> Headers:
    """Return the headers for a backend server."""
    addressed = (
        (TARGET_SERVER, order.server),
        (PRIORITY, str(min(MAX_PRIORITY, request.route.urgency))),
    )
    return _passed_on(request, order.deadline_unix_s, order.resume_after) + addressed


def peer_headers(request: RelayRequest, resume_after: str) -> Headers:
    """Return the headers for a peer."""
    return _passed_on(request, request.work.deadline_unix_s, resume_after)


def read_answer(response: ClientResponse) -> ServerAnswerHead:
    """Read the head of a backend server's answer."""
    headers = response.headers
    limit_header = _limit_header(headers)
    return ServerAnswerHead(
        status=response.status,
        headers=_going_on(headers),
        request_id=headers.get(REQUEST_ID, ""),
        is_sealed=SEAL in headers,
        is_not_run=NOT_RUN in headers or response.status == WRONG_SERVER_STATUS,
        counts=_server_counts(headers.get(SERVER_LOAD, "")),
        limit_per_s=parse_limit(headers.get(limit_header, "")),
        limit_header=limit_header,
    )


def read_directory_query(query: Mapping[str, str]) -> DirectoryQuery:
    """Read what a client asks the directory."""
    return DirectoryQuery(
        host=query.get("Name", ""),
        region=query.get("Region", ""),
        failure_domain=query.get("Zone", ""),
    )


def directory_answer(addresses: Sequence[str], good_for_s: float) -> bytes:
    """Return the body of the directory's answer."""
    return orjson.dumps({"Addresses": list(addresses), "TtlS": good_for_s})


def event_id(event: bytes) -> str:
    """Return an event's id, empty where it has none."""
    match = _EVENT_ID_PATTERN.search(event)
    return match[1].decode("latin-1") if match else ""


def _passed_on(request: RelayRequest, deadline_unix_s: float, resume_after: str) -> Headers:
    """Return the client's headers with the time that is left and where to resume."""
    replacing = [("Host", request.host), (TIME_LEFT, _time_left_ms(deadline_unix_s))]
    if resume_after:
        replacing.append((LAST_EVENT_ID, resume_after))
    names = {name.lower() for name, _ in replacing}
    kept = tuple(each for each in request.head.headers if each[0].lower() not in names)
    return kept + tuple(replacing)


def _going_on(headers: Mapping[str, str]) -> Headers:
    """Return the headers that concern more than one connection and aren't the system's own."""
    named = {each.strip().lower() for each in headers.get("Connection", "").split(",")}
    return tuple((name, value) for name, value in headers.items() if _goes_on(name, named))


def _goes_on(name: str, named_by_connection: set[str]) -> bool:
    lower = name.lower()
    is_private = lower in SYSTEM_HEADERS or lower in CONNECTION_HEADERS
    return not is_private and lower not in named_by_connection and not _is_peers(lower)


def _is_peers(lower_name: str) -> bool:
    return lower_name.startswith(PEER_PREFIX)


def _time_left_ms(deadline_unix_s: float) -> str:
    return str(max(0, int((deadline_unix_s - now_unix_s()) * MS_PER_S)))


def _limit_header(headers: Mapping[str, str]) -> str:
    """Return the name under which a server names its limit, empty where it names none."""
    return next((name for name in SERVER_LIMITS if name in headers), "")


def _server_counts(text: str) -> ServerCounts | None:
    """Return what a server tells of its load; None for what can't be read, as servers may err."""
    fields = [field.strip() for field in text.split(",")]
    if len(fields) < 2 or not all(field.isdecimal() for field in fields[:2]):
        return None
    return ServerCounts(running=int(fields[0]), waiting=int(fields[1]))


def _prompt_parts(text: str) -> tuple[PromptPart, ...]:
    pairs = (each.partition(":") for each in text.split(",") if each)
    return tuple(PromptPart(id=id_.strip(), tokens=int(tokens)) for id_, _, tokens in pairs)
