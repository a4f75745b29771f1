"""Test delay, holds, silent connections, resets and truncation in the fault proxy."""

import asyncio
from collections.abc import AsyncIterator, Iterator
from typing import Any

import pytest
from attrs import define, field
from standin_harness import Standin, call, running_standins, wait_until

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@define
class Echo:
    """Echo server that records the bytes of each connection."""

    address: str = ""
    received: list[bytearray] = field(factory=list)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        seen = bytearray()
        self.received.append(seen)
        while data := await reader.read(65536):
            seen += data
            writer.write(data)
        writer.close()


@pytest.fixture
async def echo() -> AsyncIterator[Echo]:
    target = Echo()
    server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
    target.address = "{}:{}".format(*server.sockets[0].getsockname())
    yield target
    server.close()


@pytest.fixture
def proxy(echo: Echo) -> Iterator[Standin]:
    with running_standins() as start:
        names = ("wan-a", "wan-b", "lan")
        routes = [f"--route={name}=127.0.0.1:0,{echo.address},0.005" for name in names]
        yield start("proxy", *routes)


async def connect(proxy: Standin, route: str = "wan-a") -> Connection:
    host, _, port = proxy.routes[route].partition(":")
    return await asyncio.open_connection(host, int(port))


async def exchange(connection: Connection, data: bytes) -> bytes:
    connection[1].write(data)
    return await connection[0].readexactly(len(data))


async def set_fault(proxy: Standin, mode: str = "pass", **fields: Any) -> None:
    body = {"mode": mode, **({"route": "wan-a"} | fields)}
    assert (await call("POST", proxy.control, "/faults", body)).status == 200


async def route_status(proxy: Standin, route: str = "wan-a") -> dict[str, Any]:
    return (await call("GET", proxy.control, "/faults")).body["routes"][route]


async def test_bytes_keep_their_order_under_delay(proxy: Standin) -> None:
    connection = await connect(proxy)
    sent = b"".join(index.to_bytes(4, "big") for index in range(100_000))
    received = asyncio.create_task(connection[0].readexactly(len(sent)))
    for start in range(0, len(sent), 1000):
        connection[1].write(sent[start : start + 1000])
        await connection[1].drain()
    assert await received == sent


async def test_end_is_carried_after_the_bytes_before_it(proxy: Standin) -> None:
    reader, writer = await connect(proxy)
    writer.write(b"last")
    writer.write_eof()
    assert await reader.read() == b"last"
    await wait_until(lambda: route_status(proxy), lambda seen: seen["open"] == 0)


async def test_client_counts_as_closed_once_its_eof_is_delivered(proxy: Standin) -> None:
    # A frozen target may keep its end of the connection open indefinitely.
    _, writer = await connect(proxy)
    await wait_until(lambda: route_status(proxy), lambda seen: seen["kept_by_client"] == 1)
    writer.close()
    await wait_until(lambda: route_status(proxy), lambda seen: seen["kept_by_client"] == 0)


@pytest.mark.parametrize("mode", ["cut", "cut_to_target", "cut_to_client"])
async def test_cut_holds_bytes_until_it_heals(proxy: Standin, echo: Echo, mode: str) -> None:
    """Test that a network partition shorter than its connections only delays bytes. Nothing is
    delivered while it lasts; the bytes sent arrive afterwards, as with TCP retransmission."""
    old = await connect(proxy)
    await exchange(old, b"before")
    await set_fault(proxy, mode)
    new = await connect(proxy)
    for connection in (old, new):
        connection[1].write(b"during")
    assert await exchange(await connect(proxy, "lan"), b"elsewhere") == b"elsewhere"
    if mode == "cut_to_client":
        await wait_until(lambda: route_status(proxy), lambda seen: seen["bytes_to_target"] == 18)
    counted = await route_status(proxy)
    expected = {"cut": (6, 6), "cut_to_target": (6, 6), "cut_to_client": (18, 6)}[mode]
    assert (counted["bytes_to_target"], counted["bytes_to_client"]) == expected
    await set_fault(proxy)
    for connection in (old, new):
        assert await connection[0].readexactly(6) == b"during"


async def test_silent_connection_stays_silent_while_new_ones_work(
    proxy: Standin, echo: Echo
) -> None:
    """Test connections whose state is lost by a device between the endpoints. Bytes sent on them
    are dropped and no endpoint is notified, while new connections work."""
    old = await connect(proxy)
    await exchange(old, b"before")
    await set_fault(proxy, "silent")
    old[1].write(b"lost")
    assert await exchange(await connect(proxy), b"new") == b"new"
    await set_fault(proxy)
    assert await exchange(await connect(proxy), b"newer") == b"newer"
    assert echo.received == [b"before", b"new", b"newer"]
    assert not old[0].at_eof()


async def test_refusing_route_resets_old_and_new_connections(proxy: Standin, echo: Echo) -> None:
    old = await connect(proxy)
    await exchange(old, b"before")
    await set_fault(proxy, "refuse")
    with pytest.raises(ConnectionResetError):
        await old[0].read(1)
    with pytest.raises(ConnectionError):
        await exchange(await connect(proxy), b"refused")
    await set_fault(proxy)
    assert await exchange(await connect(proxy), b"after") == b"after"
    assert echo.received == [b"before", b"after"]
    assert (await route_status(proxy))["open"] == 1


async def test_fault_applies_after_a_number_of_bytes_to_the_target(
    proxy: Standin, echo: Echo
) -> None:
    await set_fault(proxy, "cut", after_bytes_to_target=4)
    connection = await connect(proxy)
    connection[1].write(b"abcdefgh")
    await wait_until(lambda: route_status(proxy), lambda seen: seen["bytes_to_target"] == 4)
    await set_fault(proxy)
    assert await connection[0].readexactly(8) == b"abcdefgh"


async def test_fault_applies_after_a_number_of_bytes_to_the_client(proxy: Standin) -> None:
    await set_fault(proxy, "refuse", after_bytes_to_client=4)
    connection = await connect(proxy)
    connection[1].write(b"abcdefgh")
    with pytest.raises(ConnectionResetError):
        await connection[0].readexactly(8)


async def test_truncated_answer_ends_cleanly(proxy: Standin) -> None:
    await set_fault(proxy, truncate_to_client_after=4)
    reader, writer = await connect(proxy)
    writer.write(b"abcdefgh")
    assert await reader.read() == b"abcd"


async def test_glob_selects_several_routes(proxy: Standin) -> None:
    answer = await call("POST", proxy.control, "/faults", {"routes": "wan-*", "mode": "refuse"})
    assert answer.body == {"routes": ["wan-a", "wan-b"]}
    assert await exchange(await connect(proxy, "lan"), b"lan") == b"lan"


@pytest.mark.parametrize(
    ("body", "status"), [({"mode": "melt"}, 400), ({"route": "none"}, 404)], ids=["mode", "route"]
)
async def test_invalid_order_is_refused(proxy: Standin, body: dict[str, str], status: int) -> None:
    assert (await call("POST", proxy.control, "/faults", body)).status == status


async def test_route_is_added_while_the_proxy_runs(proxy: Standin, echo: Echo) -> None:
    opened = await call("POST", proxy.control, "/routes", {"name": "new", "target": echo.address})
    proxy.routes["new"] = opened.body["listening"]
    assert await exchange(await connect(proxy, "new"), b"x") == b"x"


async def test_unreachable_target_resets_the_client(proxy: Standin) -> None:
    body = {"name": "wan-a", "target": "127.0.0.1:1"}
    await call("POST", proxy.control, "/routes", body)
    with pytest.raises(ConnectionError):
        await exchange(await connect(proxy), b"x")
