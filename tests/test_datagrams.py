"""Datagrams reach VMs of the same fleet only, and a query ends with or without an answer."""

import asyncio
import socket
import time
from collections.abc import AsyncIterator

import pytest

from harness.processes import free_ports
from pomelobarrow.kernel.settings import PeerKey
from pomelobarrow.kernel.sparing_selector import sparing_loop
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.datagrams import DatagramCodec, PeerDatagrams, Reply

KEY = PeerKey(id="k1", secret="a secret of the fleet")
OTHER_KEY = PeerKey(id="k2", secret="a secret of another fleet")
QUERY = pb.Datagram(proof_query=pb.ProofQuery(number=3))
ANSWER_TIMEOUT_S = 0.05
WAIT_S = 10.0


def test_message_of_a_peer_is_decoded() -> None:
    codec = DatagramCodec(keys=(KEY,))
    assert codec.decode(codec.encode(QUERY)) == QUERY


def test_keys_can_be_rotated() -> None:
    data = DatagramCodec(keys=(OTHER_KEY,)).encode(QUERY)
    assert DatagramCodec(keys=(KEY, OTHER_KEY)).decode(data) == QUERY


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"short",
        DatagramCodec(keys=(OTHER_KEY,)).encode(QUERY),
        DatagramCodec(keys=(KEY,)).encode(QUERY)[:-1] + b"\x07",
    ],
    ids=["empty", "short", "foreign", "changed"],
)
def test_other_bytes_are_ignored(data: bytes) -> None:
    assert DatagramCodec(keys=(KEY,)).decode(data) is None


@pytest.fixture
async def pair() -> AsyncIterator[tuple[PeerDatagrams, PeerDatagrams]]:
    [port] = free_ports(1)
    ends = [PeerDatagrams((KEY,), host, port) for host in ("127.0.0.1", "127.0.0.2")]
    for end in ends:
        await end.start()
    yield ends[0], ends[1]
    for end in ends:
        await end.stop()


async def test_query_returns_the_answer_to_it(pair: tuple[PeerDatagrams, PeerDatagrams]) -> None:
    asking, answering = pair

    def answer(query: pb.ProofQuery, reply: Reply) -> None:
        reply(pb.Datagram(proof_answer=pb.ProofAnswer(number=query.number + 1, age_ms=1)))
        reply(pb.Datagram(proof_answer=pb.ProofAnswer(number=query.number, age_ms=2)))

    answering.handlers["proof_query"] = answer
    query = pb.Datagram(proof_query=pb.ProofQuery())
    answered = await asking.query(("127.0.0.2", answering.port), query, 5.0)
    assert answered.age_ms == 2


async def test_query_without_an_answer_ends(pair: tuple[PeerDatagrams, PeerDatagrams]) -> None:
    asking, answering = pair
    query = pb.Datagram(proof_query=pb.ProofQuery())
    assert await asking.query(("127.0.0.2", answering.port), query, 0.05) is None
    assert await asking.query(("127.0.0.3", answering.port), query, 0.05) is None


@pytest.mark.parametrize("count", [1, 100])
def test_answers_that_arrive_while_the_loop_stands_still_count(count: int) -> None:
    """Queries of a VM that had stood still timed out, though their answers were in its socket."""

    async def play() -> list[object]:
        [port] = free_ports(1)
        asking, codec = PeerDatagrams((KEY,), "127.0.0.1", port), DatagramCodec(keys=(KEY,))
        await asking.start()
        with socket.socket(type=socket.SOCK_DGRAM) as answering:
            answering.bind(("127.0.0.2", port))
            answering.settimeout(WAIT_S)
            queries = [
                asyncio.create_task(_query(asking, answering, ANSWER_TIMEOUT_S))
                for _ in range(count)
            ]
            await asyncio.sleep(0)
            for _ in queries:
                data, address = answering.recvfrom(1 << 16)
                asked = codec.decode(data)
                assert asked is not None
                answer = pb.ProofAnswer(number=asked.proof_query.number, age_ms=1)
                answering.sendto(codec.encode(pb.Datagram(proof_answer=answer)), address)
            time.sleep(2 * ANSWER_TIMEOUT_S)
            answers = await asyncio.gather(*queries)
        await asking.stop()
        return answers

    with asyncio.Runner(loop_factory=sparing_loop) as runner:
        assert runner.run(play()).count(None) == 0


async def _query(asking: PeerDatagrams, answering: socket.socket, timeout_s: float) -> object:
    query = pb.Datagram(proof_query=pb.ProofQuery())
    return await asking.query(answering.getsockname(), query, timeout_s)


async def test_closed_socket_sends_nothing() -> None:
    [port] = free_ports(1)
    end = PeerDatagrams((KEY,), "127.0.0.1", port)
    await end.start()
    await end.stop()
    end.send(("127.0.0.1", port), QUERY)
    await asyncio.sleep(0)


def test_numbers_of_queries_differ_between_processes() -> None:
    """A late answer to a query of the previous process looked like one to a newer query.

    A proof in it would count from when the newer query was sent.
    """
    ends = [PeerDatagrams((KEY,), "127.0.0.1", 1) for _ in range(2)]
    assert next(ends[0]._numbers) != next(ends[1]._numbers)


async def test_answer_after_the_timeout_is_ignored(
    pair: tuple[PeerDatagrams, PeerDatagrams],
) -> None:
    asking, _ = pair
    waiting = asyncio.get_running_loop().create_future()
    waiting.cancel()
    asking._waiting[7] = waiting
    answer = pb.Datagram(proof_answer=pb.ProofAnswer(number=7))
    asking._receive(DatagramCodec(keys=(KEY,)).encode(answer), ("127.0.0.2", 1))
