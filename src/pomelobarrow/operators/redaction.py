"""Redact secrets, tokens and bodies in log events."""

import functools
import re
from collections.abc import Mapping, MutableMapping
from itertools import islice
from typing import Any

REDACTED = "[redacted]"
MAX_DEPTH = 6
# Names, paths and errors may quote what others sent. The longest text of this program's own is the
# end of a traceback.
MAX_TEXT_CHARACTERS = 2_048
MAX_ITEMS = 1_024
# Field names come from the code and are few; the limit is for the keys of logged mappings.
MAX_CACHED_KEYS = 1024

_SECRET_KEY_PATTERN = re.compile(
    r"secret|token|authorization|password|api_?key|cookie|body|prompt|content|messages|payload",
    re.IGNORECASE,
)
# Counts such as prompt_tokens are not secret; numbers are kept under any of these names.
_NON_SECRET_TYPES = (int, float, bool, type(None))
# Spelled out for both cases, because IGNORECASE makes the search several times slower.
_CREDENTIALS_PATTERN = re.compile(
    rb"([Bb](?:[Ee][Aa][Rr][Ee][Rr]|[Aa][Ss][Ii][Cc])(?: |\\[tnr])+)[^\s'\"\\,)\]}]+"
)


def redact(logger: Any, method: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    """Redact an event's fields by their names; this is a structlog processor."""
    for key, value in event.items():
        # Fast path for nearly all fields; each request logs a dozen of them.
        kind = type(value)
        if kind in _NON_SECRET_TYPES:
            continue
        if kind is str and len(value) <= MAX_TEXT_CHARACTERS and not _is_secret(key):
            continue
        event[key] = _redact_field(key, value, 0)
    return event


def redact_line(line: bytes) -> bytes:
    """Redact credentials anywhere in a rendered line."""
    lower = line.lower()
    # The pattern takes several times as long, and nearly no line has credentials.
    if b"bearer" not in lower and b"basic" not in lower:
        return line
    return _CREDENTIALS_PATTERN.sub(rb"\1" + REDACTED.encode(), line)


@functools.lru_cache(MAX_CACHED_KEYS)
def _is_secret(key: str | bytes) -> bool:
    text = key if isinstance(key, str) else key.decode("latin-1")
    return _SECRET_KEY_PATTERN.search(text) is not None


def _redact_field(key: object, value: Any, depth: int) -> Any:
    if isinstance(value, _NON_SECRET_TYPES):
        return value
    if isinstance(key, str | bytes) and _is_secret(key):
        return REDACTED
    return _redact_value(value, depth)


def _redact_value(value: Any, depth: int) -> Any:
    if isinstance(value, str):
        return _clipped(value)
    if isinstance(value, _NON_SECRET_TYPES):
        return value
    if depth >= MAX_DEPTH or isinstance(value, bytes | bytearray | memoryview):
        return REDACTED
    if isinstance(value, Mapping):
        return {
            _clipped(str(key)): _redact_field(key, each, depth + 1)
            for key, each in islice(value.items(), MAX_ITEMS)
        }
    if isinstance(value, list | tuple | set | frozenset):
        return _redact_sequence(list(islice(value, MAX_ITEMS)), depth)
    return _clipped(repr(value))


def _clipped(text: str) -> str:
    return text if len(text) <= MAX_TEXT_CHARACTERS else f"{text[:MAX_TEXT_CHARACTERS]}..."


def _redact_sequence(values: list[Any], depth: int) -> list[Any]:
    # Headers are logged as pairs of name and value.
    if len(values) == 2 and isinstance(values[0], str | bytes):
        key = values[0] if isinstance(values[0], str) else values[0].decode("latin-1")
        return [_clipped(key), _redact_field(key, values[1], depth + 1)]
    return [_redact_value(each, depth + 1) for each in values]
