"""Validate published values as a whole and build the configuration from them."""

import re
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any

import cattrs
from attrs import define, field, frozen
from result import Err, Ok, Result

from pomelobarrow.decision.published.accounts import MAX_REQUESTS_IN_FLIGHT, MAX_REQUESTS_PER_S
from pomelobarrow.decision.published.checks import (
    NAME_PATTERN,
    NAME_REMEDY,
    Fault,
    FieldSpec,
    boolean,
    choice,
    describe,
    describe_kind,
    integer,
    name,
    number,
    optional,
    read_fields,
    show_name,
    text,
)
from pomelobarrow.decision.published.configuration import (
    Account,
    Configuration,
    ModelSpec,
    Objective,
    Pool,
    PoolKind,
    Rank,
    WorkClass,
)
from pomelobarrow.decision.published.routing import Routing

__all__ = ["ConfigurationChecker", "Fault", "check_configuration"]

DEPLOYMENT_KEY = "deployment"
ROUTING_KEY = "routing"
EVACUATIONS = "evacuations"
MAX_TARGET_S = 7 * 86_400
MAX_TOKENS_PER_ACCOUNT = 64

_SHA256_PATTERN = re.compile(r"[0-9a-f]{64}")
_SHA256_REMEDY = "give the sha256 of each bearer token as 64 lower-case hex digits"
_TARGET_S = number(above=0, most=MAX_TARGET_S)


@frozen(kw_only=True)
class _Section:
    """How the values under one key prefix are read, checked and built."""

    specs: Mapping[str, FieldSpec]
    build: Callable[..., Any]
    check: Callable[[str, Mapping[str, Any]], list[Fault]]
    required: bool


@frozen(kw_only=True)
class _Parsed:
    """Cached result of parsing one key's value, reused while the value is unchanged."""

    value: object
    section: str = ""
    name: str = ""
    fields: Mapping[str, Any] = field(factory=dict)
    item: Any = None
    faults: tuple[Fault, ...] = ()


# Parsed values by section and item name.
_Sections = Mapping[str, Mapping[str, _Parsed]]


def _token_hashes(value: Any) -> Result[Any, str]:
    if not isinstance(value, list | tuple) or not 0 < len(value) <= MAX_TOKENS_PER_ACCOUNT:
        return Err(f"give a list of 1 to {MAX_TOKENS_PER_ACCOUNT} token hashes")
    read = text(_SHA256_PATTERN, _SHA256_REMEDY)
    if any(read(token_hash).is_err() for token_hash in value):
        return Err(_SHA256_REMEDY)
    return Ok(tuple(value))


def _check_class(path: str, fields: Mapping[str, Any]) -> list[Fault]:
    faults = []
    if fields.get("home_bound") and fields.get("max_share_outside_home", 0) > 0:
        faults.append(
            Fault(
                path=f"{path}.max_share_outside_home",
                seen=describe(fields["max_share_outside_home"]),
                remedy="set it to 0 or leave it out: a home-bound class never leaves its region",
            )
        )
    if fields.get("finish_target_s", MAX_TARGET_S) < fields.get("first_token_target_s", 0):
        faults.append(
            Fault(
                path=f"{path}.finish_target_s",
                seen=describe(fields["finish_target_s"]),
                remedy="give at least first_token_target_s",
            )
        )
    return faults


def _check_pool(path: str, fields: Mapping[str, Any]) -> list[Fault]:
    kind, service = fields.get("kind"), fields.get("service")
    remedy_by_mismatch = {
        (PoolKind.SERVICE, False): "name the service: callers reach it under /services/NAME",
        (PoolKind.ENGINE, True): "remove it, or set kind to service",
    }
    remedy = remedy_by_mismatch.get((kind, service is not None)) if kind else None
    if remedy is None:
        return []
    return [Fault(path=f"{path}.service", seen=describe(service), remedy=remedy)]


def _no_check(path: str, fields: Mapping[str, Any]) -> list[Fault]:
    return []


def _build_class(**fields: Any) -> WorkClass:
    if fields.get("home_bound"):
        fields["max_share_outside_home"] = 0.0
    return WorkClass(**fields)


