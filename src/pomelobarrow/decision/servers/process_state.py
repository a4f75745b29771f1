"""Decide from the answer to a probe whether the process of a server still runs."""

import enum

from attrs import frozen

from pomelobarrow.decision.requests.work import BackendServer


class ProcessState(enum.Enum):
    """Enumerate what is known of a server's process."""

    RUNNING = "running"
    ENDED = "ended"
    # It has too many connections or is busy, or has ended and something else answers for it.
    UNKNOWN = "unknown"


@frozen(kw_only=True)
class ProbeAnswer:
    """What a process that answered a probe states of itself."""

    # True if it is another server than the probed one.
    is_other: bool = False
    # None if it states no start time.
    born_unix_ms: int | None = None


def process_state(server: BackendServer, answer: ProbeAnswer) -> ProcessState:
    """Return the state of the process that is listed as a server, given an answer at its address.

    A server that is listed with a start time may start again under its name.
    """
    if answer.is_other:
        return ProcessState.ENDED
    if not server.born_unix_ms:
        return ProcessState.RUNNING
    if answer.born_unix_ms is None:
        return ProcessState.UNKNOWN
    is_same = answer.born_unix_ms == server.born_unix_ms
    return ProcessState.RUNNING if is_same else ProcessState.ENDED
