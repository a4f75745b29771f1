from pathlib import Path

import attr._make
import attrs
import pytest

from pomelobarrow.kernel.code_cache import recorded_code, reused_code


def define_point() -> type:
    @attrs.frozen(kw_only=True)
    class Point:
        x: int
        y: int = 2

    return Point


@pytest.fixture
def compiled(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Return the file names of all sources that Python compiles from now on."""
    names: list[str] = []

    def count(source: str, filename: str, mode: str) -> object:
        names.append(filename)
        return compile(source, filename, mode)

    monkeypatch.setattr("pomelobarrow.kernel.code_cache.compile", count, raising=False)
    return names


@pytest.fixture
def recorded(tmp_path: Path) -> Path:
    path = tmp_path / "codes"
    with recorded_code(path):
        define_point()
    return path


def test_recorded_classes_are_not_compiled_again(recorded: Path, compiled: list[str]) -> None:
    with reused_code(recorded):
        point = define_point()
    assert compiled == []
    assert point(x=1) == point(x=1, y=2)
    assert repr(point(x=1)).endswith("Point(x=1, y=2)")


def test_classes_that_were_not_recorded_are_compiled(recorded: Path, compiled: list[str]) -> None:
    with reused_code(recorded):
        other = attrs.make_class("Other", ["z"])
    assert len(compiled) == 1
    assert other(3).z == 3


@pytest.mark.parametrize("data", [b"", b"of another version", None], ids=str)
def test_unusable_file_is_ignored(recorded: Path, data: bytes | None) -> None:
    if data is None:
        recorded.write_bytes(recorded.read_bytes()[:-40])
    else:
        recorded.write_bytes(data)
    with reused_code(recorded):
        assert define_point()(x=1).y == 2


def test_missing_file_is_ignored(tmp_path: Path) -> None:
    with reused_code(tmp_path / "none"):
        assert define_point()(x=1).y == 2


def test_attrs_compiles_by_itself_after_the_imports(recorded: Path) -> None:
    with reused_code(recorded):
        pass
    assert not hasattr(attr._make, "compile")
