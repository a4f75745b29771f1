"""Identify byte-identical requests, whatever their request ids."""

import xxhash


def fingerprint(caller: str, method: str, host: str, target: str, body: bytes) -> int:
    """Return a 64-bit hash of a request; `caller` is empty if it is unknown."""
    digest = xxhash.xxh3_64()
    for part in (caller, method, host, target):
        encoded = part.encode("utf-8", "surrogateescape")
        # Length prefixes keep different requests from hashing the same bytes.
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    digest.update(body)
    return digest.intdigest()


def format_fingerprint(number: int) -> str:
    """Return a fingerprint as it appears in logs."""
    return f"{number:016x}"
