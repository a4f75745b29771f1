"""Load modules from one file that the build writes, in place of a file for each.

Finding, opening and checking a compiled file for each of several hundred modules takes a fifth of
the processor time of a start, and after a loss of power nothing is served until the daemon has
started.
"""

import importlib.util
import marshal
import os
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from importlib.machinery import ModuleSpec, SourceFileLoader
from pathlib import Path
from types import CodeType, ModuleType
from typing import BinaryIO, NamedTuple

# Another version of Python can't run the code, so that its files are ignored.
HEADER = importlib.util.MAGIC_NUMBER
LENGTH_BYTES = 4


class Entry(NamedTuple):
    """Where a module's code is in the file, and the source that it was compiled from."""

    offset: int
    length: int
    # Relative to the repository's root if it lies there, which may be mounted elsewhere later.
    path: str
    is_package: bool
    source_mtime_ns: int
    source_bytes: int


@contextmanager
def reused_modules(path: Path, root: Path) -> Iterator[None]:
    """Load modules imported inside from a file; those that it lacks are loaded as usual."""
    try:
        file = path.open("rb")
    except OSError:
        yield
        return
    with file:
        finder = _Finder(file, str(root))
        sys.meta_path.insert(0, finder)
        try:
            yield
        finally:
            sys.meta_path.remove(finder)


def source_state(path: str) -> tuple[int, int]:
    """Return what changes when a source file is edited; raise OSError if there is none."""
    state = os.stat(path)
    return state.st_mtime_ns, state.st_size


class _Finder:
    """Find the modules of a file whose sources haven't changed since."""

    def __init__(self, file: BinaryIO, root: str) -> None:
        self._file = file
        self._root = root
        self._entries, self._start = _read_index(file)

    def find_spec(
        self, name: str, path: object = None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        """Return how to load a module, None to leave it to the other finders."""
        entry = self._entries.get(name)
        if entry is None:
            return None
        source = os.path.join(self._root, entry.path)
        if not _is_current(entry, source):
            return None
        loader = _Loader(name, source, self._file, self._start + entry.offset, entry.length)
        spec = ModuleSpec(name, loader, origin=source, is_package=entry.is_package)
        spec.has_location = True
        if entry.is_package:
            spec.submodule_search_locations = [os.path.dirname(source)]
        return spec


class _Loader(SourceFileLoader):
    """Load one module; all but its code comes from its source file as usual."""

    def __init__(self, name: str, path: str, file: BinaryIO, offset: int, length: int) -> None:
        super().__init__(name, path)
        self._file = file
        self._offset = offset
        self._length = length

    def get_code(self, fullname: str) -> CodeType | None:
        """Return the module's code."""
        if self._file.closed:
            return super().get_code(fullname)
        self._file.seek(self._offset)
        code: CodeType = marshal.loads(self._file.read(self._length))
        return code


def _read_index(file: BinaryIO) -> tuple[dict[str, Entry], int]:
    """Return the modules of a file and where their code begins."""
    if file.read(len(HEADER)) != HEADER:
        return {}, 0
    length = int.from_bytes(file.read(LENGTH_BYTES), "little")
    try:
        index = marshal.loads(file.read(length))
    except (EOFError, TypeError, ValueError):
        return {}, 0
    entries = {name: Entry(*values) for name, values in index.items()}
    return entries, len(HEADER) + LENGTH_BYTES + length


def _is_current(entry: Entry, source: str) -> bool:
    try:
        return source_state(source) == (entry.source_mtime_ns, entry.source_bytes)
    except OSError:
        return False
