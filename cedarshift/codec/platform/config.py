"""Parsing of a pilot's environment variables and configuration file."""

from __future__ import annotations

from typing import Any, Mapping, NamedTuple, Optional

import orjson

from cedarshift.codec.platform import entries, fields
from cedarshift.codec.platform.errors import ConfigError, ConfigNotReady, InvalidMessage
from cedarshift.codec.platform.settings import parse_terms
from cedarshift.interface import DecisionConfig

REQUIRED_VARIABLES = ("RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_CONFIG")
MIN_SOCKETS = 64  # file descriptors; fewer leave no room for collectors
MAX_SOCKETS = 1 << 20
MIN_MEMORY_MB, MAX_MEMORY_MB = 1, 1 << 20
DEFAULT_MEMORY_MB = 192  # the platform's highest limit

Address = tuple[str, int]


class Environment(NamedTuple):
    """The parsed environment variables. `config` is the path of the configuration file."""

    name: str
    listen: Address
    discovery: Address
    config: str


class PilotConfig(NamedTuple):
    """A parsed configuration. `initial_list`: the last endpoint list the pilot had, possibly outdated."""

    name: str
    listen: Address
    discovery: Address
    relay: Address
    terms: DecisionConfig
    initial_list: Optional[entries.EndpointList]
    max_sockets: int
    max_memory_mb: float


def parse_environment(environ: Mapping[str, str]) -> Environment:
    """Raises ConfigError for a variable that is missing or invalid."""
    missing = [name for name in REQUIRED_VARIABLES if not environ.get(name)]
    if missing:
        raise ConfigError(
            f"{', '.join(missing)}: missing; required variables are {', '.join(REQUIRED_VARIABLES)}"
        )
    name, listen, discovery, config = (environ[key] for key in REQUIRED_VARIABLES)
    try:
        return Environment(
            name,
            parse_address({"RELAY_LISTEN": listen}, "RELAY_LISTEN"),
            parse_address({"RELAY_DISCOVERY": discovery}, "RELAY_DISCOVERY"),
            config,
        )
    except InvalidMessage as error:
        raise ConfigError(str(error)) from None


def parse_address(raw: Any, key: str) -> Address:
    """Parses the field `key`, "host:port". Raises InvalidMessage."""
    host, _, port = fields.string(raw, key).rpartition(":")
    if not host or not port.isascii() or not port.isdecimal() or not 0 < int(port) <= 65_535:
        raise InvalidMessage(f"{key}: {raw[key]!r}, expected host:port")
    return host, int(port)


def parse_config(environment: Environment, data: bytes) -> PilotConfig:
    """Parses the file's content. Raises ConfigError for invalid fields, ConfigNotReady for invalid JSON."""
    try:
        raw = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise ConfigNotReady(
            f"{environment.config}:{error.lineno}:{error.colno}: invalid JSON: {error.msg}"
        ) from None
    if not isinstance(raw, dict):
        raise ConfigError(f"{environment.config}: JSON {type(raw).__name__}, expected an object")
    try:
        return _parse_config(environment, raw)
    except InvalidMessage as error:
        raise ConfigError(f"{environment.config}: {error}") from None


def _parse_config(environment: Environment, raw: dict) -> PilotConfig:
    relay = _with_path("registry", lambda: parse_address(fields.mapping(raw, "registry"), "address"))
    discovery = parse_address(raw, "discovery") if raw.get("discovery") is not None else environment.discovery
    limits = fields.mapping(raw, "limits") if raw.get("limits") is not None else {}
    max_sockets = _with_path(
        "limits", lambda: fields.integer({"sockets": 1024, **limits}, "sockets", MIN_SOCKETS, MAX_SOCKETS)
    )
    max_memory_mb = _with_path(
        "limits",
        lambda: fields.number(
            {"memory_mb": DEFAULT_MEMORY_MB, **limits}, "memory_mb", MIN_MEMORY_MB, MAX_MEMORY_MB
        ),
    )
    initial_list = None
    if raw.get("known") is not None:
        initial_list = _with_path("known", lambda: entries.parse_list(raw["known"]))
    settings = fields.mapping(raw, "settings")
    try:
        parsed = parse_terms(_parse_seed(raw), settings)
    except (TypeError, ValueError, AttributeError, KeyError) as error:
        raise InvalidMessage(f"settings: {type(error).__name__}: {error}") from None
    if not parsed.slices:
        raise InvalidMessage("settings: family_info.ranges is 0 or missing; the platform needs slices")
    return PilotConfig(
        environment.name,
        environment.listen,
        discovery,
        relay,
        parsed,
        initial_list,
        max_sockets,
        max_memory_mb,
    )


def _parse_seed(raw: dict) -> int:
    value = raw.get("seed")
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    try:
        return int(fields.string(raw, "seed"), 16)
    except ValueError:
        raise InvalidMessage(f"seed: {value!r}, expected a hexadecimal number") from None


def _with_path(key: str, read: Any) -> Any:
    """Calls `read()` and prefixes the field path in an InvalidMessage with `key`."""
    try:
        return read()
    except InvalidMessage as error:
        raise InvalidMessage(f"{key}.{error}") from None
