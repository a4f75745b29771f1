"""Validate decoded JSON or YAML field by field and report every fault."""

import re
from collections.abc import Callable, Mapping
from enum import Enum
from typing import Any

from attrs import frozen
from result import Err, Ok, Result

MAX_SHOWN_CHARACTERS = 80
MAX_SHOWN_INT_BITS = 64
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
NAME_REMEDY = "use 1 to 63 letters, digits, '.', '_' or '-', a letter or digit first"

_TYPE_NAMES: dict[type, str] = {
    bool: "a boolean",
    int: "a whole number",
    float: "a number",
    dict: "a mapping",
    list: "a list",
    tuple: "a list",
    str: "a string",
    bytes: "bytes",
    type(None): "null",
}

# Returns the validated value, or the remedy as the error.
Reader = Callable[[Any], Result[Any, str]]


@frozen(kw_only=True)
class Fault:
    """An invalid value: its path, what was found there and how to correct it."""

    path: str
    seen: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.path}: found {self.seen}; {self.remedy}"


@frozen(kw_only=True)
class FieldSpec:
    """Specification of a field: how it is read, and whether it is required or secret."""

    reader: Reader
    required: bool = False
    secret: bool = False


def shorten(text: str) -> str:
    """Truncate a string to the length shown in a fault."""
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return text
    return text[:MAX_SHOWN_CHARACTERS] + "..."


def describe_kind(value: object) -> str:
    """Return the type of a value, and its length, without its contents."""
    type_name = _TYPE_NAMES.get(type(value), type(value).__name__)
    if isinstance(value, dict | list | tuple | str | bytes):
        return f"{type_name} of length {len(value)}"
    return type_name


def describe(value: object) -> str:
    """Return a scalar as text, or only the type and length of any other value."""
    if value is None:
        return "null"
    if isinstance(value, str):
        return shorten(repr(value[: MAX_SHOWN_CHARACTERS + 1]))
    # Converting an int of thousands of digits to text raises ValueError.
    if isinstance(value, int) and value.bit_length() > MAX_SHOWN_INT_BITS:
        return f"an integer of {value.bit_length()} bits"
    if isinstance(value, bool | int | float):
        return repr(value)
    return describe_kind(value)


def show_name(name: object) -> str:
    """Return a key or field name as text, quoted if it isn't a valid name."""
    if isinstance(name, str) and NAME_PATTERN.fullmatch(name):
        return name
    return describe(name)


def number(*, above: float | None = None, least: float | None = None, most: float) -> Reader:
    """Return a reader for a finite number between bounds."""
    low = f"above {above:g}" if above is not None else f"from {least:g}"
    remedy = f"give a number {low} to {most:g}"

    def read(value: Any) -> Result[Any, str]:
        if isinstance(value, bool) or not isinstance(value, int | float):
            return Err(remedy)
        # NaN fails every comparison, so it is rejected here too.
        if above is not None and not above < value <= most:
            return Err(remedy)
        if least is not None and not least <= value <= most:
            return Err(remedy)
        return Ok(float(value))

    return read


def integer(*, least: int, most: int) -> Reader:
    """Return a reader for a whole number between bounds."""
    remedy = f"give a whole number from {least} to {most}"

    def read(value: Any) -> Result[Any, str]:
        if isinstance(value, bool) or not isinstance(value, int):
            return Err(remedy)
        return Ok(value) if least <= value <= most else Err(remedy)

    return read


def boolean(value: Any) -> Result[Any, str]:
    """Read a boolean."""
    return Ok(value) if isinstance(value, bool) else Err("give true or false")


def choice(kind: type[Enum]) -> Reader:
    """Return a reader for the value of an enumeration member."""
    member_by_value = {member.value: member for member in kind}
    remedy = "give one of " + ", ".join(sorted(member_by_value))

    def read(value: Any) -> Result[Any, str]:
        member = member_by_value.get(value) if isinstance(value, str) else None
        return Ok(member) if member is not None else Err(remedy)

    return read


def text(pattern: re.Pattern[str], remedy: str) -> Reader:
    """Return a reader for a string that fully matches a pattern."""

    def read(value: Any) -> Result[Any, str]:
        if isinstance(value, str) and pattern.fullmatch(value):
            return Ok(value)
        return Err(remedy)

    return read


name = text(NAME_PATTERN, NAME_REMEDY)


def optional(reader: Reader) -> Reader:
    """Return a reader that accepts null as None, and else uses the given reader."""

    def read(value: Any) -> Result[Any, str]:
        return Ok(None) if value is None else reader(value)

    return read


def read_fields(
    path: str, value: object, specs: Mapping[str, FieldSpec]
) -> tuple[dict[str, Any], list[Fault]]:
    """Read a mapping by its field specifications; return the fields and all faults."""
    if not isinstance(value, Mapping):
        remedy = "give a mapping with the fields " + ", ".join(specs)
        return {}, [Fault(path=path or "(whole)", seen=describe_kind(value), remedy=remedy)]
    fields: dict[str, Any] = {}
    faults = _unknown_fields(path, value, specs)
    for field_name, spec in specs.items():
        if field_name not in value:
            faults.extend(_missing_field(path, field_name, spec))
            continue
        seen = value[field_name]
        match spec.reader(seen):
            case Ok(read):
                fields[field_name] = read
            case Err(remedy):
                shown = describe_kind(seen) if spec.secret else describe(seen)
                faults.append(Fault(path=join(path, field_name), seen=shown, remedy=remedy))
    return fields, faults


def join(path: str, field_name: object) -> str:
    """Append a field name to a path."""
    shown = show_name(field_name)
    return f"{path}.{shown}" if path else shown


def _unknown_fields(
    path: str, value: Mapping[Any, Any], specs: Mapping[str, FieldSpec]
) -> list[Fault]:
    remedy = "remove it; the fields are " + ", ".join(specs)
    # The value isn't shown: a secret under a misspelt field name would be logged.
    return [
        Fault(
            path=join(path, field_name),
            seen=f"an unknown field with {describe_kind(value[field_name])}",
            remedy=remedy,
        )
        for field_name in value
        if field_name not in specs
    ]


def _missing_field(path: str, field_name: str, spec: FieldSpec) -> list[Fault]:
    if not spec.required:
        return []
    return [Fault(path=join(path, field_name), seen="nothing", remedy="add this field")]
