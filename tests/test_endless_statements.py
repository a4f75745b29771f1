"""What a VM keeps of a peer's statements, however many there are."""

import gc
import tracemalloc
from collections.abc import Iterator
from itertools import islice

import pytest
from daemon_parts import daemon_parts
from faulty_peer import (
    FORMS,
    VM,
    FaultyPeer,
    Messages,
    findings,
    leaves,
    nested_value,
    new_names,
)

from pomelobarrow.kernel.settings import PeerKey
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.exchange import Exchange
from pomelobarrow.peers.heartbeats import SentUpdates

# The first messages fill each table that has a bound.
MESSAGES = {new_names: 3_000, leaves: 3_000, findings: 3, nested_value: 1}
MESSAGES_OF_MANY_ITEMS = 8
# Dictionaries grow in steps, and the least suspect requests are dropped a batch at a time.
MAX_GROWTH_BYTES = 256 << 10


def faulty_peer(region: str) -> FaultyPeer:
    return FaultyPeer(
        address=("127.0.0.1", 1),
        key=PeerKey(id="", secret=""),
        region=region,
        failure_domain="a",
        most_bytes=0,
        until_unix_s=0.0,
    )


def kept_bytes(exchange: Exchange, messages: Iterator[pb.PeerMessage]) -> int:
    """Return what is allocated once messages have been handled."""
    sent = SentUpdates()
    for message in messages:
        exchange.handle(message, VM, lambda reply: None, sent)
    del messages, sent
    gc.collect()
    return tracemalloc.get_traced_memory()[0]


@pytest.mark.parametrize("form", FORMS, ids=lambda form: form.__name__)
def test_statements_without_end_do_not_add_up(form: Messages) -> None:
    """Names of VMs that found no room were kept without a bound."""
    exchange = daemon_parts().get(Exchange)
    messages = form(faulty_peer(exchange.view.own_region))
    count = MESSAGES.get(form, MESSAGES_OF_MANY_ITEMS)
    tracemalloc.start()
    try:
        filled_bytes = kept_bytes(exchange, islice(messages, count))
        for _ in range(2):
            kept = kept_bytes(exchange, islice(messages, count))
    finally:
        tracemalloc.stop()
    assert kept - filled_bytes <= MAX_GROWTH_BYTES
