"""Decide whether this VM's configuration is known to be recent enough to run an account's requests.

A revoked key must not run `revocation_s` after the revocation was acknowledged, also on a VM that
was cut off meanwhile. So a VM runs such requests only with a proof: a time at which the platform's
configuration held nothing newer than what is in force here. Each proof starts with a read of the
platform and counts from when that read was sent, since its answer may have waited in a socket. A
VM without a read of its own queries a peer, and counts the answer from when it sent its query.

The oldest proof of a VM that reaches a watcher of its region, in shares of `revocation_s`: 0.16 for
the watch that the watcher waits in, 0.16 for its last completed one, and 0.16 until this VM's next
query: 0.48, and a few round trips. Valid are proofs up to 0.7, or up to 1.2 s less than
`revocation_s` where that is more.
"""

import math
from collections import deque

from attrs import define, field, frozen

# Watches and queries are repeated after this share of the time in which a revocation takes effect.
REFRESH_SHARE = 0.16
# From this age on a VM looks for a better source than the last one.
STALE_SHARE = 0.55
# Reserved for a platform whose watches miss changes for a second before it ends them, for the
# drift of clocks, and for the way of a request to its server.
MARGIN_S = 1.2
MAX_MARGIN_SHARE = 0.3


@frozen
class Proof:
    """A time by this VM's clock, and the revision of the newest configuration then."""

    unix_s: float
    revision: int


@define(kw_only=True)
class ConfigProof:
    """Keep the newest proof of each recent configuration.

    A proof may name a configuration that has yet to arrive here. Until then the one in force is
    valid by its own proofs.
    """

    revocation_s: float
    # By revision, and so by time too: a later read never names an earlier revision.
    _proofs: deque[Proof] = field(factory=deque, init=False)
    # The first position of the store's era, and the time from which own reads in it count.
    _era_start: int = field(default=0, init=False)
    _settled_unix_s: float = field(default=-math.inf, init=False)
    # Proofs of earlier positions say nothing about the configuration of this VM.
    _oldest_revision: int = field(default=0, init=False)

    @property
    def max_age_s(self) -> float:
        """Return the age up to which a proof is valid."""
        return self.revocation_s - min(MARGIN_S, MAX_MARGIN_SHARE * self.revocation_s)

    @property
    def refresh_s(self) -> float:
        """Return the interval of watches and queries."""
        return REFRESH_SHARE * self.revocation_s

    @property
    def newest(self) -> Proof | None:
        """Return the newest proof, None if there is none."""
        return self._proofs[-1] if self._proofs else None

    def observe_era(self, era_start: int, settled_unix_s: float) -> None:
        """Ignore own reads of an era until it has settled.

        The platform may just have come back from an older copy, which lacks what was published
        last. A VM that starts can't tell, and holds no configuration of an earlier era.
        """
        if not self._era_start:
            self._oldest_revision = era_start
        self._era_start, self._settled_unix_s = era_start, settled_unix_s
        self._proofs = deque(proof for proof in self._proofs if not self._is_early(proof))

    def _is_early(self, proof: Proof) -> bool:
        is_of_era = 0 < self._era_start <= proof.revision
        return is_of_era and proof.unix_s < self._settled_unix_s

    def observe(self, proof: Proof) -> None:
        """Record a proof of an own read, unless a better one is known."""
        if not self._is_early(proof):
            self._record(proof)

    def observe_of_peer(self, proof: Proof) -> None:
        """Record a proof of a peer, which gives none of its own early reads."""
        if proof.revision >= self._oldest_revision:
            self._record(proof)

    def _record(self, proof: Proof) -> None:
        if any(_supersedes(known, proof) for known in self._proofs):
            return
        others = (known for known in self._proofs if not _supersedes(proof, known))
        oldest_unix_s = proof.unix_s - self.max_age_s
        kept = [known for known in others if known.unix_s >= oldest_unix_s]
        self._proofs = deque(sorted([*kept, proof], key=_by_revision))

    def age_s(self, now_unix_s: float) -> float:
        """Return the age of the newest proof, infinity if there is none."""
        return max(0.0, now_unix_s - self._proofs[-1].unix_s) if self._proofs else math.inf

    def is_stale(self, now_unix_s: float) -> bool:
        """Return whether a better source of proofs is needed soon."""
        return self.age_s(now_unix_s) > STALE_SHARE * self.revocation_s

    def confirms(self, revision_in_force: int, now_unix_s: float) -> bool:
        """Return whether the configuration in force was the newest recently enough."""
        oldest_unix_s = now_unix_s - self.max_age_s
        return any(
            proof.unix_s >= oldest_unix_s and proof.revision <= revision_in_force
            for proof in self._proofs
        )


def _supersedes(first: Proof, second: Proof) -> bool:
    """Return whether the first proof shows all that the second one shows."""
    return first.revision <= second.revision and first.unix_s >= second.unix_s


def _by_revision(proof: Proof) -> tuple[int, float]:
    return proof.revision, proof.unix_s
