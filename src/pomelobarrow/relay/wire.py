"""Interface between the relay and the wire format, implemented by the platform adapter."""

from collections.abc import Callable, Mapping, Sequence

from attrs import frozen
from result import Result

from pomelobarrow.backends.end_check import Probe, answer_by_name
from pomelobarrow.backends.single_use import ResponseHead
from pomelobarrow.decision.requests.work import BackendServer
from pomelobarrow.relay.messages import (
    Headers,
    RelayRequest,
    RequestHead,
    ServerAnswerHead,
)

RELAY_PROBE_PATH = "/"


@frozen(kw_only=True)
class DirectoryQuery:
    """Represent a client's query to the directory."""

    host: str
    region: str
    failure_domain: str


@frozen(kw_only=True)
class ServerCallOptions:
    """Carry the parameters of one call to a backend server."""

    # The name of the backend server; any other server at its address refuses the request unrun.
    server: str
    deadline_unix_s: float
    # The id of the event after which a stream that broke off is to resume.
    resume_after: str = ""
    # The address of a server that may have the prompt's shared part cached; empty for none.
    copy_from: str = ""


@frozen(kw_only=True)
class RelayWire:
    """Bundle the functions that translate between the wire format and the types of the relay."""

    readiness_path: str
    directory_path: str
    read_request: Callable[[Mapping[str, str]], Result[RequestHead, str]]
    # Returns the headers of a request to a backend server.
    server_headers: Callable[[RelayRequest, ServerCallOptions], Headers]
    # Returns the headers of a request to a peer, with the remaining time and the id of the event
    # after which a stream that broke off is to resume.
    peer_headers: Callable[[RelayRequest, str], Headers]
    # Headers of a request that every backend server rejects unrun, and that needs no free slot.
    probe_headers: Headers
    # Returns the headers of a request that any other server than the named one rejects as
    # misdirected, and the named one as incomplete.
    naming_headers: Callable[[str], Headers]
    # What a server is asked for its start time, and the reader of the answer's fields.
    statement_path: str
    read_born_unix_ms: Callable[[Mapping[str, object]], int | None]
    read_answer: Callable[[ResponseHead], ServerAnswerHead]
    read_directory_query: Callable[[Mapping[str, str]], DirectoryQuery]
    # Takes the addresses and the seconds for which they are valid.
    directory_answer: Callable[[Sequence[str], float], bytes]


def naming_probe(wire: RelayWire) -> Callable[[BackendServer], Probe]:
    """Return a function that makes requests which only the server that they name accepts."""
    read_answer = answer_by_name(wire.read_born_unix_ms)

    def probe(server: BackendServer) -> Probe:
        # Servers without a start time never start again under their name.
        path = wire.statement_path if server.born_unix_ms else RELAY_PROBE_PATH
        headers = dict(wire.naming_headers(server.name))
        return Probe(path=path, headers=headers, read_answer=read_answer)

    return probe
