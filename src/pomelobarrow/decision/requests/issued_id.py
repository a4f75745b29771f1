"""Format, parse and authenticate issued request ids."""

import base64
import binascii
import enum
import hashlib
import hmac
import math

from attrs import frozen
from result import Err, Ok, Result

ID_VERSION = "r1"
ID_PARTS = 6
MAX_ID_CHARS = 512
MAC_BYTES = 16
MAX_UINT64 = 2**64 - 1


@frozen
class Issuer:
    """The VM and incarnation that issued an id, and when the id expires."""

    vm: str
    incarnation: int
    expires_unix_s: float

    @property
    def key(self) -> tuple[str, int]:
        """Return the pair that identifies the issuing process."""
        return (self.vm, self.incarnation)


class IdFaultKind(enum.Enum):
    """Reasons why a text is not an issued id."""

    TOO_LONG = "too_long"
    NOT_ISSUED = "not_issued"


@frozen
class IdFault:
    """Why a text is not an issued id, and what to send instead."""

    kind: IdFaultKind
    detail: str
    remedy: str = "send an id from the request_ids of GET /v1/entries"


def format_id(
    secret: bytes, vm: str, incarnation: int, expires_unix_s: float, serial: int, account: str
) -> str:
    """Build an id for one account, authenticated with the secret."""
    name = _to_base64(vm.encode())
    whole_unix_s = math.floor(expires_unix_s)
    head = f"{ID_VERSION}.{name}.{incarnation:x}.{whole_unix_s:x}.{serial:x}"
    return f"{head}.{_mac(secret, head, account)}"


def is_authentic(request_id: str, secret: bytes, account: str) -> bool:
    """Check in constant time that an id was issued with this secret for this account."""
    head, _, mac = request_id.rpartition(".")
    # Compare the texts rather than the decoded bytes: base64 has unused bits, so one id could have
    # two spellings, each of which would run once.
    return hmac.compare_digest(mac.encode(), _mac(secret, head, account).encode())


def parse_issuer(request_id: str) -> Result[Issuer, IdFault]:
    """Parse the issuer of an id without authenticating it."""
    if len(request_id) > MAX_ID_CHARS:
        return Err(IdFault(IdFaultKind.TOO_LONG, f"longer than {MAX_ID_CHARS} characters"))
    parts = request_id.split(".")
    if len(parts) != ID_PARTS or parts[0] != ID_VERSION or not request_id.isascii():
        return Err(IdFault(IdFaultKind.NOT_ISSUED, "not in the form of an issued id"))
    try:
        vm = base64.b64decode(_pad(parts[1]), altchars=b"-_", validate=True).decode()
        incarnation, expires_unix_s = int(parts[2], 16), int(parts[3], 16)
    except (binascii.Error, ValueError):
        return Err(IdFault(IdFaultKind.NOT_ISSUED, "malformed name or number"))
    if not 0 <= incarnation <= MAX_UINT64 or not 0 <= expires_unix_s <= MAX_UINT64:
        return Err(IdFault(IdFaultKind.NOT_ISSUED, "number out of range"))
    return Ok(Issuer(vm, incarnation, float(expires_unix_s)))


def _mac(secret: bytes, head: str, account: str) -> str:
    # The head contains no newline, so each pair of head and account gives a distinct message.
    message = f"{head}\n{account}".encode(errors="surrogatepass")
    return _to_base64(hmac.new(secret, message, hashlib.sha256).digest()[:MAC_BYTES])


def _to_base64(raw: bytes) -> str:
    return base64.urlsafe_b64encode(raw).rstrip(b"=").decode()


def _pad(text: str) -> str:
    return text + "=" * (-len(text) % 4)
