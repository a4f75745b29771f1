import pytest
from hypothesis import given
from hypothesis import strategies as st

from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.message_items import has_more_items

NESTED = pb.PeerMessage(
    heartbeat=pb.Heartbeat(
        vm="a", sent_unix_s=1.5, reports=[pb.ServerReport(server_key=3)] * 4, server_keys=[1, 2]
    )
)


@pytest.mark.parametrize(("most", "has_more"), [(4, True), (5, False)])
def test_items_are_counted_at_any_depth(most: int, has_more: bool) -> None:
    descriptor = pb.PeerMessage.DESCRIPTOR
    assert has_more_items(NESTED.SerializeToString(), descriptor, most) is has_more


def test_empty_items_count() -> None:
    entries = pb.HandOverRequest(entries=[pb.LedgerEntry()] * 100).SerializeToString()
    assert has_more_items(entries, pb.HandOverRequest.DESCRIPTOR, 99)
    assert not has_more_items(entries, pb.HandOverRequest.DESCRIPTOR, 100)


@given(st.binary(max_size=200))
def test_any_bytes_are_counted(data: bytes) -> None:
    """Guards against bytes that are no message and end the task that reads them."""
    assert has_more_items(data, pb.PeerMessage.DESCRIPTOR, 100) in (True, False)
