"""Write the code of the imported modules to the file that a start loads them from."""

import dis
import marshal
import sys
from collections.abc import Iterator
from importlib.machinery import SourceFileLoader
from pathlib import Path
from types import CodeType, ModuleType

from pomelobarrow.kernel.module_cache import HEADER, LENGTH_BYTES, Entry, source_state

OPTIMIZED_FUNCTION = 0x01 | 0x02


def record_modules(path: Path, root: Path) -> None:
    """Write the code of all modules imported so far from source files, in their order."""
    entries: dict[str, tuple[object, ...]] = {}
    codes: list[bytes] = []
    offset = 0
    for name, module, loader in _sources():
        code = loader.get_code(name)
        if code is None:
            continue
        data = marshal.dumps(without_docstrings(code))
        entry = Entry(
            offset,
            len(data),
            _relative(loader.path, root),
            hasattr(module, "__path__"),
            *source_state(loader.path),
        )
        entries[name] = tuple(entry)
        codes.append(data)
        offset += len(data)
    index = marshal.dumps(entries)
    length = len(index).to_bytes(LENGTH_BYTES, "little")
    path.write_bytes(b"".join((HEADER, length, index, *codes)))


def without_docstrings(code: CodeType) -> CodeType:
    """Return the code whose functions lack docstrings, which take memory in each process."""
    constants = [
        without_docstrings(each) if isinstance(each, CodeType) else each for each in code.co_consts
    ]
    if _holds_docstring(code):
        constants[0] = None
    return code.replace(co_consts=tuple(constants))


def _holds_docstring(code: CodeType) -> bool:
    """Return whether the first constant is a function's docstring and used for nothing else."""
    is_function = code.co_flags & OPTIMIZED_FUNCTION == OPTIMIZED_FUNCTION
    if not is_function or not code.co_consts or not isinstance(code.co_consts[0], str):
        return False
    used = {each.arg for each in dis.get_instructions(code) if each.opcode in dis.hasconst}
    return 0 not in used


def _sources() -> Iterator[tuple[str, ModuleType, SourceFileLoader]]:
    """Yield the modules that were loaded from source files under their own names."""
    for name, module in list(sys.modules.items()):
        spec = getattr(module, "__spec__", None)
        loader = spec.loader if spec is not None and spec.name == name else None
        if type(loader) is SourceFileLoader:
            yield name, module, loader


def _relative(path: str, root: Path) -> str:
    source = Path(path)
    return str(source.relative_to(root)) if source.is_relative_to(root) else path
