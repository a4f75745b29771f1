"""Decide which orders to send to an engine, and with which fencing numbers."""

import enum
from collections.abc import Iterable

from attrs import define, field, frozen

from pomelobarrow.decision.published.configuration import Configuration
from pomelobarrow.decision.requests.work import BackendServer

# The low bits of a fencing number are a counter; the bits above are the revision.
COUNT_BITS = 16
# Orders expire after this time, so a new owner waits as long for the former owner's orders.
ORDER_LIFETIME_S = 5.0
RETRY_AFTER_S = 10.0


class OrderKind(enum.Enum):
    """Kinds of orders; only LOAD_MODEL is safe to repeat or reorder."""

    LOAD_MODEL = "load_model"
    SERVE_VERSION = "serve_version"
    CHANGE_ROLE = "change_role"


# Loading adds a version beside the others. Serving a version or changing the role replaces the
# current state: on an engine that ignores fencing numbers, a delayed order of a VM that was
# suspended would undo a newer order.
SAFE_WITHOUT_FENCING = frozenset({OrderKind.LOAD_MODEL})


@frozen(kw_only=True)
class Order:
    """An instruction to an engine, derived from the configuration alone."""

    kind: OrderKind
    model: str = ""
    version: str = ""
    role: str = ""


@frozen(kw_only=True)
class FencedOrders:
    """Orders to send to one engine, with their fencing number and expiry."""

    server: BackendServer
    revision: int
    fencing: int
    expires_unix_s: float
    orders: tuple[Order, ...]


def next_fencing(revision: int, highest_seen: int) -> int | None:
    """Return the fencing number for a revision, or None if the engine has seen a later revision.

    Incrementing the highest number seen would not suffice: a VM that was suspended during a change
    would then give its outdated orders a number that the engine accepts.
    """
    if highest_seen >> COUNT_BITS > revision:
        return None
    return max(revision << COUNT_BITS, highest_seen + 1)


def orders_for(server: BackendServer, configuration: Configuration) -> tuple[Order, ...]:
    """Return all orders of a configuration that may be sent to this engine."""
    due = [*_model_orders(server, configuration), *_role_orders(server, configuration)]
    return tuple(each for each in due if server.checks_fencing or each.kind in SAFE_WITHOUT_FENCING)


def _model_orders(server: BackendServer, configuration: Configuration) -> list[Order]:
    models = sorted(configuration.models.values(), key=lambda model: model.name)
    return [
        Order(kind=kind, model=model.name, version=model.version)
        for model in models
        if model.pool == server.pool and model.version
        for kind in (OrderKind.LOAD_MODEL, OrderKind.SERVE_VERSION)
    ]


def _role_orders(server: BackendServer, configuration: Configuration) -> list[Order]:
    pool = configuration.pools.get(server.pool)
    return [Order(kind=OrderKind.CHANGE_ROLE, role=pool.role)] if pool and pool.role else []


@define
class _Engine:
    incarnation: str
    owned_since_unix_s: float
    highest_seen: int = 0
    done: tuple[Order, ...] | None = None
    next_try_unix_s: float = 0.0


@define
class OrderBook:
    """The engines to which this VM sends orders, and the orders they have accepted."""

    _engines: dict[str, _Engine] = field(factory=dict)

    def due(
        self, owned: Iterable[BackendServer], configuration: Configuration, now_unix_s: float
    ) -> list[FencedOrders]:
        """Return the orders to send now; a newly owned engine waits until older orders expired."""
        servers = {server.name: server for server in owned}
        self._engines = {
            name: self._of_incarnation(server) or _new_engine(server, now_unix_s)
            for name, server in servers.items()
        }
        found = (self._due(server, configuration, now_unix_s) for server in servers.values())
        return [each for each in found if each is not None]

    def observe_pause(self, now_unix_s: float) -> None:
        """Restart the ownership wait after a process pause: another VM may own the engines now."""
        for engine in self._engines.values():
            engine.owned_since_unix_s = now_unix_s + ORDER_LIFETIME_S

    def observe_accepted(self, sent: FencedOrders) -> None:
        """Record that an engine accepted the orders."""
        engine = self._of_incarnation(sent.server)
        if engine is not None:
            engine.done = sent.orders
            engine.highest_seen = max(engine.highest_seen, sent.fencing)

    def _of_incarnation(self, server: BackendServer) -> _Engine | None:
        """Return the record of an engine, None if that is of another process under its name."""
        engine = self._engines.get(server.name)
        return engine if engine is not None and engine.incarnation == server.incarnation else None

    def observe_highest_fencing(self, server: str, highest_seen: int) -> None:
        """Record the highest fencing number that an engine reports."""
        engine = self._engines.get(server)
        if engine is not None:
            engine.highest_seen = max(engine.highest_seen, highest_seen)
            engine.next_try_unix_s = 0.0

    def _due(
        self, server: BackendServer, configuration: Configuration, now_unix_s: float
    ) -> FencedOrders | None:
        engine = self._engines[server.name]
        orders = orders_for(server, configuration)
        is_early = now_unix_s < max(engine.owned_since_unix_s, engine.next_try_unix_s)
        if is_early or not orders or orders == engine.done:
            return None
        fencing = next_fencing(configuration.revision, engine.highest_seen)
        if fencing is None:
            return None
        engine.next_try_unix_s = now_unix_s + RETRY_AFTER_S
        return FencedOrders(
            server=server,
            revision=configuration.revision,
            fencing=fencing,
            expires_unix_s=now_unix_s + ORDER_LIFETIME_S,
            orders=orders,
        )


def _new_engine(server: BackendServer, now_unix_s: float) -> _Engine:
    return _Engine(server.incarnation, now_unix_s + ORDER_LIFETIME_S)
