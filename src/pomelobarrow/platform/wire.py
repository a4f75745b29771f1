"""Translate the headers of requests and answers, and the clients' readiness and directory calls."""

import functools
import math
from collections.abc import Mapping, Sequence

import orjson
from multidict import MultiMapping
from result import Err, Ok, Result

from pomelobarrow.backends.single_use import ResponseHead
from pomelobarrow.decision.common.bounded import count_or_none, parse_count
from pomelobarrow.decision.published.accounts import key_sha256
from pomelobarrow.decision.published.announcements import (
    MAX_STATED_REQUESTS,
    ServerAnnouncement,
    parse_decimal,
)
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.published.vms import MAX_BORN_UNIX_MS
from pomelobarrow.relay.messages import (
    Headers,
    PromptPart,
    RelayRequest,
    RequestHead,
    ServerAnswerHead,
    ServerCounts,
)
from pomelobarrow.relay.prompts import MAX_BODY_BYTES
from pomelobarrow.relay.wire import DirectoryQuery, RelayWire, ServerCallOptions

READINESS_PATH = "/readiness"
DIRECTORY_PATH = "/resolution"
# What a backend server states of itself, without a slot for it.
SERVER_REPORT_PATH = "/report"

REQUEST_ID = "Pomelobarrow-Request-Id"
# The milliseconds for which the sender still waits.
TIME_LEFT = "Pomelobarrow-Request-Deadline"
MODEL = "Pomelobarrow-Model"
# The number of prompt tokens, then the maximum number of answer tokens.
TOKEN_COUNTS = "Pomelobarrow-Token-Count"
# The prompt's parts in order, each as hexadecimal id and token count.
PROMPT_PARTS = "Pomelobarrow-Prompt-Prefix"
LAST_EVENT_ID = "Last-Event-Id"
TARGET_SERVER = "Pomelobarrow-Target-Instance"
PRIORITY = "Pomelobarrow-Request-Priority"
# The address of another server, which sends what it has cached of the prompt.
COPY_FROM = "Kv-Fetch"
RESPONSE_SEAL = "Pomelobarrow-Response-Seal"
NOT_EXECUTED = "Pomelobarrow-Not-Executed"
# The number of running requests, of waiting requests and of slots, and how long work takes there
# now in percent of the usual time.
SERVER_LOAD = "Pomelobarrow-Server-Load"

# The requests a second that the server accepts from all machines together, and whether it leaves.
# The platform documents the names without the prefix; no observed message confirms it, so both
# forms are accepted.
SERVER_LIMITS = ("Server-Limit", "Pomelobarrow-Server-Limit")
SERVER_LEAVING = ("Server-Leaving", "Pomelobarrow-Server-Leaving")
# The rejections a second, of requests of all machines, beyond which the server falls over.
SERVER_BRITTLE = ("Server-Brittle", "Pomelobarrow-Server-Brittle")
# With a rejection: the seconds for which the server wants nothing from this machine.
RETRY_AFTER = "Retry-After"

# The client's request that got the first event of a stream that it takes up.
RESUMES = ("Resumes", "Pomelobarrow-Resumes")

# Identifies the client's account to this system; backend servers get the account's name instead.
ACCOUNT_KEY = "Pomelobarrow-Key"
ACCOUNT_NAME = "Pomelobarrow-Tenant"

# As many tokens as a body of the largest size holds, at two bytes a token; each 128 of them are
# hashed.
MAX_CLIENT_TOKENS = MAX_BODY_BYTES // 2
# Each part is looked up among those that crash servers.
MAX_PROMPT_PARTS = 256
# A week: nobody waits longer for an answer.
MAX_TIME_LEFT_MS = 604_800_000
# The characters of a malformed value that its refusal quotes.
MAX_QUOTED = 32

WRONG_SERVER_STATUS = 421
# The id of no server: whichever gets a request for it answers that it is another one.
NO_SERVER = "none"
REJECTED_STATUS = 503
MAX_PRIORITY = 9
MS_PER_S = 1_000.0
SLOWDOWN_FIELD = 3
USUAL_PERCENT = 100
# A server that states a hundredth or a hundred times of the usual time is mistaken.
MIN_SLOWDOWN_PERCENT = 1
MAX_SLOWDOWN_PERCENT = 10_000

