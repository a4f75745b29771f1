import pytest

from pomelobarrow.kernel.settings import PeerKey
from pomelobarrow.peers.keys import KEY_ID, MAC, VM, PeerKeys

OLD = PeerKey(id="k1", secret="the-first-shared-secret")
NEW = PeerKey(id="k2", secret="the-second-shared-secret")
PATH = "/pomelobarrow.peers.v1.Peer/Forward"


def test_a_signed_call_is_attributed_to_its_vm() -> None:
    assert PeerKeys([OLD]).caller_vm(PeerKeys([OLD]).metadata("milan-1", PATH), PATH) == "milan-1"


@pytest.mark.parametrize(
    "changes",
    [
        {VM: "milan-2"},
        {KEY_ID: "k2"},
        {KEY_ID: ""},
        {MAC: ""},
        {MAC: "é"},
        {MAC: "0" * 64},
    ],
)
def test_changed_metadata_does_not_authenticate(changes: dict[str, str]) -> None:
    metadata = PeerKeys([OLD]).metadata("milan-1", PATH) | changes
    assert PeerKeys([OLD, NEW]).caller_vm(metadata, PATH) is None


def test_metadata_of_one_method_is_invalid_for_another() -> None:
    metadata = PeerKeys([OLD]).metadata("milan-1", "/pomelobarrow.peers.v1.Peer/Exchange")
    assert PeerKeys([OLD]).caller_vm(metadata, PATH) is None


def test_keys_can_be_rotated() -> None:
    # Each step may be rolled out VM by VM: the signing key of either step is known to every VM of
    # both steps.
    steps = [[OLD], [OLD, NEW], [NEW, OLD], [NEW]]
    for before, after in zip(steps, steps[1:], strict=False):
        for signing, checking in ((before, after), (after, before)):
            metadata = PeerKeys(signing).metadata("milan-1", PATH)
            assert PeerKeys(checking).caller_vm(metadata, PATH) == "milan-1"


def test_representation_of_keys_contains_no_secret() -> None:
    assert OLD.secret not in repr(PeerKeys([OLD]))
