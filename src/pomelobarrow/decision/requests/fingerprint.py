"""Identify byte-identical requests, whatever their request ids, and parts of prompts."""

import functools

import xxhash

MAX_CACHED_PARTS = 4_096


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


@functools.lru_cache(MAX_CACHED_PARTS)
def part_fingerprint(pool: str, part_id: str) -> int:
    """Return a 64-bit hash of a part of prompts that a pool's servers answer."""
    return xxhash.xxh3_64_intdigest(f"part\0{pool}\0{part_id.lower()}".encode())


def format_fingerprint(number: int) -> str:
    """Return a fingerprint as it appears in logs."""
    return f"{number:016x}"