_SECTIONS = {
    "pools": _Section(
        specs={
            "kind": FieldSpec(reader=choice(PoolKind), required=True),
            "service": FieldSpec(reader=optional(name)),
            "role": FieldSpec(reader=name),
        },
        build=Pool,
        check=_check_pool,
        required=True,
    ),
    "classes": _Section(
        specs={
            "pool": FieldSpec(reader=name, required=True),
            "rank": FieldSpec(reader=choice(Rank)),
            "home_bound": FieldSpec(reader=boolean),
            "repeatable": FieldSpec(reader=boolean),
            "max_share_outside_home": FieldSpec(reader=number(least=0, most=1)),
            "first_token_target_s": FieldSpec(reader=_TARGET_S, required=True),
            "finish_target_s": FieldSpec(reader=_TARGET_S, required=True),
        },
        build=_build_class,
        check=_check_class,
        required=True,
    ),
    "models": _Section(
        specs={
            "pool": FieldSpec(reader=name, required=True),
            "version": FieldSpec(reader=name),
        },
        build=ModelSpec,
        check=_no_check,
        required=False,
    ),
    "accounts": _Section(
        specs={
            # An operator may have entered a token instead of its hash, so the value isn't shown.
            "token_sha256": FieldSpec(reader=_token_hashes, required=True, secret=True),
            "rank": FieldSpec(reader=choice(Rank)),
            "home_region": FieldSpec(reader=optional(name)),
            "max_requests_per_s": FieldSpec(
                reader=number(above=0, most=MAX_REQUESTS_PER_S), required=True
            ),
            "max_requests_in_flight": FieldSpec(
                reader=integer(least=1, most=MAX_REQUESTS_IN_FLIGHT), required=True
            ),
        },
        build=Account,
        check=_no_check,
        required=True,
    ),
}
_DEPLOYMENT_SPECS = {"objective": FieldSpec(reader=choice(Objective), required=True)}
_KEY_REMEDY = "remove it; keys are deployment, " + ", ".join(f"{s}/NAME" for s in _SECTIONS)


@define
class ConfigurationChecker:
    """Validate whole configurations, parsing again only the values that changed.

    A value counts as unchanged while it is the same object, so values must not be mutated.
    """

    _parsed: dict[Any, _Parsed] = field(factory=dict)

    def check(
        self, values: Mapping[str, Any], revision: int
    ) -> Result[Configuration, tuple[Fault, ...]]:
        """Check every value and reference; return the configuration or all faults."""
        if not isinstance(values, Mapping):
            remedy = "give a mapping from keys to values"
            return Err((Fault(path="configuration", seen=describe_kind(values), remedy=remedy),))
        self._parsed = {key: self._parse(key, value) for key, value in values.items()}
        faults = [fault for parsed in self._parsed.values() for fault in parsed.faults]
        sections = _by_section(self._parsed.values())
        if ROUTING_KEY not in values:
            faults.extend(_missing_sections(sections))
        for check in _REFERENCE_CHECKS:
            faults.extend(check(sections))
        if faults:
            return Err(tuple(faults))
        return Ok(_build(revision, self._parsed, sections))

    def _parse(self, key: Any, value: object) -> _Parsed:
        known = self._parsed.get(key)
        if known is not None and known.value is value:
            return known
        return _parse_value(key, value)


def check_configuration(
    values: Mapping[str, Any], revision: int
) -> Result[Configuration, tuple[Fault, ...]]:
    """Check a whole configuration without a cache."""
    return ConfigurationChecker().check(values, revision)


def _parse_value(key: object, value: object) -> _Parsed:
    if key == DEPLOYMENT_KEY:
        fields, faults = read_fields(DEPLOYMENT_KEY, value, _DEPLOYMENT_SPECS)
        return _Parsed(value=value, fields=fields, faults=tuple(faults))
    if key == ROUTING_KEY:
        return _parse_routing(value)
    section_name, _, item_name = key.partition("/") if isinstance(key, str) else ("", "", "")
    if section_name == EVACUATIONS:
        return _Parsed(value=value)
    section = _SECTIONS.get(section_name)
    if section is None:
        return _bad_key(value, show_name(key), "an unknown key", _KEY_REMEDY)
    if not NAME_PATTERN.fullmatch(item_name):
        return _bad_key(value, describe(key), f"the name {describe(item_name)}", NAME_REMEDY)
    path = f"{section_name}/{item_name}"
    fields, faults = read_fields(path, value, section.specs)
    faults.extend(section.check(path, fields))
    return _Parsed(
        value=value,
        section=section_name,
        name=item_name,
        fields=fields,
        item=None if faults else section.build(name=item_name, **fields),
        faults=tuple(faults),
    )


