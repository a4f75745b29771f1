"""Name requests that are the same byte for byte, whatever ids they come under."""

import xxhash


def fingerprint(caller: str, method: str, host: str, target: str, body: bytes) -> int:
    """Return 64 bits that stand for a request; `caller` is empty where none is known."""
    digest = xxhash.xxh3_64()
    for part in (caller, method, host, target):
        encoded = part.encode("utf-8", "surrogateescape")
        # With the lengths, no two requests share the bytes that are hashed.
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    digest.update(body)
    return digest.intdigest()


def format_fingerprint(number: int) -> str:
    """Return a fingerprint as logs show it."""
    return f"{number:016x}"
