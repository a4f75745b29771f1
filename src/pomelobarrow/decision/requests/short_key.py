"""Four-byte keys that stand for long texts in updates between VMs."""

import xxhash

from pomelobarrow.decision.requests.work import BackendServer


def short_key(text: str) -> int:
    """Return a 32-bit hash of a text; collisions among a few hundred texts are very unlikely."""
    return xxhash.xxh32_intdigest(text.encode())


def server_key(server: BackendServer) -> int:
    """Return the key of a server's incarnation."""
    return short_key(server.incarnation)
