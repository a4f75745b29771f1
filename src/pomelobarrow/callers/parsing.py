"""Validate a caller's request and convert it to work."""

import hashlib
import math
from collections.abc import Collection, Mapping
from typing import Any

import orjson
from attrs import frozen
from result import Err, Ok, Result

from pomelobarrow.decision.common.errors import ErrorKind, Refusal, RunStatus
from pomelobarrow.decision.prompts.token_estimates import estimate_prompt_tokens, prefix_hashes
from pomelobarrow.decision.published.configuration import (
    Account,
    Configuration,
    PoolKind,
    Rank,
    WorkClass,
)
from pomelobarrow.decision.requests.request_ids import parse_issuer
from pomelobarrow.decision.requests.work import Work
from pomelobarrow.dispatch.refusals import refuse

CLASS_HEADER = "Pomelobarrow-Class"
DEADLINE_HEADER = "Pomelobarrow-Deadline"
HOME_REGION_HEADER = "Pomelobarrow-Home-Region"
KEY_HEADER = "Idempotency-Key"
BEARER = "Bearer "
# The default deadline of a request is this many times its class's finish target.
DEFAULT_DEADLINE_FACTOR = 4.0
MAX_DEADLINE_AHEAD_S = 7 * 86_400.0
DEFAULT_OUTPUT_TOKENS = 256
# Each message takes a few microseconds on the only thread. Without a limit, a body of the maximum
# size could block all other callers' streams for most of a second.
MAX_MESSAGES = 4096


@frozen(kw_only=True)
class ChatBody:
    """Fields of a chat request's body that the gateway uses."""

    model: str
    is_streamed: bool
    max_tokens: int | None
    prompt_tokens: int
    prefix_hashes: tuple[int, ...]


def _refusal(kind: ErrorKind, detail: str, remedy: str) -> Err[Refusal]:
    return Err(refuse(kind, RunStatus.NO, detail, remedy=remedy))


def find_account(
    headers: Mapping[str, str], configuration: Configuration
) -> Result[Account, Refusal]:
    """Return the account of the bearer token; only hashes are compared."""
    given = headers.get("Authorization", "")
    digest = hashlib.sha256(given.removeprefix(BEARER).encode("utf-8", "replace")).hexdigest()
    account = configuration.account_by_token_sha256.get(digest)
    if account is None or not given.startswith(BEARER):
        return _refusal(
            ErrorKind.UNKNOWN_ACCOUNT,
            "the bearer token belongs to no account",
            "send Authorization: Bearer with a token of a published account",
        )
    return Ok(account)


def find_class(name: str | None, configuration: Configuration) -> Result[WorkClass, Refusal]:
    """Return the class of work with the requested name."""
    work_class = configuration.classes.get(name or "")
    if work_class is None:
        known = ", ".join(sorted(configuration.classes))
        return _refusal(
            ErrorKind.UNKNOWN_CLASS, f"unknown class {(name or '')[:64]!r}", f"use one of: {known}"
        )
    return Ok(work_class)


def read_deadline(
    given: str | None, work_class: WorkClass, now_unix_s: float
) -> Result[float, Refusal]:
    """Return the deadline from the header, or the default of the class."""
    if given is None:
        return Ok(now_unix_s + work_class.finish_target_s * DEFAULT_DEADLINE_FACTOR)
    try:
        deadline_unix_s = float(given)
    except ValueError:
        deadline_unix_s = math.nan
    if not now_unix_s < deadline_unix_s <= now_unix_s + MAX_DEADLINE_AHEAD_S:
        return _refusal(
            ErrorKind.BAD_DEADLINE,
            f"{DEADLINE_HEADER}: {given[:64]!r}",
            "give Unix seconds in the future, at most seven days ahead",
        )
    return Ok(deadline_unix_s)


def read_home_region(
    given: str | None,
    account: Account,
    work_class: WorkClass,
    regions: Collection[str],
    own_region: str,
) -> Result[str, Refusal]:
    """Return the home region of a request."""
    if given is not None and given not in regions:
        return _refusal(
            ErrorKind.BAD_HOME_REGION,
            f"{HOME_REGION_HEADER}: {given[:64]!r}",
            "name a region of this fleet",
        )
    if not work_class.home_bound:
        return Ok(given or account.home_region or own_region)
    if given and account.home_region and given != account.home_region:
        return _refusal(
            ErrorKind.BAD_HOME_REGION,
            f"{HOME_REGION_HEADER} is {given!r}, the account's home is {account.home_region!r}",
            "omit the header or use an account of that region",
        )
    home = given or account.home_region
    if home is None:
        return _refusal(
            ErrorKind.BAD_HOME_REGION,
            f"class {work_class.name!r} is home-bound and no home region is known",
            f"send {HOME_REGION_HEADER} or have the account's home_region published",
        )
    return Ok(home)


