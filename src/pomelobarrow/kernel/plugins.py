"""Find and register plug-ins."""

import importlib
import pkgutil
from pathlib import Path

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
        if room.ispkg and _has_plugin(room.name):
            name = f"{pomelobarrow.__name__}.{room.name}.{PLUGIN_MODULE}"
            manager.register(importlib.import_module(name), name=name)
    manager.load_setuptools_entrypoints(ENTRY_POINT_GROUP)
    manager.check_pending()
    return manager


def _has_plugin(room: str) -> bool:
    """Look for the file: asking the import system would load the room, stand-ins too."""
    folders = [Path(each) / room for each in pomelobarrow.__path__]
    return any((folder / f"{PLUGIN_MODULE}.py").is_file() for folder in folders)
