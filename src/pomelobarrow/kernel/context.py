"""A registry of the parts that plug-ins share, by type, each built on first use."""

from collections.abc import Callable
from typing import Any, TypeVar, cast

import pluggy

from pomelobarrow.kernel.settings import Settings

Part = TypeVar("Part")


class MissingPartError(LookupError):
    """Raised if no plug-in provides a part."""


class Context:
    """Give plug-ins access to the settings, the daemon's incarnation and the shared parts."""

    def __init__(self, settings: Settings, incarnation: int, hooks: pluggy.PluginManager) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self.hooks = hooks
        self.is_draining = False
        self._factories: dict[type, Callable[[Context], Any]] = {}
        self._parts: dict[type, Any] = {}

    def provide(self, kind: type[Part], factory: Callable[["Context"], Part]) -> None:
        """Register the factory of a part."""
        self._factories[kind] = factory

    def get(self, kind: type[Part]) -> Part:
        """Return the part of this type, building it on first use."""
        if kind not in self._parts:
            self._parts[kind] = self._build(kind)
        return cast(Part, self._parts[kind])

    def observe(self, event: object) -> None:
        """Pass a typed event to every plug-in."""
        # Called for several events per request: pluggy's own call takes longer than most plug-ins.
        for implementation in reversed(self.hooks.hook.observe.get_hookimpls()):
            implementation.function(event)

    def _build(self, kind: type[Part]) -> Part:
        factory = self._factories.get(kind)
        if factory is None:
            raise MissingPartError(f"no plug-in provides {kind.__name__}: load the one that does")
        return cast(Part, factory(self))
