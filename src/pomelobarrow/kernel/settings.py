"""Read one VM's settings from its YAML file and report all faults in them."""

import enum
import re
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from attrs import Factory, field, frozen
from result import Err, Ok, Result

from pomelobarrow.decision.admission.budget_limits import VmResources
from pomelobarrow.decision.admission.retry_share import RetryBound
from pomelobarrow.decision.published.checks import (
    Fault,
    FieldSpec,
    Reader,
    choice,
    integer,
    join,
    name,
    read_fields,
    show_name,
)
from pomelobarrow.kernel.yaml_file import read_file

DEFAULT_MAX_BODY_BYTES = 8 * 1024 * 1024
LARGEST_MAX_BODY_BYTES = 256 * 1024 * 1024
DEFAULT_REVOCATION_S = 5.0
MIN_SECRET_CHARACTERS = 16
MAX_PORT = 65_535
MIN_MEMORY_BYTES = 100_000_000
MIN_DESCRIPTORS = 256

_HOST_PORT_PATTERN = re.compile(r"(?P<host>[A-Za-z0-9.-]+|\[[0-9A-Fa-f:.]+\]):(?P<port>[0-9]{1,5})")
_HOST_PORT_REMEDY = "give host:port with a port from 1 to 65535, such as 10.0.1.4:8080"
_WILDCARDS = ("0.0.0.0:", "[::]:")
_URL_PATTERN = re.compile(r"https?://(?P<address>[^/\s?#@]+)/?")
_URL_REMEDY = "give an http URL with host and port and no path, such as http://10.0.9.1:8600"
_SECRET_REMEDY = f"give a text of at least {MIN_SECRET_CHARACTERS} characters"


class TraceExporter(enum.Enum):
    """Destinations of exported spans."""

    OFF = "off"
    STDERR = "stderr"


