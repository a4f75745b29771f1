"""The text of an issued request id: what it names, and how it is authenticated."""

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
    """Name the VM and incarnation that issued an id, and when the id expires."""

    vm: str
    incarnation: int
    expires_unix_s: float

    @property
    def key(self) -> tuple[str, int]:
        """Return the pair that names the issuing process."""
        return (self.vm, self.incarnation)


class IdFaultKind(enum.Enum):
    """Enumerate why a text isn't an issued id."""

    TOO_LONG = "too_long"
    NOT_ISSUED = "not_issued"


@frozen
class IdFault:
    """Say why a text isn't an issued id, and what to send instead."""

    kind: IdFaultKind
    detail: str
    remedy: str = "send an id from the request_ids of GET /v1/entries"


def format_id(
    secret: bytes, vm: str, incarnation: int, expires_unix_s: float, serial: int, account: str
) -> str:
    """Build an id that only the holder of the secret can make, for one account."""
    name = _to_base64(vm.encode())
    whole_unix_s = math.floor(expires_unix_s)
    head = f"{ID_VERSION}.{name}.{incarnation:x}.{whole_unix_s:x}.{serial:x}"
    return f"{head}.{_mac(secret, head, account)}"


def is_authentic(request_id: str, secret: bytes, account: str) -> bool:
    """Check, in constant time, that an id was made with this secret for this account."""
    head, _, mac = request_id.rpartition(".")
    # The texts are compared, not the decoded bytes: base64 has spare bits, and two spellings of
    # one id would each run once.
    return hmac.compare_digest(mac.encode(), _mac(secret, head, account).encode())


def parse_issuer(request_id: str) -> Result[Issuer, IdFault]:
    """Read who issued an id, without any check that it is genuine."""
    if len(request_id) > MAX_ID_CHARS:
        return Err(IdFault(IdFaultKind.TOO_LONG, f"longer than {MAX_ID_CHARS} characters"))
    parts = request_id.split(".")
    if len(parts) != ID_PARTS or parts[0] != ID_VERSION or not request_id.isascii():
        return Err(IdFault(IdFaultKind.NOT_ISSUED, "not in the form of an issued id"))
    try:
        vm = base64.b64decode(_pad(parts[1]), altchars=b"-_", validate=True).decode()
        incarnation, expires_unix_s = int(parts[2], 16), int(parts[3], 16)
    except (binascii.Error, ValueError):
        return Err(IdFault(IdFaultKind.NOT_ISSUED, "its parts can't be read"))
    if not 0 <= incarnation <= MAX_UINT64 or not 0 <= expires_unix_s <= MAX_UINT64:
        return Err(IdFault(IdFaultKind.NOT_ISSUED, "its numbers are out of range"))
    return Ok(Issuer(vm, incarnation, float(expires_unix_s)))


def _mac(secret: bytes, head: str, account: str) -> str:
    # The head holds no newline, so no other head and account give the same message.
    message = f"{head}\n{account}".encode(errors="surrogatepass")
    return _to_base64(hmac.new(secret, message, hashlib.sha256).digest()[:MAC_BYTES])


def _to_base64(raw: bytes) -> str:
    return base64.urlsafe_b64encode(raw).rstrip(b"=").decode()


def _pad(text: str) -> str:
    return text + "=" * (-len(text) % 4)
