"""Relay TCP connections of one route with delay and faults."""

import asyncio
import socket
import struct
from collections.abc import Callable
from functools import partial

from attrs import define, field

from pomelobarrow.standin.fault_rules import (
    BOTH,
    HELD_BY_FAULT,
    LASTING,
    Direction,
    Fault,
    Order,
    Trigger,
)
from pomelobarrow.standin.lane import END, Lane
from pomelobarrow.standin.runtime import parse_address

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def reset(transport: asyncio.Transport) -> None:
    """Close a connection at once with a TCP reset."""
    transport.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
    )
    transport.abort()


def finish(transport: asyncio.Transport) -> None:
    """Close a connection once what was written is sent."""
    transport.close()


CLOSERS: dict[Fault, Callable[[asyncio.Transport], None]] = {
    Fault.REFUSE: reset,
    Fault.CLOSE: finish,
}


class Side(asyncio.Protocol):
    """Feed what one end sends into its lane and slow the other lane down when it is full."""

    def __init__(self, outgoing: Lane, incoming: Lane) -> None:
        self.outgoing = outgoing
        self.incoming = incoming

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to carry both ways."""
        assert isinstance(transport, asyncio.Transport)
        self.outgoing.source = transport
        self.incoming.sink = transport
        self.outgoing.pump()
        self.incoming.pump()

    def data_received(self, data: bytes) -> None:
        """Carry bytes on."""
        self.outgoing.feed(data)

    def eof_received(self) -> bool:
        """Carry the end on and keep the other way open."""
        self.outgoing.feed(END)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Carry the loss on."""
        self.outgoing.feed(END)

    def pause_writing(self) -> None:
        """Stop reading from the other end."""
        self.incoming.set_sink_full(True)

    def resume_writing(self) -> None:
        """Read from the other end again."""
        self.incoming.set_sink_full(False)


@define(eq=False)
class Route:
    """Hold one listening address, its target, its faults and its connections."""

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
        """Count the bytes delivered one way, over all connections so far."""
        open_bytes = sum(item.lanes[direction].delivered_bytes for item in self.connections)
        return self.closed_bytes[direction] + open_bytes

    def obey(self, order: Order) -> None:
        """Change the faults of the route and of its open connections."""
        self.trigger = order.trigger
        for connection in self.connections:
            connection.arm(order.trigger)
        if order.trigger is not None:
            return
        # Lasting faults but refusal concern only the connections open now.
        is_for_new = order.fault is Fault.REFUSE or order.fault not in LASTING
        self.fault = order.fault if is_for_new else Fault.PASS
        for connection in tuple(self.connections):
            connection.obey(order.fault)


@define(eq=False)
class Connection:
    """Hold both ends of one connection."""

    route: Route
    lanes: dict[Direction, Lane]
    fault: Fault = Fault.PASS
    _connecting: asyncio.Task[None] | None = None
    _has_no_target: bool = False

    def __attrs_post_init__(self) -> None:
        for lane in self.lanes.values():
            lane.on_end = self._close_if_ended

    @property
    def client(self) -> asyncio.Transport | None:
        """Return the client's end."""
        return self.lanes[Direction.TO_TARGET].source

    @property
    def target(self) -> asyncio.Transport | None:
        """Return the target's end."""
        return self.lanes[Direction.TO_TARGET].sink

    @property
    def is_left_by_client(self) -> bool:
        """Say whether the client has closed its end and the target was told."""
        return self.lanes[Direction.TO_TARGET].is_ended

    def obey(self, fault: Fault) -> None:
        """Apply a route's new fault."""
        if fault in LASTING:
            self.suffer(fault)
        elif self.fault not in LASTING:
            self.fault = Fault.PASS
        self.refresh()

    def suffer(self, fault: Fault) -> None:
        """Apply a fault to this connection alone."""
        self.fault = fault
        if close := CLOSERS.get(fault):
            self._close(close)
        self.refresh()

    def arm(self, trigger: Trigger | None) -> None:
        """Count bytes from now on until a trigger's fault is due."""
        for lane in self.lanes.values():
            lane.disarm()
        if trigger is not None:
            self.lanes[trigger.direction].arm(
                trigger.after_bytes, partial(self.suffer, trigger.fault)
            )

    def refresh(self) -> None:
        """Hold the directions that the faults hold and connect when the target is in reach."""
        held = HELD_BY_FAULT[self.route.fault] | HELD_BY_FAULT[self.fault]
        for direction, lane in self.lanes.items():
            lane.set_held(direction in held)
        if self._connecting is None and held != BOTH and not self._has_no_target:
            self._connecting = asyncio.get_running_loop().create_task(self._connect())

    def forget_if_over(self) -> None:
        """Leave the route once both ends are closed."""
        is_target_over = self.target.is_closing() if self.target else self._has_no_target
        is_client_over = self.client is None or self.client.is_closing()
        if self in self.route.connections and is_client_over and is_target_over:
            self.route.connections.discard(self)
            for direction, lane in self.lanes.items():
                self.route.closed_bytes[direction] += lane.delivered_bytes
                lane.close()

    def _close(self, close: Callable[[asyncio.Transport], None]) -> None:
        if self.target is None:
            self._has_no_target = True
            if self._connecting is not None:
                self._connecting.cancel()
        for transport in (self.client, self.target):
            if transport is not None:
                close(transport)
        self.forget_if_over()

    def _close_if_ended(self) -> None:
        if all(lane.is_ended for lane in self.lanes.values()):
            self._close(finish)

    async def _connect(self) -> None:
        host, port = parse_address(self.route.target)
        side = TargetSide(self)
        try:
            await asyncio.get_running_loop().create_connection(lambda: side, host, port)
        except OSError:
            self._close(reset)


class ClientSide(Side):
    """Speak with the client; its connection opens the one to the target."""

    def __init__(self, route: Route) -> None:
        open_at_s = asyncio.get_running_loop().time() + 2 * route.delay_s
        lanes = {direction: Lane(route.delay_s, open_at_s) for direction in Direction}
        super().__init__(lanes[Direction.TO_TARGET], lanes[Direction.TO_CLIENT])
        self.connection = Connection(route, lanes)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Join the route, unless it refuses."""
        super().connection_made(transport)
        route = self.connection.route
        route.accepted += 1
        if route.fault is Fault.REFUSE:
            self.connection.suffer(Fault.REFUSE)
            return
        route.connections.add(self.connection)
        self.connection.refresh()
        self.connection.arm(route.trigger)

    def connection_lost(self, exc: Exception | None) -> None:
        """Carry the loss on and leave the route."""
        super().connection_lost(exc)
        self.connection.forget_if_over()


class TargetSide(Side):
    """Speak with the target."""

    def __init__(self, connection: Connection) -> None:
        lanes = connection.lanes
        super().__init__(lanes[Direction.TO_CLIENT], lanes[Direction.TO_TARGET])
        self.connection = connection

    def connection_lost(self, exc: Exception | None) -> None:
        """Carry the loss on and leave the route."""
        super().connection_lost(exc)
        self.connection.forget_if_over()