class LogLevel(enum.Enum):
    """Least severe level that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


_TRACE_CHOICE = choice(TraceExporter)


@frozen(kw_only=True)
class CallerSettings:
    """Addresses and body limit for callers."""

    listen: str
    advertise: str
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES


@frozen(kw_only=True)
class PeerKey:
    """Shared key that authenticates peers; the first listed one signs."""

    id: str
    secret: str = field(repr=False)


@frozen(kw_only=True)
class PeerSettings:
    """Addresses for peers, their keys and the peers to contact first."""

    listen: str
    advertise: str
    keys: tuple[PeerKey, ...]
    seeds: tuple[str, ...] = ()


@frozen(kw_only=True)
class PlatformSettings:
    """Addresses of the platform."""

    addresses: tuple[str, ...]


@frozen(kw_only=True)
class RelaySettings:
    """Addresses and limits of the relay, which forwards requests unchanged."""

    front_listen: str
    readiness_listen: str
    directory_listen: str
    # Where peers of other regions send requests; the port is the same on all VMs.
    hop_listen: str
    region_by_failure_domain: Mapping[str, str]
    # A planned stop that takes longer is aborted.
    stop_timeout_s: float
    # The longest time for which clients may cache an answer of the directory.
    max_directory_ttl_s: float
    retry_bound: RetryBound
    # The time in which the revocation of an account's key takes effect.
    revocation_s: float = DEFAULT_REVOCATION_S
    # Whether a VM that can't confirm its configuration must refuse all requests with a key.
    is_revocation_strict: bool = False
    # The time in which a new configuration takes effect on all VMs.
    config_apply_s: float = 0.0
    # Whether the whole system starts for the first time, so that no stream is older than this VM.
    is_first_start: bool = False
    # By how much all VMs together may exceed an account's limit in a burst, in the limit's unit.
    limit_tolerance: float = 0.0

    @property
    def hop_port(self) -> int:
        """Return the port on which VMs accept requests from peers of other regions."""
        return int(self.hop_listen.rpartition(":")[2])


@frozen(kw_only=True)
class OperatorSettings:
    """Log level and export of traces."""

    log_level: LogLevel = LogLevel.INFO
    trace: TraceExporter = TraceExporter.OFF


@frozen(kw_only=True)
class Settings:
    """Settings of one VM."""

    vm: str
    region: str
    failure_domain: str
    callers: CallerSettings
    peers: PeerSettings
    platform: PlatformSettings
    operators: OperatorSettings = Factory(OperatorSettings)
    # Bounds what clients may make this process hold.
    resources: VmResources = Factory(VmResources)
    # None if no relay runs; requests then arrive only through the callers' HTTP server.
    relay: RelaySettings | None = None
    # Maps an advertised address to the address to dial instead, such as a proxy's in a test.
    dial: Mapping[str, str] = Factory(dict)

    def address_to_dial(self, address: str) -> str:
        """Return where to connect in order to reach an advertised address."""
        return self.dial.get(address, address)


@frozen(kw_only=True)
class _Section:
    """How one section of the file is read and built."""

    specs: Mapping[str, FieldSpec]
    build: Callable[..., Any]
    required: bool = True


def load_settings(path: str | Path) -> Result[Settings, tuple[Fault, ...]]:
    """Read a settings file; a relative secret_file is resolved against its directory."""
    match read_file(Path(path)):
        case Ok(decoded):
            return check_settings(decoded, Path(path).parent)
        case Err(fault):
            return Err((fault,))


def check_settings(decoded: object, directory: Path) -> Result[Settings, tuple[Fault, ...]]:
    """Check decoded settings and return all faults; secret files are read from the directory."""
    fields, faults = read_fields("", decoded, _TOP_SPECS)
    for section_name, section in _SECTIONS.items():
        if section_name not in fields:
            continue
        section_fields, found = read_fields(section_name, fields[section_name], section.specs)
        if section_name == "peers" and "keys" in section_fields:
            keys, key_faults = _read_keys(section_fields["keys"], directory)
            section_fields["keys"] = keys
            found.extend(key_faults)
        faults.extend(found)
        if not found:
            fields[section_name] = section.build(**section_fields)
    return Err(tuple(faults)) if faults else Ok(Settings(**fields))


def _any_value(value: Any) -> Result[Any, str]:
    return Ok(value)


def _host_port(value: Any) -> Result[Any, str]:
    match = _HOST_PORT_PATTERN.fullmatch(value) if isinstance(value, str) else None
    if match is None or not 0 < int(match["port"]) <= MAX_PORT:
        return Err(_HOST_PORT_REMEDY)
    return Ok(value)


def _advertised_address(value: Any) -> Result[Any, str]:
    if isinstance(value, str) and value.startswith(_WILDCARDS):
        return Err("give the address that others reach this VM by, not a wildcard")
    return _host_port(value)


def _url(value: Any) -> Result[Any, str]:
    match = _URL_PATTERN.fullmatch(value) if isinstance(value, str) else None
    if match is None or _host_port(match["address"]).is_err():
        return Err(_URL_REMEDY)
    return Ok(value.rstrip("/"))


def _path(value: Any) -> Result[Any, str]:
    if not isinstance(value, str) or not value or "\0" in value:
        return Err("give the path of a file")
    return Ok(value)


def _trace(value: Any) -> Result[Any, str]:
    # YAML reads a bare off as false.
    return _TRACE_CHOICE(TraceExporter.OFF.value if value is False else value)


def _list_of(reader: Reader, *, least: int) -> Reader:
    def read(value: Any) -> Result[Any, str]:
        if not isinstance(value, list) or len(value) < least:
            return Err(f"give a list of at least {least}")
        items = []
        for item in value:
            match reader(item):
                case Ok(read_item):
                    items.append(read_item)
                case Err(remedy):
                    return Err(f"in each entry, {remedy}")
        return Ok(tuple(items))

    return read


def _dial(value: Any) -> Result[Any, str]:
    remedy = f"give a mapping from advertised to dialled address; {_HOST_PORT_REMEDY}"
    if not isinstance(value, dict):
        return Err(remedy)
    if any(_host_port(address).is_err() for pair in value.items() for address in pair):
        return Err(remedy)
    return Ok(dict(value))


def _secret(value: Any) -> Result[Any, str]:
    if not isinstance(value, str) or len(value) < MIN_SECRET_CHARACTERS:
        return Err(_SECRET_REMEDY)
    return Ok(value)


def _read_keys(
    entries: tuple[Any, ...], directory: Path
) -> tuple[tuple[PeerKey, ...], list[Fault]]:
    keys: list[PeerKey] = []
    faults: list[Fault] = []
    for index, entry in enumerate(entries):
        match _read_key(f"peers.keys[{index}]", entry, directory):
            case Ok(key):
                keys.append(key)
            case Err(found):
                faults.extend(found)
    ids = [key.id for key in keys]
    for repeated in sorted({id_ for id_ in ids if ids.count(id_) > 1}):
        remedy = "give each key its own id"
        faults.append(
            Fault(path="peers.keys", seen=f"id {show_name(repeated)} twice", remedy=remedy)
        )
    return tuple(keys), faults


def _read_key(path: str, entry: object, directory: Path) -> Result[PeerKey, list[Fault]]:
    fields, faults = read_fields(path, entry, _KEY_SPECS)
    if faults:
        return Err(faults)
    if ("secret" in fields) == ("secret_file" in fields):
        seen = "both secret and secret_file" if "secret" in fields else "no secret"
        remedy = "give either secret or secret_file"
        return Err([Fault(path=path, seen=seen, remedy=remedy)])
    if "secret" in fields:
        return Ok(PeerKey(id=fields["id"], secret=fields["secret"]))
    secret = _read_secret_file(join(path, "secret_file"), directory / fields["secret_file"])
    return secret.map(lambda text_: PeerKey(id=fields["id"], secret=text_)).map_err(
        lambda fault: [fault]
    )


def _read_secret_file(path: str, secret_file: Path) -> Result[str, Fault]:
    try:
        secret = secret_file.read_text(encoding="utf-8").strip()
    except (OSError, ValueError) as error:
        seen = getattr(error, "strerror", None) or "no UTF-8 text file"
        return Err(Fault(path=path, seen=seen, remedy="name a readable file with the secret"))
    if len(secret) < MIN_SECRET_CHARACTERS:
        seen = f"a secret of {len(secret)} characters"
        return Err(Fault(path=path, seen=seen, remedy=_SECRET_REMEDY))
    return Ok(secret)


_KEY_SPECS = {
    "id": FieldSpec(reader=name, required=True),
    "secret": FieldSpec(reader=_secret, secret=True),
    "secret_file": FieldSpec(reader=_path),
}
_SECTIONS = {
    "callers": _Section(
        specs={
            "listen": FieldSpec(reader=_host_port, required=True),
            "advertise": FieldSpec(reader=_advertised_address, required=True),
            "max_body_bytes": FieldSpec(reader=integer(least=1024, most=LARGEST_MAX_BODY_BYTES)),
        },
        build=CallerSettings,
    ),
    "peers": _Section(
        specs={
            "listen": FieldSpec(reader=_host_port, required=True),
            "advertise": FieldSpec(reader=_advertised_address, required=True),
            "keys": FieldSpec(reader=_list_of(_any_value, least=1), required=True, secret=True),
            "seeds": FieldSpec(reader=_list_of(_host_port, least=0)),
        },
        build=PeerSettings,
    ),
    "platform": _Section(
        specs={"addresses": FieldSpec(reader=_list_of(_url, least=1), required=True)},
        build=PlatformSettings,
    ),
    "operators": _Section(
        specs={
            "log_level": FieldSpec(reader=choice(LogLevel)),
            "trace": FieldSpec(reader=_trace),
        },
        build=OperatorSettings,
        required=False,
    ),
    "resources": _Section(
        specs={
            "memory_bytes": FieldSpec(reader=integer(least=MIN_MEMORY_BYTES, most=1 << 40)),
            "descriptors": FieldSpec(reader=integer(least=MIN_DESCRIPTORS, most=1 << 30)),
        },
        build=VmResources,
        required=False,
    ),
}
_TOP_SPECS = {
    "vm": FieldSpec(reader=name, required=True),
    "region": FieldSpec(reader=name, required=True),
    "failure_domain": FieldSpec(reader=name, required=True),
    **{
        section_name: FieldSpec(reader=_any_value, required=section.required)
        for section_name, section in _SECTIONS.items()
    },
    "dial": FieldSpec(reader=_dial),
}