def _parse_routing(value: object) -> _Parsed:
    try:
        return _Parsed(value=value, item=cattrs.structure(value, Routing))
    except (cattrs.BaseValidationError, TypeError, ValueError) as error:
        seen = "; ".join(cattrs.transform_error(error, path=ROUTING_KEY)[:3])
        fault = Fault(path=ROUTING_KEY, seen=seen, remedy="publish a corrected version")
        return _Parsed(value=value, faults=(fault,))


def _bad_key(value: object, path: str, seen: str, remedy: str) -> _Parsed:
    return _Parsed(value=value, faults=(Fault(path=path, seen=seen, remedy=remedy),))


def _by_section(parsed_values: Iterable[_Parsed]) -> _Sections:
    sections: dict[str, dict[str, _Parsed]] = {section_name: {} for section_name in _SECTIONS}
    for parsed in parsed_values:
        if parsed.section:
            sections[parsed.section][parsed.name] = parsed
    return sections


def _missing_sections(sections: _Sections) -> Iterator[Fault]:
    # A daemon that served with an empty or partly read keyspace would refuse every caller.
    for section_name, section in _SECTIONS.items():
        if section.required and not sections[section_name]:
            remedy = f"publish at least one key {section_name}/NAME"
            yield Fault(path=section_name, seen="nothing", remedy=remedy)


def _pool_references(sections: _Sections) -> Iterator[Fault]:
    pools = sections["pools"]
    for section_name in ("classes", "models"):
        for item_name, parsed in sections[section_name].items():
            pool = parsed.fields.get("pool")
            if pool is not None and pool not in pools:
                known = ", ".join(sorted(pools)) or "(no pool is published)"
                remedy = f"publish pools/{pool} or name one of {known}"
                path = f"{section_name}/{item_name}.pool"
                yield Fault(path=path, seen=describe(pool), remedy=remedy)


def _model_pool_kinds(sections: _Sections) -> Iterator[Fault]:
    for item_name, parsed in sections["models"].items():
        pool = sections["pools"].get(parsed.fields.get("pool", ""))
        if pool is not None and pool.fields.get("kind") is PoolKind.SERVICE:
            yield Fault(
                path=f"models/{item_name}.pool",
                seen=f"{describe(pool.name)}, a pool of kind service",
                remedy="name a pool of kind engine",
            )


def _duplicate_services(sections: _Sections) -> Iterator[Fault]:
    pool_by_service: dict[str, str] = {}
    for pool_name, parsed in sections["pools"].items():
        service = parsed.fields.get("service")
        if service is None:
            continue
        first = pool_by_service.setdefault(service, pool_name)
        if first != pool_name:
            remedy = f"name another service: pools/{first} serves this one"
            yield Fault(path=f"pools/{pool_name}.service", seen=describe(service), remedy=remedy)


def _duplicate_tokens(sections: _Sections) -> Iterator[Fault]:
    first_path_by_hash: dict[str, str] = {}
    for account_name, parsed in sections["accounts"].items():
        for index, token_hash in enumerate(parsed.fields.get("token_sha256", ())):
            path = f"accounts/{account_name}.token_sha256[{index}]"
            first_path = first_path_by_hash.setdefault(token_hash, path)
            if first_path != path:
                seen = f"the same hash as {first_path}"
                remedy = "give each token to one account, once"
                yield Fault(path=path, seen=seen, remedy=remedy)


def _names_under(section_name: str, keys: Iterable[Any]) -> Iterator[str]:
    prefix = f"{section_name}/"
    return (key.removeprefix(prefix) for key in keys if str(key).startswith(prefix))


_REFERENCE_CHECKS = (_pool_references, _model_pool_kinds, _duplicate_services, _duplicate_tokens)


def _build(
    revision: int, parsed_by_key: Mapping[Any, _Parsed], sections: _Sections
) -> Configuration:
    deployment, routing = parsed_by_key.get(DEPLOYMENT_KEY), parsed_by_key.get(ROUTING_KEY)
    tables: dict[str, dict[str, Any]] = {
        section_name: {item_name: parsed.item for item_name, parsed in items.items()}
        for section_name, items in sections.items()
    }
    objective = deployment.fields["objective"] if deployment else Objective.COST
    account_by_token_sha256 = {
        token_hash: account
        for account in tables["accounts"].values()
        for token_hash in account.token_sha256
    }
    return Configuration(
        revision=revision,
        objective=objective,
        account_by_token_sha256=account_by_token_sha256,
        routing=routing.item if routing else None,
        evacuated_domains=frozenset(_names_under(EVACUATIONS, parsed_by_key)),
        **tables,
    )
