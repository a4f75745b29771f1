"""Prove that the peers' interface accepts calls only from peers."""

import time
from typing import Any

import pytest
from callers import call_service
from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from proof_report import Figure

from harness.fleet import HOST, PEER_KEY, Fleet
from pomelobarrow.kernel.settings import PeerKey
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.keys import PeerKeys
from pomelobarrow.peers.peers_grpc import PeerStub
from pomelobarrow.peers.server import SERVICE_PATH

STRANGER_KEY = PeerKey(id="k1", secret="a-secret-that-was-guessed")
REQUESTS: dict[str, Any] = {
    "Forward": pb.ForwardRequest(
        request_id="stranger-1",
        forwarded_by="milan-2",
        deadline_unix_s=time.time() + 600.0,
        class_name="webhook-ping",
        account="paying-milan",
        home_region="milan",
        method="POST",
        path="/stranger",
        headers=[pb.Header(name="X-Marker", value="stranger")],
    ),
    "Resume": pb.ResumeRequest(
        request=pb.ForwardRequest(
            request_id="stranger-1",
            forwarded_by="milan-2",
            deadline_unix_s=time.time() + 600.0,
            class_name="draft",
            account="paying-milan",
            home_region="milan",
        ),
        server="drafting-milan-1",
    ),
    "Cancel": pb.CancelRequest(request_id="stranger-1", forwarded_by="milan-2"),
    "HandOver": pb.HandOverRequest(vm="milan-2", incarnation=1, secret=b"s" * 32),
    "Exchange": pb.PeerMessage(
        leave=pb.Leave(vm="milan-2", incarnation=2**63, successor="stranger")
    ),
}


def metadata_of_strangers(method: str) -> dict[str, dict[str, str]]:
    """Return the metadata that callers without the key could send."""
    fleet_keys = PeerKeys([PeerKey(**PEER_KEY)])
    other = next(each for each in REQUESTS if each != method)
    return {
        "nothing": {},
        "guessed key": PeerKeys([STRANGER_KEY]).metadata("milan-2", SERVICE_PATH + method),
        "another method's": fleet_keys.metadata("milan-2", SERVICE_PATH + other),
    }


async def call_as(fleet: Fleet, method: str, metadata: dict[str, str]) -> Status:
    """Call a peer's method and return the resulting status."""
    channel = Channel(HOST, fleet.entries["milan-1"].peer_port)
    try:
        async with getattr(PeerStub(channel), method).open(metadata=metadata) as stream:
            await stream.send_message(REQUESTS[method], end=True)
            await stream.recv_message()
    except GRPCError as error:
        return error.status
    finally:
        channel.close()
    return Status.OK


@pytest.mark.proof
async def test_only_peers_are_let_in(rondinella: Fleet, figure: Figure) -> None:
    # An intruder on the network calls every peer method: without a key, with a guessed key, and
    # with the metadata that a peer sent for another method. If accepted, it could run requests
    # without limits, cancel others' requests, or make a VM leave the fleet.
    fleet, statuses = rondinella, []
    for method in REQUESTS:
        for metadata in metadata_of_strangers(method).values():
            statuses.append(await call_as(fleet, method, metadata))
    reply = await call_service(
        fleet, fleet.direct("milan-1"), "paying-milan", "webhook-ping", "/services/webhooks/x"
    )
    peers = (await fleet.status("milan-1"))["peers"]
    markers = {run["marker"] for run in await fleet.runs()}
    logs = "".join(fleet.processes.log(vm) for vm in fleet.entries)
    figure("calls of strangers", len(statuses))
    figure("let in", sum(status is not Status.UNAUTHENTICATED for status in statuses))
    assert set(statuses) == {Status.UNAUTHENTICATED}
    assert "stranger" not in markers
    assert reply.marker in markers
    assert peers["milan-2"]["phase"] == "ready"
    assert PEER_KEY["secret"] not in logs
    assert STRANGER_KEY.secret not in logs
