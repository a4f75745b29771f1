"""Decode YAML and JSON files; faults never quote a file's text."""

from collections.abc import Hashable
from pathlib import Path
from typing import Any

import orjson
import yaml
from result import Err, Ok, Result

from pomelobarrow.decision.published.checks import Fault

MAX_FILE_BYTES = 16 * 1024 * 1024
JSON_SUFFIX = ".json"
MERGE_TAG = "tag:yaml.org,2002:merge"


class _RepeatedKeyError(yaml.constructor.ConstructorError):
    """Raised if a mapping states a key twice."""


class _UniqueKeyLoader(yaml.SafeLoader):
    """Refuse a mapping that states a key twice; plain YAML would keep the last."""

    def construct_mapping(self, node: Any, deep: bool = False) -> dict[Hashable, Any]:
        """Build a mapping after a check for repeated keys."""
        seen: set[Hashable] = set()
        for key_node, _ in node.value:
            if key_node.tag == MERGE_TAG:
                continue
            key = self.construct_object(key_node, deep=True)
            if not isinstance(key, Hashable):
                continue
            if key in seen:
                raise _RepeatedKeyError(problem_mark=key_node.start_mark)
            seen.add(key)
        return super().construct_mapping(node, deep)


def read_file(path: Path) -> Result[Any, Fault]:
    """Read and decode a file, as JSON if its name ends in .json, else as YAML."""
    try:
        with path.open("rb") as file:
            content = file.read(MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as error:
        seen = getattr(error, "strerror", None) or type(error).__name__
        return Err(Fault(path=str(path), seen=seen, remedy="name a readable file"))
    if len(content) > MAX_FILE_BYTES:
        remedy = f"keep the file under {MAX_FILE_BYTES} bytes"
        return Err(Fault(path=str(path), seen="a larger file", remedy=remedy))
    decode = decode_json if path.suffix == JSON_SUFFIX else decode_yaml
    return decode(content, str(path))


def decode_json(content: bytes, path: str) -> Result[Any, Fault]:
    """Decode JSON; a fault states only the line, never its text."""
    try:
        return Ok(orjson.loads(content))
    except orjson.JSONDecodeError as error:
        return Err(
            Fault(path=f"{path}:{error.lineno}", seen="invalid JSON", remedy="correct it here")
        )


def decode_yaml(content: bytes, path: str) -> Result[Any, Fault]:
    """Decode YAML; a fault states only the line, never its text."""
    try:
        # The loader derives from SafeLoader, so it builds plain values only.
        return Ok(yaml.load(content, Loader=_UniqueKeyLoader))
    except yaml.MarkedYAMLError as error:
        # The parser's message isn't shown: it may quote part of a secret.
        line = error.problem_mark.line + 1 if error.problem_mark else 1
        seen = "a repeated key" if isinstance(error, _RepeatedKeyError) else "invalid YAML"
        return Err(Fault(path=f"{path}:{line}", seen=seen, remedy="correct it here"))
    except Exception:
        # PyYAML doesn't wrap errors of its constructors, such as ValueError on the date 2026-99-99.
        return Err(Fault(path=path, seen="invalid YAML", remedy="write it as UTF-8 YAML"))
