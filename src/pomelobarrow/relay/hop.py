"""Headers exchanged between VMs when one forwards a request to a peer."""

from collections.abc import Callable, Mapping

from attrs import evolve

from pomelobarrow.backends.single_use import ResponseHead
from pomelobarrow.decision.common.bounded import parse_count
from pomelobarrow.decision.common.errors import ErrorKind, Refusal, RunStatus
from pomelobarrow.decision.members.member import Member
from pomelobarrow.decision.published.routing import Routing
from pomelobarrow.decision.requests.short_key import server_key
from pomelobarrow.decision.requests.work import BackendServer
from pomelobarrow.decision.streams.software_history import software_key
from pomelobarrow.relay.attempt import Target
from pomelobarrow.relay.messages import Headers, RelayRequest, ServerAnswerHead
from pomelobarrow.relay.wire import RelayWire

FROM_HEADER = "Pomelobarrow-Peer-From"
# The hash of the account's key, with which the peer decides for itself whether the request may run.
KEY_HEADER = "Pomelobarrow-Peer-Account-Key"
RUN_HEADER = "Pomelobarrow-Peer-Run"
# Sent instead of "no" by a peer that sent the request to no server. If such a refusal counted as an
# attempt, a peer without a free server would use up the route's attempts while other regions have
# free servers.
UNSENT = "unsent"
# Sent by a peer that refuses a request because servers crashed while they ran such requests.
BLOCKED = "blocked"
# Names the server that crashed while it ran the request. The forwarding VM gets this before any
# crash update arrives, and tries no other region.
ENDED_HEADER = "Pomelobarrow-Peer-Server-Ended"
# Names the server that stated with the answer that it leaves. The VM that passes the answer on to
# the client must stop sending to that server as well, whether or not it still receives updates.
LEAVING_HEADER = "Pomelobarrow-Peer-Server-Leaving"
# The software that began the stream, of which alone a server may go on with it.
STREAM_SOFTWARE_HEADER = "Pomelobarrow-Peer-Stream-Software"
# The version of the routes under which the forwarding VM admitted the request. A peer with an older
# one would run it as these no longer allow.
ROUTING_VERSION_HEADER = "Pomelobarrow-Peer-Routing-Version"
# The software of the server that answers a peer's request.
SERVER_SOFTWARE_HEADER = "Pomelobarrow-Peer-Server-Software"
# Sent with a refusal by a peer that reaches no server of the request's pool, so that the refusal
# doesn't count for the other VMs of its region.
UNREACHABLE_HEADER = "Pomelobarrow-Peer-Pool-Unreachable"
# Allows for two round trips between the farthest regions and one lost packet.
CONNECT_TIMEOUT_S = 0.6
KEY_MASK = 0xFFFFFFFF
MAX_ROUTING_VERSION = 2**63

AnswerReader = Callable[[ResponseHead], ServerAnswerHead]

# A peer sends a request to one server only. If it retried by itself, the forwarding VM could not
# count the servers that got the request and would exceed the route's limit on attempts.
ATTEMPTS_OF_PEER = 1


def read_forwarder(headers: Mapping[str, str]) -> str:
    """Return the VM that forwarded a request; empty if none did."""
    return headers.get(FROM_HEADER, "")


def read_key_sha256(headers: Mapping[str, str]) -> str:
    """Return the hash of the account's key of a forwarded request; empty if there is none."""
    return headers.get(KEY_HEADER, "")


def read_software_key(headers: Mapping[str, str]) -> int | None:
    """Return the software that began a forwarded stream; None if the peer doesn't state it."""
    text = headers.get(STREAM_SOFTWARE_HEADER)
    return _read_key(text) if text else None


def states_other_routes(headers: Mapping[str, str], routing: Routing) -> bool:
    """Return whether a request was forwarded under other routes than these."""
    return headers.get(ROUTING_VERSION_HEADER) != routing.version_text


