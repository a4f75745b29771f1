"""Estimate a request's prompt and output tokens, and hash its prompt in prefix blocks."""

from collections.abc import Iterable, Iterator, Mapping, Sequence

import xxhash
from attrs import define, field

from pomelobarrow.decision.requests.work import Work

BYTES_PER_TOKEN = 4
BLOCK_BYTES = 512
BLOCK_TOKENS = BLOCK_BYTES // BYTES_PER_TOKEN
DEFAULT_OUTPUT_TOKENS = 256
OUTPUT_EWMA_WEIGHT = 0.05


def estimate_prompt_tokens(text_bytes: int) -> int:
    """Estimate prompt tokens as the engines do: one for every four bytes, rounded up."""
    return -(-text_bytes // BYTES_PER_TOKEN)


def prompt_text(messages: Iterable[Mapping[str, object]]) -> bytes:
    """Concatenate messages as `role\\ncontent\\n`."""
    parts = (f"{message.get('role', '')}\n{_content(message)}\n" for message in messages)
    return "".join(parts).encode()


def prefix_hashes(messages: Sequence[Mapping[str, object]]) -> tuple[int, ...]:
    """Hash each whole block of the prompt with its predecessor's hash as the seed."""
    return block_hashes(prompt_text(messages))


def block_hashes(text: bytes) -> tuple[int, ...]:
    """Hash each whole block of a text with its predecessor's hash as the seed."""
    return tuple(_chained_hashes(text))


def prefill_tokens(work: Work, cached_tokens: int) -> int:
    """Return the prompt tokens that the engine has to compute, which its server is charged with."""
    return max(0, work.prompt_tokens - cached_tokens)


@define(kw_only=True)
class OutputEstimate:
    """Moving average of the output tokens of each class, from finished answers."""

    _mean_by_class: dict[str, float] = field(factory=dict)

    def expected_tokens(self, class_name: str, max_tokens: int | None = None) -> int:
        """Return the class's mean, capped by the caller's maximum."""
        mean = round(self._mean_by_class.get(class_name, DEFAULT_OUTPUT_TOKENS))
        return mean if max_tokens is None else min(mean, max_tokens)

    def observe(self, class_name: str, output_tokens: int) -> None:
        """Add one finished answer to the class's mean."""
        mean = self._mean_by_class.get(class_name, float(output_tokens))
        self._mean_by_class[class_name] = mean + OUTPUT_EWMA_WEIGHT * (output_tokens - mean)


def _content(message: Mapping[str, object]) -> str:
    content = message.get("content")
    if isinstance(content, str):
        return content
    if isinstance(content, list):
        return "".join(str(part.get("text", "")) for part in content if isinstance(part, Mapping))
    return ""


def _chained_hashes(text: bytes) -> Iterator[int]:
    predecessor = 0
    for start in range(0, len(text) - BLOCK_BYTES + 1, BLOCK_BYTES):
        block = text[start : start + BLOCK_BYTES]
        predecessor = xxhash.xxh64_intdigest(block, seed=predecessor)
        yield predecessor
