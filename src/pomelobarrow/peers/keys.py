"""Let only peers in: each call carries a keyed hash over who calls what."""

import hashlib
import hmac
from collections.abc import Mapping, Sequence
from typing import Any

from attrs import define

from pomelobarrow.kernel.settings import PeerKey

KEY_ID = "pomelobarrow-key-id"
VM = "pomelobarrow-vm"
MAC = "pomelobarrow-mac"


@define
class PeerKeys:
    """Sign with the first key; accept any listed one, so that keys can be replaced in turn."""

    keys: Sequence[PeerKey]

    def metadata(self, vm: str, path: str) -> dict[str, str]:
        """Return what a call carries to prove that it comes from a peer."""
        key = self.keys[0]
        return {KEY_ID: key.id, VM: vm, MAC: _mac(key.secret, vm, path)}

    def caller_vm(self, metadata: Mapping[str, Any], path: str) -> str | None:
        """Return the calling VM's name, or None for a call that no key vouches for."""
        vm, given = str(metadata.get(VM, "")), str(metadata.get(MAC, ""))
        for key in self.keys:
            if key.id == metadata.get(KEY_ID):
                expected = _mac(key.secret, vm, path)
                # A plain comparison stops at the first wrong letter and tells by its time how
                # many were right; this one always takes the same time.
                matches = hmac.compare_digest(expected.encode(), given.encode())
                return vm if matches else None
        return None


def _mac(secret: str, vm: str, path: str) -> str:
    return hmac.new(secret.encode(), f"{vm}\n{path}".encode(), hashlib.sha256).hexdigest()
