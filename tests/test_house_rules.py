import ast
import re
import subprocess
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "src" / "pomelobarrow"
DECISION = PACKAGE / "decision"
GENERATED = re.compile(r"_(pb2|grpc)\.pyi?$")
MAX_LINES = 400
# Modules that read a clock, do I/O or implement a protocol; decision/ gets such input as arguments.
IMPURE_MODULES = {
    "aiohttp",
    "asyncio",
    "grpclib",
    "logging",
    "mode",
    "os",
    "pathlib",
    "secrets",
    "socket",
    "structlog",
    "subprocess",
    "threading",
    "time",
}
PLATFORM_NAMES = re.compile(
    "Request-Deadline|Target-Instance|Response-Seal|Not-Executed|Server-Load|Prompt-Prefix"
    "|StoreRevision|kv-watch|kv-range|HomeRegions|TimeoutMs|GoalMs|InternalPorts|ColdLeftMs"
)
MACHINE_PATH = re.compile(r"(?<![\w.:/-])/(?:work|root|home|tmp|opt|Users)/\w")


def imported_modules(source: Path) -> Iterator[str]:
    package = ".".join(source.relative_to(PACKAGE.parent).parts[:-1])
    for node in ast.walk(ast.parse(source.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.level:
            yield f"{package}.{node.module or ''}"
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module


def tracked_files() -> list[Path]:
    listed = subprocess.run(["git", "ls-files", "-z"], cwd=ROOT, capture_output=True, check=True)
    return [ROOT / name for name in listed.stdout.decode().split("\0") if name]


def test_decision_imports_no_other_package() -> None:
    foreign = [
        f"{source.name} imports {module}"
        for source in DECISION.rglob("*.py")
        for module in imported_modules(source)
        if module.partition(".")[0] == PACKAGE.name
        and not module.startswith("pomelobarrow.decision")
    ]
    assert foreign == []


def test_decision_reads_no_clock_and_does_no_io() -> None:
    impure = [
        f"{source.name} imports {module}"
        for source in DECISION.rglob("*.py")
        for module in imported_modules(source)
        if module.partition(".")[0] in IMPURE_MODULES
    ]
    assert impure == []


def test_only_the_command_line_names_the_standins() -> None:
    naming = {
        source.relative_to(PACKAGE).as_posix()
        for source in PACKAGE.rglob("*.py")
        if PACKAGE / "standin" not in source.parents
        and "standin" in source.read_text(encoding="utf-8")
    }
    assert naming == {"operators/cli.py"}


def test_only_the_adapter_names_the_platforms_headers_and_fields() -> None:
    """The platform's names are translated in one place; other code uses the project's own names."""
    naming = {
        source.relative_to(PACKAGE).as_posix()
        for source in PACKAGE.rglob("*.py")
        if not {PACKAGE / "platform", PACKAGE / "standin"} & set(source.parents)
        and PLATFORM_NAMES.search(source.read_text(encoding="utf-8"))
    }
    assert naming == set()


def test_adapter_only_translates() -> None:
    """Decisions and lasting state belong to the product's own packages."""
    deciding = [
        f"{source.name} imports {module}"
        for source in (PACKAGE / "platform").glob("*.py")
        for module in imported_modules(source)
        if module in ("random", "mode") and source.name != "store.py"
    ]
    assert deciding == []


def test_files_are_short() -> None:
    lengths = {
        path.relative_to(ROOT).as_posix(): len(path.read_text(encoding="utf-8").splitlines())
        for path in tracked_files()
        if path.suffix == ".py" and path.exists() and not GENERATED.search(path.name)
    }
    assert {name: count for name, count in lengths.items() if count > MAX_LINES} == {}


def test_tracked_files_name_no_machine_paths() -> None:
    found = [
        f"{path.relative_to(ROOT)}:{number}"
        for path in tracked_files()
        if path.exists()
        for number, line in enumerate(path.read_text("utf-8", "replace").splitlines(), 1)
        if MACHINE_PATH.search(line)
    ]
    assert found == []


@pytest.mark.parametrize("name", ["/tmp" + "/x", " /home" + "/shop/x"])
def test_machine_paths_are_recognised(name: str) -> None:
    assert MACHINE_PATH.search(name)
