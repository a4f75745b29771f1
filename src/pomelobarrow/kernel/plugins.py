"""Find and register plug-ins."""

import importlib
import pkgutil
from pathlib import Path
from types import ModuleType

import pluggy

import pomelobarrow
from pomelobarrow.kernel.hooks import PROJECT, Hooks

ENTRY_POINT_GROUP = "pomelobarrow.plugins"
PLUGIN_MODULE = "plugin"


def load_plugins(with_installed: bool = True) -> pluggy.PluginManager:
    """Register each subpackage's `plugin` module and the plug-ins of installed distributions."""
    manager = pluggy.PluginManager(PROJECT)
    manager.add_hookspecs(Hooks)
    for name, module in import_plugins().items():
        manager.register(module, name=name)
    if with_installed:
        manager.load_setuptools_entrypoints(ENTRY_POINT_GROUP)
    manager.check_pending()
    return manager


def import_plugins() -> dict[str, ModuleType]:
    """Import each subpackage's `plugin` module; return the modules by their full names."""
    names = [
        f"{pomelobarrow.__name__}.{package.name}.{PLUGIN_MODULE}"
        for package in pkgutil.iter_modules(pomelobarrow.__path__)
        if package.ispkg and _has_plugin(package.name)
    ]
    return {name: importlib.import_module(name) for name in names}


def _has_plugin(package: str) -> bool:
    """Return whether the file exists; find_spec would import the subpackage, even the stand-ins."""
    folders = [Path(each) / package for each in pomelobarrow.__path__]
    return any((folder / f"{PLUGIN_MODULE}.py").is_file() for folder in folders)
