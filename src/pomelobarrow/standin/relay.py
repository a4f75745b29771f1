"""Relay the TCP connections of a route with delay and faults."""

import asyncio
import socket
import struct
from collections.abc import Callable
from functools import partial

from attrs import define, field

from pomelobarrow.standin.fault_rules import (
    BOTH_DIRECTIONS,
    HELD_DIRECTIONS_BY_FAULT,
    PERMANENT_FAULTS,
    Direction,
    Fault,
    FaultOrder,
    Trigger,
)
from pomelobarrow.standin.flow import EOF, Flow
from pomelobarrow.standin.runtime import parse_address

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def reset(transport: asyncio.Transport) -> None:
    """Close a connection immediately with a TCP reset."""
    transport.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
    )
    transport.abort()


def close_after_flush(transport: asyncio.Transport) -> None:
    """Close a connection after its write buffer is sent."""
    transport.close()


CLOSE_FUNCTIONS: dict[Fault, Callable[[asyncio.Transport], None]] = {
    Fault.REFUSE: reset,
    Fault.CLOSE: close_after_flush,
}


class EndpointProtocol(asyncio.Protocol):
    """Feed received bytes into the outgoing flow; pause the incoming one while writes block."""

    def __init__(self, outgoing: Flow, incoming: Flow) -> None:
        self.outgoing = outgoing
        self.incoming = incoming

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Attach the transport to both flows."""
        assert isinstance(transport, asyncio.Transport)
        self.outgoing.source = transport
        self.incoming.sink = transport
        self.outgoing.deliver_due()
        self.incoming.deliver_due()

    def data_received(self, data: bytes) -> None:
        """Queue received bytes."""
        self.outgoing.feed(data)

    def eof_received(self) -> bool:
        """Queue the end of the stream and keep the other direction open."""
        self.outgoing.feed(EOF)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Queue the end of the stream after a lost connection."""
        self.outgoing.feed(EOF)

    def pause_writing(self) -> None:
        """Pause reading from the other endpoint."""
        self.incoming.set_sink_full(True)

    def resume_writing(self) -> None:
        """Resume reading from the other endpoint."""
        self.incoming.set_sink_full(False)


@define(eq=False)
class Route:
    """Listening address with its target, faults and connections."""

    name: str
    target: str
    delay_s: float = 0.0
    listening: str = ""
    fault: Fault = Fault.PASS
    trigger: Trigger | None = None
    accepted: int = 0
    connections: set["Connection"] = field(factory=set)
    closed_bytes: dict[Direction, int] = field(factory=lambda: dict.fromkeys(Direction, 0))

    def delivered_bytes(self, direction: Direction) -> int:
        """Return the number of bytes delivered in one direction over all connections so far."""
        open_bytes = sum(item.flows[direction].delivered_bytes for item in self.connections)
        return self.closed_bytes[direction] + open_bytes

    def apply_order(self, order: FaultOrder) -> None:
        """Change the faults of the route and of its open connections."""
        self.trigger = order.trigger
        for connection in self.connections:
            connection.arm(order.trigger)
        if order.trigger is not None:
            return
        # Permanent faults other than REFUSE apply only to the connections that are open now.
        is_for_new = order.fault is Fault.REFUSE or order.fault not in PERMANENT_FAULTS
        self.fault = order.fault if is_for_new else Fault.PASS
        for connection in tuple(self.connections):
            connection.apply_route_fault(order.fault)


