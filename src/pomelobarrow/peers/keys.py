"""Authenticate peers: each call carries a keyed hash over the calling VM and the called path."""

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
    """Sign with the first key and accept any listed one, which allows key rotation."""

    keys: Sequence[PeerKey]

    def metadata(self, vm: str, path: str) -> dict[str, str]:
        """Return the metadata that proves that a call comes from a peer."""
        key = self.keys[0]
        return {KEY_ID: key.id, VM: vm, MAC: _mac(key.secret, vm, path)}

    def caller_vm(self, metadata: Mapping[str, Any], path: str) -> str | None:
        """Return the calling VM's name, or None if no key authenticates the call."""
        vm, given = str(metadata.get(VM, "")), str(metadata.get(MAC, ""))
        for key in self.keys:
            if key.id == metadata.get(KEY_ID):
                expected = _mac(key.secret, vm, path)
                # A plain comparison stops at the first mismatch, so that its duration reveals how
                # many characters match. This one takes constant time.
                matches = hmac.compare_digest(expected.encode(), given.encode())
                return vm if matches else None
        return None


def _mac(secret: str, vm: str, path: str) -> str:
    return hmac.new(secret.encode(), f"{vm}\n{path}".encode(), hashlib.sha256).hexdigest()
