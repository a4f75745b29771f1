"""Read the fields of typed events for log lines."""

from operator import attrgetter
from typing import Any

from attrs import fields

_names_by_kind: dict[type, tuple[str, ...]] = {}


def event_fields(event: Any) -> dict[str, Any]:
    """Return an event's fields by name; unlike those of `attrs.asdict`, values aren't copied."""
    kind = type(event)
    names = _names_by_kind.get(kind)
    if names is None:
        names = _names_by_kind[kind] = tuple(each.name for each in fields(kind))
    if len(names) < 2:
        return {name: getattr(event, name) for name in names}
    return dict(zip(names, attrgetter(*names)(event), strict=True))
