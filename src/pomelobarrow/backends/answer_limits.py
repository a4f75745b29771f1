"""Limits on how much is read of an answer, and the error raised beyond them.

Every read also ends at the deadline of its request or at the time limit of its poll or probe.
"""

import aiohttp

# The largest body that is buffered whole. Larger answers have to be requested as streams.
MAX_WHOLE_ANSWER_BYTES = 16 << 20
# Up to this size a body is buffered at once. It holds all but unusual answers, so that these never
# wait for each other.
UNRESERVED_ANSWER_BYTES = 64 << 10
# The memory for all larger bodies that are buffered at a time.
ANSWER_BUFFER_BYTES = 32 << 20
# Large bodies take their memory in steps of this size.
RESERVED_STEP_BYTES = 1 << 20


class AnswerTooLargeError(aiohttp.ClientPayloadError):
    """Raised if a part of an answer is larger than its limit."""

    def __init__(self, part: str, limit: str) -> None:
        super().__init__(f"{part} of the answer exceeds {limit}")
        self.part = part
