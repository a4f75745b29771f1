"""Reuse the code of regular expressions that modules compile when they are imported.

The libraries of the daemon compile some 150. That takes a twelfth of the processor time of a start.
"""

import _sre
import importlib.util
import marshal
import re
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

# Another version of Python can't run the code, so that its files are ignored.
_HEADER = importlib.util.MAGIC_NUMBER + _sre.MAGIC.to_bytes(4, "little")
_Arguments = tuple[Any, ...]
_compiler: Any = re._compiler  # type: ignore[attr-defined]


@contextmanager
def reused_patterns(path: Path) -> Iterator[None]:
    """Take the code of patterns compiled inside from a file; compile what the file lacks."""
    known, compile_pattern = _read(path), _compiler.compile

    def compile_once(pattern: Any, flags: int = 0) -> re.Pattern[Any]:
        arguments = known.get((pattern, int(flags))) if _is_text(pattern) else None
        if arguments is None:
            compiled: re.Pattern[Any] = compile_pattern(pattern, flags)
            return compiled
        return _sre.compile(*arguments)

    with _replaced("compile", compile_once):
        yield


@contextmanager
def recorded_patterns(path: Path) -> Iterator[None]:
    """Write the code of all patterns that are compiled inside to a file."""
    recorded: dict[tuple[str | bytes, int], _Arguments] = {}
    compile_pattern = _compiler.compile

    def compile_and_record(pattern: Any, flags: int = 0) -> re.Pattern[Any]:
        matcher = _Matcher()
        with _replaced("_sre", matcher):
            compiled: re.Pattern[Any] = compile_pattern(pattern, flags)
        if _is_text(pattern):
            recorded[pattern, int(flags)] = matcher.arguments
        return compiled

    with _replaced("compile", compile_and_record):
        yield
    path.write_bytes(_HEADER + marshal.dumps(recorded))


class _Matcher:
    """Stand in for the module that runs patterns, and note the code that it is given."""

    def __init__(self) -> None:
        self.arguments: _Arguments = ()

    def __getattr__(self, name: str) -> Any:
        return getattr(_sre, name)

    def compile(
        self, pattern: Any, flags: int, code: list[int], groups: int, *names: Any
    ) -> re.Pattern[Any]:
        index, group_names = names
        numbers = [int(each) for each in code]
        self.arguments = (pattern, int(flags), numbers, groups, dict(index), tuple(group_names))
        return _sre.compile(*self.arguments)


@contextmanager
def _replaced(name: str, replacement: Callable[..., Any] | _Matcher) -> Iterator[None]:
    # The module offers no hook.
    original = getattr(_compiler, name)
    setattr(_compiler, name, replacement)
    try:
        yield
    finally:
        setattr(_compiler, name, original)


def _is_text(pattern: object) -> bool:
    return type(pattern) in (str, bytes)


def _read(path: Path) -> dict[tuple[str | bytes, int], _Arguments]:
    try:
        data = path.read_bytes()
        known = marshal.loads(data.removeprefix(_HEADER)) if data.startswith(_HEADER) else {}
    except (OSError, EOFError, TypeError, ValueError):
        return {}
    return known if isinstance(known, dict) else {}
