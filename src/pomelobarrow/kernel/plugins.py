"""Find and register plug-ins."""

import importlib
import importlib.util
import pkgutil

import pluggy

import pomelobarrow
from pomelobarrow.kernel.hooks import PROJECT, Hooks

ENTRY_POINT_GROUP = "pomelobarrow.plugins"
PLUGIN_MODULE = "plugin"


def load_plugins() -> pluggy.PluginManager:
    """Register each room's `plugin` module and the plug-ins of installed packages."""
    manager = pluggy.PluginManager(PROJECT)
    manager.add_hookspecs(Hooks)
    for room in pkgutil.iter_modules(pomelobarrow.__path__):
        _register_room(manager, room)
    manager.load_setuptools_entrypoints(ENTRY_POINT_GROUP)
    manager.check_pending()
    return manager


def _register_room(manager: pluggy.PluginManager, room: pkgutil.ModuleInfo) -> None:
    name = f"{pomelobarrow.__name__}.{room.name}.{PLUGIN_MODULE}"
    if not room.ispkg or importlib.util.find_spec(name) is None:
        return
    manager.register(importlib.import_module(name), name=name)
