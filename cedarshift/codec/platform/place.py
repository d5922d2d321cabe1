"""What a pilot is told at its start: the variables and the configuration's text, checked, as a few figures."""

from __future__ import annotations

from typing import Any, Mapping, NamedTuple, Optional

import orjson

from cedarshift.codec.platform import entries, fields
from cedarshift.codec.platform.errors import Refused, Spoilt, Unfinished
from cedarshift.codec.platform.settings import terms
from cedarshift.interface import PilotConfig

VARIABLES = ("RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_CONFIG")
SOCKETS_LEAST = 64  # descriptors; with fewer a pilot has no room for collectors beside strangers
SOCKETS_MOST = 1 << 20

Address = tuple[str, int]


class Variables(NamedTuple):
    name: str
    listen: Address
    discovery: Address
    config: str


class Place(NamedTuple):
    """`known`: the list as this pilot last held it, maybe old; None where it held none."""

    name: str
    listen: Address
    discovery: Address
    relay: Address
    terms: PilotConfig
    known: Optional[entries.Listed]
    sockets: int


def variables(environ: Mapping[str, str]) -> Variables:
    missing = [name for name in VARIABLES if not environ.get(name)]
    if missing:
        raise Refused(f"{', '.join(missing)}: missing; {', '.join(VARIABLES)} have to be set")
    name, listen, discovery, config = (environ[key] for key in VARIABLES)
    try:
        return Variables(
            name,
            address({"RELAY_LISTEN": listen}, "RELAY_LISTEN"),
            address({"RELAY_DISCOVERY": discovery}, "RELAY_DISCOVERY"),
            config,
        )
    except Spoilt as error:
        raise Refused(str(error)) from None


def address(raw: Any, key: str) -> Address:
    host, _, port = fields.text(raw, key).rpartition(":")
    if not host or not port.isascii() or not port.isdecimal() or not 0 < int(port) <= 65_535:
        raise Spoilt(f"{key}: {raw[key]!r}, host:port is allowed")
    return host, int(port)


def place(told: Variables, data: bytes) -> Place:
    """The configuration's text. Raises Refused with the place and what is allowed there, Unfinished where it is no JSON."""
    try:
        raw = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise Unfinished(f"{told.config}:{error.lineno}:{error.colno}: no JSON: {error.msg}") from None
    if not isinstance(raw, dict):
        raise Refused(f"{told.config}: a JSON {type(raw).__name__}, an object is allowed")
    try:
        return _place(told, raw)
    except Spoilt as error:
        raise Refused(f"{told.config}: {error}") from None


def _place(told: Variables, raw: dict) -> Place:
    relay = _within("registry", lambda: address(fields.mapping(raw, "registry"), "address"))
    discovery = address(raw, "discovery") if raw.get("discovery") is not None else told.discovery
    limits = fields.mapping(raw, "limits") if raw.get("limits") is not None else {}
    sockets = _within(
        "limits", lambda: fields.whole({"sockets": 1024, **limits}, "sockets", SOCKETS_LEAST, SOCKETS_MOST)
    )
    known = None
    if raw.get("known") is not None:
        known = _within("known", lambda: entries.listed(raw["known"]))
    settings = fields.mapping(raw, "settings")
    try:
        figures = terms(_seed(raw), settings)
    except (TypeError, ValueError, AttributeError, KeyError) as error:
        raise Spoilt(f"settings: {type(error).__name__}: {error}") from None
    if not figures.slices:
        raise Spoilt("settings: family_info.ranges is nought or missing; this door serves sites with slices")
    return Place(told.name, told.listen, discovery, relay, figures, known, sockets)


def _seed(raw: dict) -> int:
    given = raw.get("seed")
    if isinstance(given, int) and not isinstance(given, bool):
        return given
    try:
        return int(fields.text(raw, "seed"), 16)
    except ValueError:
        raise Spoilt(f"seed: {given!r}, a hexadecimal number is allowed") from None


def _within(key: str, read: Any) -> Any:
    try:
        return read()
    except Spoilt as error:
        raise Spoilt(f"{key}.{error}") from None
