"""Convert the messages of a request to prompt text, token counts and prefix block hashes."""

from collections.abc import Mapping
from typing import Any

import xxhash

BYTES_PER_TOKEN = 4
BLOCK_BYTES = 512
BLOCK_TOKENS = BLOCK_BYTES // BYTES_PER_TOKEN


def content_text(content: Any) -> str:
    """Return a message's text; content may be a string or a list of parts."""
    if isinstance(content, list):
        return "".join(str(part.get("text", "")) for part in content)
    return str(content or "")


def prompt_bytes(body: Mapping[str, Any]) -> bytes:
    """Concatenate role and content of all messages."""
    parts = [
        f"{message.get('role', '')}\n{content_text(message.get('content'))}\n"
        for message in body.get("messages", ())
    ]
    return "".join(parts).encode()


def count_tokens(prompt: bytes) -> int:
    """Return the number of tokens of a prompt, at least 1."""
    return max(1, len(prompt) // BYTES_PER_TOKEN)


def block_hashes(prompt: bytes) -> tuple[int, ...]:
    """Return the hash of each full block, seeded with the hash of the block before it."""
    hashes: list[int] = []
    predecessor = 0
    for start in range(0, len(prompt) - BLOCK_BYTES + 1, BLOCK_BYTES):
        block = prompt[start : start + BLOCK_BYTES]
        predecessor = xxhash.xxh64_intdigest(block, seed=predecessor)
        hashes.append(predecessor)
    return tuple(hashes)
