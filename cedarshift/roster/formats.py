"""Reads and writes the data of member nodes in the common formats.

"serverset": JSON of Finagle's and Twitter commons' server sets, nodes named `member_...`:
    {"serviceEndpoint": {"host", "port"}, "additionalEndpoints": {name: {"host", "port"}}, "status": "ALIVE"}
"curator": JSON of Apache Curator's ServiceInstance:
    {"name", "id", "address", "port", "enabled", "payload", ...}
"plain": {"endpoint": "host:port", "phase", "size", "zone", "start"}

The first two have no fields for size, zone and start; these are read from `metadata` and `payload`.
"""

from __future__ import annotations

from typing import Any, NamedTuple, Optional

import msgspec

MAX_NODE_BYTES = 64 << 10
FORMATS = ("serverset", "curator", "plain")
STATUS_PHASES = {
    "ALIVE": "on",
    "WARNING": "on",
    "STARTING": "off",
    "STOPPING": "fading",
    "STOPPED": "off",
    "DEAD": "off",
}
MEMBER_PREFIX = "member_"


class InvalidNode(Exception):
    """Invalid node data; other nodes are not affected."""


class Member(NamedTuple):
    """A parsed node. `start` identifies the process, "" if unknown."""

    endpoint: str
    phase: str
    size: float
    zone: str
    start: str


def _decode_object(data: Optional[bytes]) -> dict[str, Any]:
    if not data:
        raise InvalidNode("the node has no data")
    if len(data) > MAX_NODE_BYTES:
        raise InvalidNode(f"node has {len(data)} bytes, {MAX_NODE_BYTES} at most")
    try:
        decoded = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidNode(f"invalid JSON: {error}") from None
    if not isinstance(decoded, dict):
        raise InvalidNode(f"expected an object, got {type(decoded).__name__}")
    return decoded


def _format_address(host: Any, port: Any, field: str) -> str:
    if (
        not isinstance(host, str)
        or not host
        or not isinstance(port, int)
        or isinstance(port, bool)
        or not 0 < port < 65_536
    ):
        raise InvalidNode(f"{field} is host {host!r}, port {port!r}")
    return f"{host}:{port}"


def _parse_details(details: Any, field: str) -> tuple[float, str, str]:
    """Return (size, zone, start). Numbers may be strings, as in Java string maps."""
    if details is None:
        return 1.0, "", ""
    if not isinstance(details, dict):
        raise InvalidNode(f"{field}: expected an object, got {type(details).__name__}")
    raw: Any = details.get("size", details.get("weight", 1.0))
    try:
        size = float(raw)
    except (TypeError, ValueError):
        raise InvalidNode(f"{field} has size {raw!r}") from None
    if not 0 < size < 1e9:
        raise InvalidNode(f"{field} has size {size}, it must lie above 0")
    zone, start = details.get("zone", ""), details.get("start", "")
    if not isinstance(zone, str) or not isinstance(start, (str, int)):
        raise InvalidNode(f"{field} has zone {zone!r}, start {start!r}")
    return size, zone, str(start)


def _read_serverset(decoded: dict[str, Any], port_name: str) -> Member:
    status = decoded.get("status", "ALIVE")
    if status not in STATUS_PHASES:
        raise InvalidNode(f"status {status!r}; known: {', '.join(STATUS_PHASES)}")
    additional_endpoints = decoded.get("additionalEndpoints") or {}
    address = (
        additional_endpoints.get(port_name)
        if port_name and isinstance(additional_endpoints, dict)
        else decoded.get("serviceEndpoint")
    )
    field = f"additionalEndpoints[{port_name!r}]" if port_name else "serviceEndpoint"
    if not isinstance(address, dict):
        raise InvalidNode(f"{field} is missing")
    return Member(
        _format_address(address.get("host"), address.get("port"), field),
        STATUS_PHASES[status],
        *_parse_details(decoded.get("metadata"), "metadata"),
    )


def _read_curator(decoded: dict[str, Any], port_name: str) -> Member:
    enabled = decoded.get("enabled", True)
    if not isinstance(enabled, bool):
        raise InvalidNode(f"enabled is {enabled!r}")
    port = (
        decoded.get(port_name or "port")
        if decoded.get(port_name or "port") is not None
        else decoded.get("sslPort")
    )
    endpoint = _format_address(decoded.get("address"), port, "address")
    return Member(endpoint, "on" if enabled else "fading", *_parse_details(decoded.get("payload"), "payload"))


def _read_plain(decoded: dict[str, Any], port_name: str) -> Member:
    endpoint, phase = decoded.get("endpoint"), decoded.get("phase", "on")
    if not isinstance(endpoint, str) or not endpoint:
        raise InvalidNode(f"endpoint is {endpoint!r}")
    if phase not in ("on", "fading", "off"):
        raise InvalidNode(f'phase {phase!r}; "on", "fading" and "off" are allowed')
    return Member(endpoint, phase, *_parse_details(decoded, "the node"))


READERS = {"serverset": _read_serverset, "curator": _read_curator, "plain": _read_plain}


def is_member(name: str, form: str) -> bool:
    """Return whether the node describes a member; server sets contain others too, such as `vector_...`."""
    return form != "serverset" or name.startswith(MEMBER_PREFIX)


def read_member(data: Optional[bytes], form: str, port_name: str = "") -> Member:
    """Parse node data. `port_name`: name of an additional endpoint, or of Curator's port field.

    Raises InvalidNode.
    """
    return READERS[form](_decode_object(data), port_name)


def write_member(member: Member, form: str, name: str = "") -> bytes:
    """Return the node data. `name`: the service name, for Curator."""
    host, port = member.endpoint.rsplit(":", 1)
    details = {"size": member.size, "zone": member.zone, "start": member.start}
    if form == "serverset":
        status = {"on": "ALIVE", "fading": "STOPPING", "off": "STOPPED"}[member.phase]
        return msgspec.json.encode(
            {
                "serviceEndpoint": {"host": host, "port": int(port)},
                "additionalEndpoints": {},
                "status": status,
                "metadata": {key: str(value) for key, value in details.items()},
            }
        )
    if form == "curator":
        return msgspec.json.encode(
            {
                "name": name,
                "id": member.endpoint,
                "address": host,
                "port": int(port),
                "sslPort": None,
                "payload": details,
                "serviceType": "DYNAMIC",
                "uriSpec": None,
                "enabled": member.phase == "on",
            }
        )
    return msgspec.json.encode({"endpoint": member.endpoint, "phase": member.phase, **details})


__all__ = ["FORMATS", "MEMBER_PREFIX", "Member", "InvalidNode", "is_member", "read_member", "write_member"]
