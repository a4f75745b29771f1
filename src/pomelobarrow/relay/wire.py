"""What the relay needs to know of the wire's words; the platform's adapter provides it."""

from collections.abc import Callable, Mapping, Sequence

from aiohttp import ClientResponse
from attrs import frozen
from result import Result

from pomelobarrow.relay.messages import (
    Headers,
    RelayRequest,
    RequestHead,
    ServerAnswerHead,
)


@frozen(kw_only=True)
class DirectoryQuery:
    """Hold what a client asks the directory."""

    host: str
    region: str
    failure_domain: str


@frozen(kw_only=True)
class ServerCallOptions:
    """Say for whom a request is meant and how it is to run."""

    # The backend server's name: any other at its address refuses the request unrun.
    server: str
    deadline_unix_s: float
    # Continue after this event of a stream that broke off.
    resume_after: str = ""


@frozen(kw_only=True)
class RelayWire:
    """Hold the functions that translate between the wire and the relay's types."""

    readiness_path: str
    directory_path: str
    read_request: Callable[[Mapping[str, str]], Result[RequestHead, str]]
    # The headers of a request on its way to a backend server.
    server_headers: Callable[[RelayRequest, ServerCallOptions], Headers]
    # The headers of a request on its way to a peer: with the time that is left, and to go on after
    # an event of a stream that broke off.
    peer_headers: Callable[[RelayRequest, str], Headers]
    read_answer: Callable[[ClientResponse], ServerAnswerHead]
    read_directory_query: Callable[[Mapping[str, str]], DirectoryQuery]
    # Addresses, and the seconds for which they are good.
    directory_answer: Callable[[Sequence[str], float], bytes]
    # The id of an event of a stream, empty where it has none.
    event_id: Callable[[bytes], str]
