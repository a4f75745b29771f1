"""The platform's settings file is translated into settings or into faults with remedies."""

from pathlib import Path
from typing import Any

import pytest
import yaml

from pomelobarrow.platform.settings import METRICS_PORT, load_settings, translate_settings

SETTINGS: dict[str, Any] = {
    "Node": "front-a-1",
    "Ip": "10.1.0.35",
    "Zone": "a",
    "Region": "ra",
    "Zones": {"a": "ra", "b": "rb"},
    "Listen": {
        "Front": "10.1.0.35:8144",
        "Ready": "10.1.0.35:8140",
        "Control": "10.1.0.35:8146",
        "Directory": "10.1.0.35:8143",
    },
    "InternalPorts": [7660, 7675],
    "Seeds": ["10.1.0.35:8146", "10.2.0.28:8146"],
    "Bounds": {
        "GraceS": 8,
        "BudgetRatio": 0.2,
        "BudgetWindowS": 10,
        "BudgetSlack": 54,
        "ttl_max_s": 5,
    },
    "Platform": {"Address": "10.200.1.7:8142"},
    "NewField": "left aside",
}


def test_addresses_are_translated() -> None:
    settings = translate_settings(SETTINGS).ok_value
    assert settings is not None
    assert settings.relay is not None
    assert settings.callers.advertise == settings.relay.front_listen == "10.1.0.35:8144"
    assert settings.callers.listen == f"10.1.0.35:{METRICS_PORT}"
    assert settings.peers.listen == "10.1.0.35:8146"
    assert settings.platform.addresses == ("http://10.200.1.7:8142",)
    assert settings.relay.hop_port == 7660


def test_own_address_is_not_a_seed() -> None:
    settings = translate_settings(SETTINGS).ok_value
    assert settings is not None
    assert settings.peers.seeds == ("10.2.0.28:8146",)


@pytest.mark.parametrize("missing", ["Node", "Listen", "Bounds", "Platform", "InternalPorts"])
def test_missing_field_is_named_with_a_remedy(missing: str) -> None:
    broken = {name: value for name, value in SETTINGS.items() if name != missing}
    [fault] = translate_settings(broken).err_value or ()
    assert str(fault) == (
        f"settings: found KeyError('{missing}'); "
        "provide the settings file that the platform's documentation describes"
    )


def test_file_is_found_by_the_environment(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "settings.yaml"
    path.write_text(yaml.safe_dump(SETTINGS))
    monkeypatch.setenv("POMELOBARROW_SETTINGS", str(path))
    assert load_settings() == translate_settings(SETTINGS)


def test_unset_environment_is_a_fault(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv("POMELOBARROW_SETTINGS", raising=False)
    [fault] = load_settings().err_value or ()
    assert str(fault).startswith("environment: found no POMELOBARROW_SETTINGS; set it")


@pytest.mark.parametrize(
    ("stated", "is_first_start"),
    [({}, False), ({"Bootstrap": False}, False), ({"Bootstrap": True}, True)],
)
def test_first_start_of_the_whole_system_is_translated(
    stated: dict[str, bool], is_first_start: bool
) -> None:
    """A VM that took a restart for the first start would assume versions that it can't know."""
    relay = translate_settings(SETTINGS | stated).unwrap().relay
    assert relay is not None
    assert relay.is_first_start is is_first_start
