"""Reuse the code that attrs generates for classes, compiled once at build.

attrs writes the methods of a class as source text and compiles it at import. For the daemon's
classes that takes a fifth of the processor time of a start, and after a loss of power nothing is
served until the daemon has started.
"""

import hashlib
import importlib.util
import marshal
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from types import CodeType
from typing import Any

import attr._make

# Another version of Python can't run the code, so that its files are ignored.
_HEADER = importlib.util.MAGIC_NUMBER
_DIGEST_BYTES = 12
_Compile = Callable[..., Any]


@contextmanager
def reused_code(path: Path) -> Iterator[None]:
    """Take the code of classes defined inside from a file; compile what the file lacks."""
    codes = _read(path)

    def compile_once(source: str, filename: str, mode: str) -> Any:
        return codes.pop(_key(source, filename), None) or compile(source, filename, mode)

    with _replaced_compile(compile_once):
        yield


@contextmanager
def recorded_code(path: Path) -> Iterator[None]:
    """Write the code of all classes that are defined inside to a file."""
    codes: dict[bytes, CodeType] = {}

    def compile_and_record(source: str, filename: str, mode: str) -> Any:
        code = codes[_key(source, filename)] = compile(source, filename, mode)
        return code

    with _replaced_compile(compile_and_record):
        yield
    path.write_bytes(_HEADER + marshal.dumps(codes))


@contextmanager
def _replaced_compile(replacement: _Compile) -> Iterator[None]:
    # attrs offers no hook. A global of its module shadows the built-in function.
    attr._make.compile = replacement  # type: ignore[attr-defined]
    try:
        yield
    finally:
        del attr._make.compile  # type: ignore[attr-defined]


def _read(path: Path) -> dict[bytes, CodeType]:
    try:
        data = path.read_bytes()
    except OSError:
        return {}
    if not data.startswith(_HEADER):
        return {}
    try:
        codes = marshal.loads(data[len(_HEADER) :])
    except (EOFError, TypeError, ValueError):
        return {}
    return codes if isinstance(codes, dict) else {}


def _key(source: str, filename: str) -> bytes:
    text = f"{filename}\0{source}".encode()
    return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()
