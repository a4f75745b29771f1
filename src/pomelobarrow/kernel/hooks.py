"""The hooks that plug-ins implement."""

import enum
from typing import TYPE_CHECKING, Any

import pluggy
from aiohttp import web
from attrs import frozen
from mode import Service

if TYPE_CHECKING:
    from pomelobarrow.kernel.context import Context

PROJECT = "pomelobarrow"
hookspec = pluggy.HookspecMarker(PROJECT)
hookimpl = pluggy.HookimplMarker(PROJECT)


class StartPhase(enum.IntEnum):
    """Phases in which services start; they stop in the reverse order."""

    PLATFORM = 1
    PEERS = 2
    BACKENDS = 3
    DISPATCH = 4
    CALLERS = 5


@frozen
class PhasedService:
    """Service with the phase it starts in."""

    phase: StartPhase
    service: Service


@frozen
class StatusSection:
    """Section of the status answer."""

    name: str
    values: dict[str, Any]


class Hooks:
    """Declare the hooks that a plug-in may implement."""

    @hookspec
    def provide_parts(self, context: "Context") -> None:
        """Register factories for shared parts."""

    @hookspec
    def services(self, context: "Context") -> list[PhasedService]:  # type: ignore[empty-body]
        """Return the services to run."""

    @hookspec
    def routes(self, context: "Context") -> list[web.RouteDef]:  # type: ignore[empty-body]
        """Return HTTP routes to serve to callers and operators."""

    @hookspec
    def status(self, context: "Context") -> StatusSection:  # type: ignore[empty-body]
        """Return this plug-in's section of the status answer."""

    @hookspec
    def not_ready_reason(self, context: "Context") -> str | None:
        """Return why this VM can't serve yet, or None."""

    @hookspec
    def drain(self, context: "Context") -> Any:
        """Return an awaitable that ends once this plug-in's work in progress has finished."""

    @hookspec
    def close(self, context: "Context") -> Any:
        """Return an awaitable that ends once all answers have left the sockets."""

    @hookspec
    def reloaded(self, context: "Context") -> None:
        """Apply settings that were read again; changed addresses take effect at the next start."""

    @hookspec
    def observe(self, event: object) -> None:
        """Handle a typed event, such as a finished request."""
