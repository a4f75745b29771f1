"""Frames of HTTP/2 as a client writes them that follows no flow control."""

import enum

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
MAX_FRAME_BYTES = 16_384
END_HEADERS = 0x4


class FrameType(enum.IntEnum):
    """Enumerate the types of frames that the tests send."""

    DATA = 0x0
    HEADERS = 0x1
    SETTINGS = 0x4
    PING = 0x6
    CONTINUATION = 0x9


def frame(type_: FrameType, payload: bytes = b"", stream_id: int = 0, flags: int = 0) -> bytes:
    """Return one frame."""
    length = len(payload).to_bytes(3, "big")
    return length + bytes((type_, flags)) + stream_id.to_bytes(4, "big") + payload


OPENING = PREFACE + frame(FrameType.SETTINGS)
PING = frame(FrameType.PING, bytes(8))


def header(name: str, value: str) -> bytes:
    """Return a field that enters no table; neither name nor value may be longer than 126 bytes."""
    texts = (name.encode(), value.encode())
    return b"\x00" + b"".join(bytes((len(text),)) + text for text in texts)


def call_headers(path: str) -> bytes:
    """Return the fields of a gRPC call without a key."""
    fields = {
        ":method": "POST",
        ":scheme": "http",
        ":path": path,
        ":authority": "peer",
        "te": "trailers",
        "content-type": "application/grpc",
    }
    return b"".join(header(name, value) for name, value in fields.items())