def is_issued(key: str) -> bool:
    """Return whether a key has the form of an id that entry VMs issue."""
    return isinstance(parse_issuer(key), Ok)


def read_chat_body(body: bytes) -> Result[ChatBody, Refusal]:
    """Validate the body of a chat request; refusals never quote it."""
    try:
        parsed = orjson.loads(body)
    except ValueError:
        return _refusal(
            ErrorKind.MALFORMED_BODY, "the body is not JSON", "send one JSON object as UTF-8"
        )
    fault = _shape_fault(parsed)
    if fault:
        return _refusal(ErrorKind.MALFORMED_BODY, fault, "send a chat completion request")
    messages = parsed["messages"]
    size_bytes = sum(len(each["content"].encode()) for each in messages)
    return Ok(
        ChatBody(
            model=parsed["model"],
            is_streamed=parsed.get("stream", False),
            max_tokens=parsed.get("max_tokens"),
            prompt_tokens=estimate_prompt_tokens(size_bytes),
            prefix_hashes=prefix_hashes(messages),
        )
    )


def _shape_fault(parsed: Any) -> str:
    if not isinstance(parsed, dict):
        return "the body is not an object"
    checks = (
        (isinstance(parsed.get("model"), str), "model: not a string"),
        (isinstance(parsed.get("messages"), list), "messages: not a list"),
        (isinstance(parsed.get("stream", False), bool), "stream: not true or false"),
        (_is_count(parsed.get("max_tokens")), "max_tokens: not a positive whole number"),
    )
    faults = [text for holds, text in checks if not holds]
    return faults[0] if faults else _message_fault(parsed["messages"])


def _message_fault(messages: list[Any]) -> str:
    if not messages:
        return "messages: empty"
    if len(messages) > MAX_MESSAGES:
        return f"messages: more than {MAX_MESSAGES}"
    for index, message in enumerate(messages):
        fields = message if isinstance(message, dict) else {}
        if not all(isinstance(fields.get(name), str) for name in ("role", "content")):
            return f"messages[{index}]: role and content must be strings"
    return ""


def _is_count(value: Any) -> bool:
    return value is None or (isinstance(value, int) and not isinstance(value, bool) and value > 0)


def check_model(
    name: str, work_class: WorkClass, configuration: Configuration
) -> Result[str, Refusal]:
    """Return the name of the model if the class's pool serves it."""
    model = configuration.models.get(name)
    if model is None or model.pool != work_class.pool:
        served = sorted(m.name for m in configuration.models.values() if m.pool == work_class.pool)
        return _refusal(
            ErrorKind.UNKNOWN_MODEL,
            f"model {name[:64]!r} is not served for class {work_class.name!r}",
            f"use one of: {', '.join(served)}",
        )
    return Ok(name)


def check_service(
    name: str, work_class: WorkClass, configuration: Configuration
) -> Result[str, Refusal]:
    """Return the name of the service if the class's pool offers it."""
    pool = configuration.pools.get(work_class.pool)
    if pool is None or pool.kind is not PoolKind.SERVICE or pool.service != name:
        return _refusal(
            ErrorKind.UNKNOWN_SERVICE,
            f"service {name[:64]!r} is not offered to class {work_class.name!r}",
            "use the class that is published for this service",
        )
    return Ok(name)


def build_work(
    *,
    request_id: str,
    account: Account,
    work_class: WorkClass,
    home_region: str,
    deadline_unix_s: float,
    now_unix_s: float,
    expected_output_tokens: int,
    chat: ChatBody | None = None,
) -> Work:
    """Return the work for a validated request."""
    output_tokens = expected_output_tokens
    if chat is not None and chat.max_tokens is not None:
        output_tokens = min(output_tokens, chat.max_tokens)
    return Work(
        request_id=request_id,
        class_name=work_class.name,
        account=account.name,
        rank=Rank.TRIAL if Rank.TRIAL in (account.rank, work_class.rank) else Rank.PAYING,
        pool=work_class.pool,
        model=chat.model if chat is not None else None,
        home_region=home_region,
        home_bound=work_class.home_bound,
        repeatable=work_class.repeatable,
        prompt_tokens=chat.prompt_tokens if chat is not None else 0,
        expected_output_tokens=output_tokens if chat is not None else 1,
        prefix_hashes=chat.prefix_hashes if chat is not None else (),
        accepted_unix_s=now_unix_s,
        first_token_due_unix_s=now_unix_s + work_class.first_token_target_s,
        deadline_unix_s=deadline_unix_s,
    )