@define(eq=False)
class Connection:
    """Relayed connection between a client and the target."""

    route: Route
    flows: dict[Direction, Flow]
    fault: Fault = Fault.PASS
    _connecting: asyncio.Task[None] | None = None
    _closed_before_connect: bool = False

    def __attrs_post_init__(self) -> None:
        for flow in self.flows.values():
            flow.on_eof_delivered = self._close_if_ended

    @property
    def client(self) -> asyncio.Transport | None:
        """Return the client's transport."""
        return self.flows[Direction.TO_TARGET].source

    @property
    def target(self) -> asyncio.Transport | None:
        """Return the target's transport."""
        return self.flows[Direction.TO_TARGET].sink

    @property
    def is_closed_by_client(self) -> bool:
        """Return whether the client's end of stream is delivered to the target."""
        return self.flows[Direction.TO_TARGET].is_eof_delivered

    def apply_route_fault(self, fault: Fault) -> None:
        """Apply the new fault of the route."""
        if fault in PERMANENT_FAULTS:
            self.apply_fault(fault)
        elif self.fault not in PERMANENT_FAULTS:
            self.fault = Fault.PASS
        self.refresh()

    def apply_fault(self, fault: Fault) -> None:
        """Apply a fault to this connection alone."""
        self.fault = fault
        if close := CLOSE_FUNCTIONS.get(fault):
            self._close(close)
        self.refresh()

    def arm(self, trigger: Trigger | None) -> None:
        """Set or remove the trigger; bytes are counted from now on."""
        for flow in self.flows.values():
            flow.disarm()
        if trigger is not None:
            self.flows[trigger.direction].arm(
                trigger.after_bytes, partial(self.apply_fault, trigger.fault)
            )

    def refresh(self) -> None:
        """Update the held directions and connect to the target unless both are held."""
        held = HELD_DIRECTIONS_BY_FAULT[self.route.fault] | HELD_DIRECTIONS_BY_FAULT[self.fault]
        for direction, flow in self.flows.items():
            flow.set_held(direction in held)
        if self._connecting is None and held != BOTH_DIRECTIONS and not self._closed_before_connect:
            self._connecting = asyncio.get_running_loop().create_task(self._connect())

    def remove_if_closed(self) -> None:
        """Remove the connection from its route once both transports are closed."""
        is_target_closed = self.target.is_closing() if self.target else self._closed_before_connect
        is_client_closed = self.client is None or self.client.is_closing()
        if self in self.route.connections and is_client_closed and is_target_closed:
            self.route.connections.discard(self)
            for direction, flow in self.flows.items():
                self.route.closed_bytes[direction] += flow.delivered_bytes
                flow.close()

    def _close(self, close: Callable[[asyncio.Transport], None]) -> None:
        if self.target is None:
            self._closed_before_connect = True
            if self._connecting is not None:
                self._connecting.cancel()
        for transport in (self.client, self.target):
            if transport is not None:
                close(transport)
        self.remove_if_closed()

    def _close_if_ended(self) -> None:
        if all(flow.is_eof_delivered for flow in self.flows.values()):
            self._close(close_after_flush)

    async def _connect(self) -> None:
        host, port = parse_address(self.route.target)
        protocol = TargetProtocol(self)
        try:
            await asyncio.get_running_loop().create_connection(lambda: protocol, host, port)
        except OSError:
            self._close(reset)


class ClientProtocol(EndpointProtocol):
    """Protocol for the client; its connection opens the one to the target."""

    def __init__(self, route: Route) -> None:
        open_at_s = asyncio.get_running_loop().time() + 2 * route.delay_s
        flows = {direction: Flow(route.delay_s, open_at_s) for direction in Direction}
        super().__init__(flows[Direction.TO_TARGET], flows[Direction.TO_CLIENT])
        self.connection = Connection(route, flows)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to the route, unless the route refuses it."""
        super().connection_made(transport)
        route = self.connection.route
        route.accepted += 1
        if route.fault is Fault.REFUSE:
            self.connection.apply_fault(Fault.REFUSE)
            return
        route.connections.add(self.connection)
        self.connection.refresh()
        self.connection.arm(route.trigger)

    def connection_lost(self, exc: Exception | None) -> None:
        """Queue the end of the stream and remove a closed connection from its route."""
        super().connection_lost(exc)
        self.connection.remove_if_closed()


class TargetProtocol(EndpointProtocol):
    """Protocol for the target."""

    def __init__(self, connection: Connection) -> None:
        flows = connection.flows
        super().__init__(flows[Direction.TO_CLIENT], flows[Direction.TO_TARGET])
        self.connection = connection

    def connection_lost(self, exc: Exception | None) -> None:
        """Queue the end of the stream and remove a closed connection from its route."""
        super().connection_lost(exc)
        self.connection.remove_if_closed()