def read_routing_version(headers: Mapping[str, str]) -> int:
    """Return the version of the routes of a forwarded request; 0 if the peer doesn't state it."""
    return parse_count(headers.get(ROUTING_VERSION_HEADER, ""), MAX_ROUTING_VERSION) or 0


def refusal_headers(
    refusal: Refusal,
    was_sent: bool,
    ended_server_key: int | None = None,
    is_pool_unreachable: bool = False,
) -> Headers:
    """Return the headers that tell a peer whether its request ran and what prevented it."""
    run = refusal.run.value
    if refusal.run is RunStatus.NO and not was_sent:
        run = BLOCKED if refusal.kind is ErrorKind.CRASHES_SERVERS else UNSENT
    ended = () if ended_server_key is None else ((ENDED_HEADER, f"{ended_server_key:x}"),)
    unreachable = ((UNREACHABLE_HEADER, "1"),) if is_pool_unreachable else ()
    return ((RUN_HEADER, run), *ended, *unreachable)


def describing_server(read_answer: AnswerReader, server: BackendServer) -> AnswerReader:
    """Return a reader that states a server's software to the peer which gets the answer.

    It also names the server if that leaves.
    """

    def read(response: ResponseHead) -> ServerAnswerHead:
        head = read_answer(response)
        if head.is_other_server:
            return head
        stated: Headers = ((SERVER_SOFTWARE_HEADER, f"{software_key(server):x}"),)
        if head.announced.is_leaving:
            stated += ((LEAVING_HEADER, f"{server_key(server):x}"),)
        return evolve(head, headers=head.headers + stated)

    return read


def peer_target(
    member: Member,
    hop_port: int,
    own_vm: str,
    request: RelayRequest,
    resume_after: str,
    software: int | None,
    wire: RelayWire,
) -> Target:
    """Return the target that sends a request to a peer, with the software that it may run on."""

    def headers() -> Headers:
        hop_headers: Headers = (
            (FROM_HEADER, own_vm),
            (ROUTING_VERSION_HEADER, request.routing_version),
        )
        if request.head.key_sha256:
            hop_headers += ((KEY_HEADER, request.head.key_sha256),)
        if software is not None:
            hop_headers += ((STREAM_SOFTWARE_HEADER, f"{software & KEY_MASK:x}"),)
        return wire.peer_headers(request, resume_after) + hop_headers

    return Target(
        name=member.vm,
        address=f"{member.host}:{hop_port}",
        headers=headers,
        read_answer=_peer_answer_reader(wire.read_answer),
        connect_timeout_s=CONNECT_TIMEOUT_S,
    )


def _peer_answer_reader(read_answer: AnswerReader) -> AnswerReader:
    def read(response: ResponseHead) -> ServerAnswerHead:
        headers = response.headers
        leaving = headers.get(LEAVING_HEADER)
        leaving_key = _read_key(leaving) if leaving else None
        software = _read_key(headers.get(SERVER_SOFTWARE_HEADER, ""))
        run = headers.get(RUN_HEADER)
        if run is None:
            return evolve(
                read_answer(response),
                is_not_run=False,
                leaving_server_key=leaving_key,
                software_key=software,
            )
        is_unsent, is_blocked = run == UNSENT, run == BLOCKED
        is_not_run = is_unsent or is_blocked or run == RunStatus.NO.value
        return evolve(
            read_answer(response),
            is_not_run=is_not_run,
            is_unsent=is_unsent,
            is_blocked=is_blocked,
            is_pool_unreachable=headers.get(UNREACHABLE_HEADER) == "1",
            ended_server_key=_read_key(headers.get(ENDED_HEADER, "")),
            lost_detail="" if is_not_run else f"the peer answered {response.status}",
            leaving_server_key=leaving_key,
            software_key=software,
        )

    return read


def _read_key(text: str) -> int | None:
    try:
        return int(text, 16) & KEY_MASK
    except ValueError:
        return None
