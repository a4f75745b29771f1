"""Count the objects that a message decodes to, before it is decoded.

An empty item takes two bytes in a message and fifty times as many once it is decoded.
"""

from google.protobuf.descriptor import Descriptor

VARINT, FIXED64, LENGTH, FIXED32 = 0, 1, 2, 5
FIXED_BYTES = {FIXED64: 8, FIXED32: 4}
MAX_VARINT_BYTES = 10


class _MalformedError(Exception):
    """Raised if bytes are no fields; the decoder reports it."""


def has_more_items(data: bytes, descriptor: Descriptor, most: int) -> bool:
    """Return whether a message holds more than so many other messages, at any depth."""
    items, parts = 0, [(0, len(data), descriptor)]
    try:
        while parts and items <= most:
            start, end, of_part = parts.pop()
            found = _nested(data, start, end, of_part, most - items)
            items += len(found)
            parts += found
    except (_MalformedError, IndexError):
        return False
    return items > most


def _nested(
    data: bytes, start: int, end: int, descriptor: Descriptor, most: int
) -> list[tuple[int, int, Descriptor]]:
    """Return where the messages directly inside one are; one more than `most` are enough."""
    found: list[tuple[int, int, Descriptor]] = []
    fields = descriptor.fields_by_number
    while start < end and len(found) <= most:
        tag, start = _varint(data, start)
        number, kind = tag >> 3, tag & 7
        if kind == VARINT:
            _, start = _varint(data, start)
        elif kind in FIXED_BYTES:
            start += FIXED_BYTES[kind]
        elif kind == LENGTH:
            size, start = _varint(data, start)
            field = fields.get(number)
            if field is not None and field.message_type is not None:
                found.append((start, min(start + size, end), field.message_type))
            start += size
        else:
            raise _MalformedError
    return found


def _varint(data: bytes, start: int) -> tuple[int, int]:
    value = 0
    for index in range(MAX_VARINT_BYTES):
        byte = data[start + index]
        value |= (byte & 0x7F) << (7 * index)
        if byte < 0x80:
            return value, start + index + 1
    raise _MalformedError
