"""What a backend server states about itself with an answer, whatever the answer's outcome."""

import re

from attrs import frozen

# More requests than any server holds connections for, and more tokens than the memory of any engine
# or the longest prompt has.
MAX_STATED_REQUESTS = 1_000_000
MAX_STATED_TOKENS = 1_000_000_000

_DECIMAL = re.compile(r"\d{1,9}(\.\d{1,9})?")


@frozen(kw_only=True)
class ServerAnnouncement:
    """The statements of a backend server about what it accepts from now on."""

    # The limit in requests per second, over all VMs, that it states; None if it states none.
    limit_per_s: float | None = None
    # The header that states the limit.
    limit_header: str = ""
    is_leaving: bool = False
    # The time for which it asks this VM to send nothing; None if it rejects without such a request.
    backoff_s: float | None = None
    # The rejections a second, over all VMs, beyond which it falls over; None if it states none.
    max_rejected_per_s: float | None = None
    # True if it rejected this request.
    is_rejected: bool = False


def parse_decimal(text: str) -> float | None:
    """Parse a decimal number without sign or exponent; return None if it is malformed."""
    return float(text) if _DECIMAL.fullmatch(text.strip()) else None
