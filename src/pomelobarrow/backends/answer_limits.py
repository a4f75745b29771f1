"""Limits on how much is read of an answer, and the error raised beyond them.

Every read also ends at the deadline of its request or at the time limit of its poll or probe.
"""

import aiohttp

# The bytes of a body that wait to be read before its server is held back.
READ_BUFFER_BYTES = 64 << 10
# The most that is received and parsed at once.
RECEIVE_BYTES = 64 << 10
# Header lines of one head with its trailers, and the size of each, as usual HTTP clients read them.
MAX_HEADER_LINES = 128
MAX_HEADER_LINE_BYTES = 8_190
# Servers send at most a few interim answers (1xx) before the final one.
MAX_INTERIM_ANSWERS = 16
# All bytes that bring no content: heads, interim answers, chunk sizes and extensions, trailers,
# and what follows the end. Each byte of content allows for more of them: a chunk has at least five,
# and may hold a single byte of content.
MAX_FRAMING_BYTES = 64 << 10
FRAMING_PER_CONTENT = 8
# The largest body that is buffered whole. Larger answers have to be requested as streams.
MAX_WHOLE_ANSWER_BYTES = 16 << 20
# Up to this size a body is buffered at once. It holds all but unusual answers, so that these never
# wait for each other.
UNRESERVED_ANSWER_BYTES = 64 << 10
# The memory for all larger bodies that are buffered at a time.
ANSWER_BUFFER_BYTES = 32 << 20
# Large bodies take their memory in steps of this size.
RESERVED_STEP_BYTES = 1 << 20

# What servers state of themselves or of a request: loads, and answers to orders and cancellations.
MAX_STATEMENT_BYTES = 64 << 10
# Holds the 20,000 events that a server keeps.
MAX_CACHE_EVENTS_BYTES = 2 << 20


class AnswerTooLargeError(aiohttp.ClientPayloadError):
    """Raised if a part of an answer is larger than its limit."""

    def __init__(self, part: str, limit: str) -> None:
        super().__init__(f"{part} of the answer exceeds {limit}")
        self.part = part
