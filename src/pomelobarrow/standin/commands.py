"""Define a command for each stand-in, with options taken from its options class."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, ClassVar

import attrs
import cattrs
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option

from pomelobarrow.standin import engine, fault_proxy, load, platform_server, service

Main = Callable[[Any], Coroutine[Any, Any, None]]
EXIT_USAGE = 2


@attrs.frozen
class Program:
    """Options class and main coroutine of a stand-in."""

    options_class: type[Any]
    main: Main


def cleo_options(options_class: type[Any]) -> list[Option]:
    """Build a command-line option for each field of an options class."""
    return [_cleo_option(attribute) for attribute in attrs.fields(options_class)]


def _cleo_option(attribute: "attrs.Attribute[Any]") -> Option:
    is_flag = attribute.type is bool
    is_multiple = attribute.type == tuple[str, ...]
    has_default = attribute.default is not attrs.NOTHING and not is_flag and not is_multiple
    return option(
        _option_name(attribute.name),
        description=attribute.metadata["help"],
        flag=is_flag,
        multiple=is_multiple,
        default=str(attribute.default) if has_default else None,
    )


def _option_name(field_name: str) -> str:
    return field_name.replace("_", "-")


class StandinCommand(Command):
    """Command that parses the options of a stand-in and runs it."""

    program: ClassVar[Program]

    def handle(self) -> int:
        """Run the stand-in until it is stopped."""
        names = [attribute.name for attribute in attrs.fields(self.program.options_class)]
        given = {name: self.option(_option_name(name)) for name in names}
        missing = [_option_name(name) for name, value in given.items() if value is None]
        if missing:
            self.line_error(f"<error>missing options: --{' --'.join(missing)}</error>")
            return EXIT_USAGE
        asyncio.run(self.program.main(cattrs.structure(given, self.program.options_class)))
        return 0


class StandinPlatformCommand(StandinCommand):
    """Run the platform stand-in."""

    name = "standin platform"
    description = "Stand in for the platform: configuration, VM list and directory"
    program = Program(platform_server.PlatformOptions, platform_server.main)
    options = cleo_options(program.options_class)


class StandinEngineCommand(StandinCommand):
    """Run the engine stand-in."""

    name = "standin engine"
    description = "Stand in for a continuously batching engine"
    program = Program(engine.EngineOptions, engine.main)
    options = cleo_options(program.options_class)


class StandinServiceCommand(StandinCommand):
    """Run the plain service stand-in."""

    name = "standin service"
    description = "Stand in for a plain service"
    program = Program(service.ServiceOptions, service.main)
    options = cleo_options(program.options_class)


class StandinProxyCommand(StandinCommand):
    """Run the fault-injecting proxy."""

    name = "standin proxy"
    description = "Inject delay and faults into TCP connections"
    program = Program(fault_proxy.ProxyOptions, fault_proxy.main)
    options = cleo_options(program.options_class)


class StandinLoadCommand(StandinCommand):
    """Run the load tool."""

    name = "standin load"
    description = "Send requests to entry VMs and sum up what came back"
    program = Program(load.LoadOptions, load.main)
    options = cleo_options(program.options_class)


COMMANDS: list[type[Command]] = [
    StandinPlatformCommand,
    StandinEngineCommand,
    StandinServiceCommand,
    StandinProxyCommand,
    StandinLoadCommand,
]
