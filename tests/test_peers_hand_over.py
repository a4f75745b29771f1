import asyncio
import math
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest
from grpclib.client import Channel

from pomelobarrow.decision.members.member import Member
from pomelobarrow.decision.requests.request_ids import (
    ID_LIFETIME_S,
    ClaimKind,
    Outcome,
    RequestIdLedger,
)
from pomelobarrow.kernel.settings import PeerKey
from pomelobarrow.peers import hand_over as module
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.hand_over import adopt_message, hand_over
from pomelobarrow.peers.keys import PeerKeys
from pomelobarrow.peers.links import PeerLink

NOW_UNIX_S = 1_800_000_000.0
OWN = Member(
    vm="milan-1",
    incarnation=1,
    region="milan",
    failure_domain="milan-a",
    caller_address="127.0.0.1:1",
    peer_address="127.0.0.1:2",
    phase="leaving",
)
KEYS = PeerKeys([PeerKey(id="k1", secret="a-shared-secret-of-tests")])
OUTCOME = Outcome(status=200, headers=(("Content-Type", "text/plain"),), body=b"done")


def stopping_ledger() -> tuple[RequestIdLedger, dict[str, str]]:
    """Return a ledger with one id of each state, by state."""
    ledger = RequestIdLedger("milan-1", 1, b"s" * 32)
    names = ("unused", "finished", "running")
    ids = dict(zip(names, ledger.issue("shop", len(names), NOW_UNIX_S), strict=True))
    for name in ("finished", "running"):
        ledger.claim(ids[name], "shop", NOW_UNIX_S)
    ledger.finish(ids["finished"], OUTCOME)
    return ledger, ids


def link_to(port: int) -> PeerLink:
    """Return a stub with the parts of a link that a hand-over uses."""
    make: Callable[[], Channel] = lambda: Channel("127.0.0.1", port)  # noqa: E731
    return SimpleNamespace(open_channel=make, peer=SimpleNamespace(vm="milan-2"))  # type: ignore[return-value]


async def captured_message(
    monkeypatch: pytest.MonkeyPatch, ledger: RequestIdLedger
) -> pb.HandOverRequest:
    """Return what a hand-over would send."""
    sent: list[pb.HandOverRequest] = []

    async def send(message: pb.HandOverRequest, *_: object) -> bool:
        sent.append(message)
        return True

    monkeypatch.setattr(module, "_send", send)
    assert await hand_over(ledger, OWN, link_to(1), KEYS) == (("milan-1", 1),)
    return sent[0]


async def test_the_successor_answers_for_every_id_state(monkeypatch: pytest.MonkeyPatch) -> None:
    ledger, ids = stopping_ledger()
    message = await captured_message(monkeypatch, ledger)
    successor = RequestIdLedger("milan-2", 1, b"t" * 32)
    assert adopt_message(successor, pb.HandOverRequest.FromString(message.SerializeToString()))
    claims = {name: successor.claim(each, "shop", NOW_UNIX_S) for name, each in ids.items()}
    assert claims["finished"].outcome == OUTCOME
    assert claims["unused"].kind is ClaimKind.FRESH
    assert claims["running"].outcome is not None
    assert claims["running"].outcome.run == "unknown"
    assert ledger.claim(ids["unused"], "shop", NOW_UNIX_S).kind is ClaimKind.RETIRED


async def test_a_state_of_a_newer_version_is_unknown(monkeypatch: pytest.MonkeyPatch) -> None:
    ledger, ids = stopping_ledger()
    message = await captured_message(monkeypatch, ledger)
    for entry in message.entries:
        entry.state = "paused"
        entry.has_outcome = False
    successor = RequestIdLedger("milan-2", 1, b"t" * 32)
    assert adopt_message(successor, message)
    claim = successor.claim(ids["finished"], "shop", NOW_UNIX_S)
    assert claim.outcome is not None
    assert claim.outcome.run == "unknown"


@pytest.mark.parametrize("expired_through_unix_s", [math.nan, math.inf])
async def test_hand_over_without_the_time_of_expired_ids_is_rejected(
    monkeypatch: pytest.MonkeyPatch, expired_through_unix_s: float
) -> None:
    """An id that had run and expired at its issuer ran again at a VM whose clock is behind."""
    ledger, ids = stopping_ledger()
    ledger.expire(NOW_UNIX_S + ID_LIFETIME_S + 1.0)
    message = await captured_message(monkeypatch, ledger)
    message.expired_through_unix_s = expired_through_unix_s
    successor = RequestIdLedger("milan-2", 1, b"t" * 32)
    successor.expire(NOW_UNIX_S)
    assert not adopt_message(successor, message)
    assert successor.claim(ids["finished"], "shop", NOW_UNIX_S).kind is ClaimKind.NOT_MINE


@pytest.mark.parametrize(
    "wrong",
    [
        {"expires_unix_s": math.nan},
        {"expires_unix_s": math.inf},
        {"expires_unix_s": NOW_UNIX_S},
        {"request_id": "r1"},
    ],
    ids=str,
)
async def test_hand_over_of_an_id_that_does_not_fit_its_entry_is_rejected(
    monkeypatch: pytest.MonkeyPatch, wrong: dict[str, Any]
) -> None:
    """The claim of a caller failed when the id expired, or the ledger's ids no longer expired."""
    ledger, _ = stopping_ledger()
    message = await captured_message(monkeypatch, ledger)
    for name, value in wrong.items():
        setattr(message.entries[0], name, value)
    successor = RequestIdLedger("milan-2", 1, b"t" * 32)
    assert not adopt_message(successor, message)
    assert len(successor) == 0
    assert successor.expire(NOW_UNIX_S + 2 * ID_LIFETIME_S) == 0


@pytest.mark.parametrize("is_listening", [True, False])
async def test_after_an_unconfirmed_hand_over_no_id_is_usable_here(
    monkeypatch: pytest.MonkeyPatch, is_listening: bool
) -> None:
    # The successor accepts the connection but doesn't answer, or is gone. It may or may not have
    # the ids, so that the stopping VM must run none of them and not offer them to another VM.
    monkeypatch.setattr(module, "HAND_OVER_TIMEOUT_S", 0.05)
    server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    if not is_listening:
        server.close()
    ledger, ids = stopping_ledger()
    assert await hand_over(ledger, OWN, link_to(port), KEYS) == ()
    assert await hand_over(ledger, OWN, link_to(port), KEYS) == ()
    assert ledger.claim(ids["unused"], "shop", NOW_UNIX_S).kind is ClaimKind.RETIRED
    server.close()