# Headers that only the system may set. With them a client could reserve or pin a server's memory,
# or take over what another request left in it.
SYSTEM_HEADERS = frozenset(
    name.lower()
    for name in (
        TARGET_SERVER,
        PRIORITY,
        ACCOUNT_KEY,
        ACCOUNT_NAME,
        "Pomelobarrow-Expected-Version",
        "Pomelobarrow-Hold",
        "Pomelobarrow-Pin-Duration",
        "Pomelobarrow-Kv-Backup",
        "Kv-From",
        COPY_FROM,
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
# The prefix of headers that peers send to each other.
PEER_PREFIX = "pomelobarrow-peer-"

# Clients and servers send few names of headers; the limit is for those that invent them.
MAX_CACHED_NAMES = 1_024
_lower = functools.lru_cache(MAX_CACHED_NAMES)(str.lower)


def platform_wire() -> RelayWire:
    """Return the translation for the relay."""
    return RelayWire(
        readiness_path=READINESS_PATH,
        directory_path=DIRECTORY_PATH,
        read_request=read_request,
        server_headers=server_headers,
        peer_headers=peer_headers,
        probe_headers=((TARGET_SERVER, NO_SERVER),),
        naming_headers=lambda server: ((TARGET_SERVER, server),),
        statement_path=SERVER_REPORT_PATH,
        read_born_unix_ms=lambda report: count_or_none(report.get("born"), MAX_BORN_UNIX_MS),
        read_answer=read_answer,
        read_directory_query=read_directory_query,
        directory_answer=directory_answer,
    )


def read_request(headers: Mapping[str, str]) -> Result[RequestHead, str]:
    """Parse a client's headers; return a description of the fault if they are malformed."""
    request_id = headers.get(REQUEST_ID, "")
    if not request_id:
        return Err(f"{REQUEST_ID} is missing")
    keys = _values(headers, ACCOUNT_KEY)
    if len(keys) > 1:
        return Err(f"{ACCOUNT_KEY} is given {len(keys)} times")
    try:
        counts = headers.get(TOKEN_COUNTS)
        prompt_tokens, output_tokens = _token_counts(counts)
        return Ok(
            RequestHead(
                request_id=request_id,
                headers=_end_to_end_headers(headers),
                time_limit_s=_time_limit_s(headers.get(TIME_LEFT)),
                model=headers.get(MODEL),
                prompt_tokens=prompt_tokens,
                max_output_tokens=output_tokens,
                counted_tokens=None if counts is None else prompt_tokens + output_tokens,
                prompt_parts=_prompt_parts(headers.get(PROMPT_PARTS, "")),
                last_event_id=headers.get(LAST_EVENT_ID, ""),
                resumes=headers.get(_first_present(RESUMES, headers), ""),
                key_sha256=key_sha256(keys[0]) if keys and keys[0] else "",
            )
        )
    except ValueError as error:
        return Err(f"a header is malformed: {error}")


def server_headers(request: RelayRequest, options: ServerCallOptions) -> Headers:
    """Return the headers for a backend server."""
    routing_headers: Headers = (
        (TARGET_SERVER, options.server),
        (PRIORITY, str(min(MAX_PRIORITY, request.route.urgency))),
    )
    if options.copy_from:
        routing_headers += ((COPY_FROM, options.copy_from),)
    if request.account is not None:
        routing_headers += ((ACCOUNT_NAME, request.account.name),)
    return (
        _forwarded_headers(request, options.deadline_unix_s, options.resume_after) + routing_headers
    )


def peer_headers(request: RelayRequest, resume_after: str) -> Headers:
    """Return the headers for a peer."""
    return _forwarded_headers(request, request.work.deadline_unix_s, resume_after)


def read_answer(response: ResponseHead) -> ServerAnswerHead:
    """Parse the head of a backend server's answer."""
    headers = response.headers
    is_other_server = response.status == WRONG_SERVER_STATUS
    load = headers.get(SERVER_LOAD, "")
    counts = _server_counts(load) if load else None
    return ServerAnswerHead(
        status=response.status,
        headers=_end_to_end_headers(headers),
        request_id=headers.get(REQUEST_ID, ""),
        is_sealed=RESPONSE_SEAL in headers,
        is_not_run=NOT_EXECUTED in headers or is_other_server,
        is_other_server=is_other_server,
        counts=counts,
        is_load_invalid=bool(load) and counts is None,
        announced=_announcement(response.status, headers),
    )


def read_directory_query(query: Mapping[str, str]) -> DirectoryQuery:
    """Parse a client's directory query."""
    return DirectoryQuery(
        host=query.get("Name", ""),
        region=query.get("Region", ""),
        failure_domain=query.get("Zone", ""),
    )


def directory_answer(addresses: Sequence[str], ttl_s: float) -> bytes:
    """Return the body of the directory's answer."""
    return orjson.dumps({"Addresses": list(addresses), "TtlS": ttl_s})


def _token_counts(text: str | None) -> tuple[int, int]:
    prompt_text, _, output_text = (text or "0,0").partition(",")
    try:
        prompt_tokens, output_tokens = int(prompt_text), int(output_text or 0)
    except ValueError:
        raise _not_tokens(TOKEN_COUNTS, text) from None
    if 0 <= prompt_tokens <= MAX_CLIENT_TOKENS and 0 <= output_tokens <= MAX_CLIENT_TOKENS:
        return prompt_tokens, output_tokens
    raise _not_tokens(TOKEN_COUNTS, text)


def _not_tokens(header: str, text: str | None) -> ValueError:
    quoted = (text or "")[:MAX_QUOTED]
    return ValueError(f"{header}: {quoted!r} has no tokens from 0 to {MAX_CLIENT_TOKENS}")


def _time_limit_s(text: str | None) -> float | None:
    if not text:
        return None
    try:
        time_left_ms = float(text)
    except ValueError:
        time_left_ms = math.nan
    # Also false for NaN.
    if 0.0 <= time_left_ms <= MAX_TIME_LEFT_MS:
        return time_left_ms / MS_PER_S
    quoted = text[:MAX_QUOTED]
    raise ValueError(f"{TIME_LEFT}: {quoted!r} is no time from 0 to {MAX_TIME_LEFT_MS} ms")


def _values(headers: Mapping[str, str], name: str) -> list[str]:
    """Return all values of a header that may be repeated."""
    if name not in headers:
        return []
    if isinstance(headers, MultiMapping):
        return [str(value).strip() for value in headers.getall(name, ())]
    return [headers[name]]


def _forwarded_headers(request: RelayRequest, deadline_unix_s: float, resume_after: str) -> Headers:
    """Return the client's headers with the remaining time and the event to resume after."""
    replacements = [("Host", request.host), (TIME_LEFT, _time_left_ms(deadline_unix_s))]
    if resume_after:
        replacements.append((LAST_EVENT_ID, resume_after))
    names = {name.lower() for name, _ in replacements}
    kept = [each for each in request.head.headers if _lower(each[0]) not in names]
    return (*replacements, *kept)


def _end_to_end_headers(headers: Mapping[str, str]) -> Headers:
    """Return the headers that are neither hop-by-hop nor set by the system or by peers."""
    # A generator would cost a call for each header.
    kept = tuple([each for each in headers.items() if not _is_system_header(each[0])])
    options = headers.get("Connection")
    if not options:
        return kept
    named = {each.strip().lower() for each in options.split(",")}
    return tuple(each for each in kept if each[0].lower() not in named)


@functools.lru_cache(MAX_CACHED_NAMES)
def _is_system_header(name: str) -> bool:
    """Return whether a header is hop-by-hop or set by the system or by peers."""
    lower = name.lower()
    is_excluded = lower in SYSTEM_HEADERS or lower in CONNECTION_HEADERS
    return is_excluded or _is_peer_header(lower)


def _is_peer_header(lower_name: str) -> bool:
    return lower_name.startswith(PEER_PREFIX)


def _time_left_ms(deadline_unix_s: float) -> str:
    return str(max(0, int((deadline_unix_s - now_unix_s()) * MS_PER_S)))


def _announcement(status: int, headers: Mapping[str, str]) -> ServerAnnouncement:
    limit_header = _first_present(SERVER_LIMITS, headers)
    leaving_header = _first_present(SERVER_LEAVING, headers)
    is_rejected = status == REJECTED_STATUS
    return ServerAnnouncement(
        limit_per_s=parse_decimal(headers.get(limit_header, "")),
        limit_header=limit_header,
        is_leaving=headers.get(leaving_header, "").strip() == "1",
        backoff_s=parse_decimal(headers.get(RETRY_AFTER, "")) if is_rejected else None,
        max_rejected_per_s=parse_decimal(headers.get(_first_present(SERVER_BRITTLE, headers), "")),
        is_rejected=is_rejected and NOT_EXECUTED in headers,
    )


def _first_present(names: Sequence[str], headers: Mapping[str, str]) -> str:
    """Return the first of the names that a header has, empty if there is none."""
    return next((name for name in names if name in headers), "")


def _server_counts(text: str) -> ServerCounts | None:
    """Parse a server's load header; return None if it is malformed or out of range."""
    fields = text.split(",")
    running = parse_count(fields[0], MAX_STATED_REQUESTS)
    waiting = parse_count(fields[1], MAX_STATED_REQUESTS) if len(fields) > 1 else None
    if running is None or waiting is None:
        return None
    stated = fields[SLOWDOWN_FIELD : SLOWDOWN_FIELD + 1]
    slowdown = _slowdown(stated[0]) if stated else None
    return ServerCounts(
        running=running,
        waiting=waiting,
        slowdown=slowdown,
        is_slowdown_invalid=bool(stated) and slowdown is None,
    )


def _slowdown(text: str) -> float | None:
    percent = parse_count(text, MAX_SLOWDOWN_PERCENT)
    if percent is None or percent < MIN_SLOWDOWN_PERCENT:
        return None
    return percent / USUAL_PERCENT


def _prompt_parts(text: str) -> tuple[PromptPart, ...]:
    stated = text.split(",", MAX_PROMPT_PARTS + 1) if text else ()
    parts: list[PromptPart] = []
    left = MAX_CLIENT_TOKENS
    for each in stated:
        if not each:
            continue
        id_, _, tokens_text = each.partition(":")
        try:
            tokens = int(tokens_text)
        except ValueError:
            raise _not_tokens(PROMPT_PARTS, each) from None
        left -= tokens
        if tokens < 0 or left < 0:
            raise _not_tokens(PROMPT_PARTS, each)
        parts.append(PromptPart(id=id_.strip(), tokens=tokens))
    if len(parts) > MAX_PROMPT_PARTS:
        raise ValueError(f"{PROMPT_PARTS}: more than {MAX_PROMPT_PARTS} parts")
    return tuple(parts)
