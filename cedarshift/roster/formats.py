"""What a member's node holds, in the forms that installations use; and the same forms written, for who registers itself.

"serverset": JSON of Finagle's and Twitter commons' server sets, nodes named `member_...`:
    {"serviceEndpoint": {"host", "port"}, "additionalEndpoints": {name: {"host", "port"}}, "status": "ALIVE", "shard": 3}
"curator": JSON of Apache Curator's ServiceInstance: {"name", "id", "address", "port", "enabled", "payload", ...}
"plain": {"endpoint": "host:port", "phase", "size", "zone", "start"}

Neither of the first two has a size, zone or start; they are read from `metadata` and `payload`, where installations put such.
"""

from __future__ import annotations

from typing import Any, NamedTuple, Optional

import msgspec

DATA_MOST = 64 << 10  # bytes of a member's node
FORMATS = ("serverset", "curator", "plain")
STATUS = {
    "ALIVE": "on",
    "WARNING": "on",
    "STARTING": "off",
    "STOPPING": "fading",
    "STOPPED": "off",
    "DEAD": "off",
}
MEMBER = "member_"


class NodeRefused(Exception):
    """A node that can't be read, and why; the others stand."""


class Member(NamedTuple):
    """One node as read. `start` names the process, "" where the node does not tell."""

    endpoint: str
    phase: str
    size: float
    zone: str
    start: str


def _object(data: Optional[bytes]) -> dict[str, Any]:
    if not data:
        raise NodeRefused("it holds nothing")
    if len(data) > DATA_MOST:
        raise NodeRefused(f"it holds {len(data)} bytes, {DATA_MOST} at most")
    try:
        found = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise NodeRefused(f"it is no JSON: {error}") from None
    if not isinstance(found, dict):
        raise NodeRefused(f"it holds a {type(found).__name__}, an object is wanted")
    return found


def _place(host: Any, port: Any, what: str) -> str:
    if (
        not isinstance(host, str)
        or not host
        or not isinstance(port, int)
        or isinstance(port, bool)
        or not 0 < port < 65_536
    ):
        raise NodeRefused(f"{what} is host {host!r}, port {port!r}")
    return f"{host}:{port}"


def _more(about: Any, what: str) -> tuple[float, str, str]:
    """(size, zone, start) out of an object beside the address; texts of numbers are numbers, as in Java's string maps."""
    if about is None:
        return 1.0, "", ""
    if not isinstance(about, dict):
        raise NodeRefused(f"{what} is a {type(about).__name__}, an object is wanted")
    raw: Any = about.get("size", about.get("weight", 1.0))
    try:
        size = float(raw)
    except (TypeError, ValueError):
        raise NodeRefused(f"{what} has size {raw!r}") from None
    if not 0 < size < 1e9:
        raise NodeRefused(f"{what} has size {size}, it must lie above 0")
    zone, start = about.get("zone", ""), about.get("start", "")
    if not isinstance(zone, str) or not isinstance(start, (str, int)):
        raise NodeRefused(f"{what} has zone {zone!r}, start {start!r}")
    return size, zone, str(start)


def _serverset(found: dict[str, Any], port_name: str) -> Member:
    status = found.get("status", "ALIVE")
    if status not in STATUS:
        raise NodeRefused(f"status {status!r}; known: {', '.join(STATUS)}")
    more = found.get("additionalEndpoints") or {}
    where = more.get(port_name) if port_name and isinstance(more, dict) else found.get("serviceEndpoint")
    what = f"additionalEndpoints[{port_name!r}]" if port_name else "serviceEndpoint"
    if not isinstance(where, dict):
        raise NodeRefused(f"{what} is missing")
    return Member(
        _place(where.get("host"), where.get("port"), what),
        STATUS[status],
        *_more(found.get("metadata"), "metadata"),
    )


def _curator(found: dict[str, Any], port_name: str) -> Member:
    enabled = found.get("enabled", True)
    if not isinstance(enabled, bool):
        raise NodeRefused(f"enabled is {enabled!r}")
    port = (
        found.get(port_name or "port") if found.get(port_name or "port") is not None else found.get("sslPort")
    )
    place = _place(found.get("address"), port, "address")
    return Member(place, "on" if enabled else "fading", *_more(found.get("payload"), "payload"))


def _plain(found: dict[str, Any], port_name: str) -> Member:
    endpoint, phase = found.get("endpoint"), found.get("phase", "on")
    if not isinstance(endpoint, str) or not endpoint:
        raise NodeRefused(f"endpoint is {endpoint!r}")
    if phase not in ("on", "fading", "off"):
        raise NodeRefused(f'phase {phase!r}; "on", "fading" and "off" are allowed')
    return Member(endpoint, phase, *_more(found, "the node"))


READERS = {"serverset": _serverset, "curator": _curator, "plain": _plain}


def is_member(name: str, form: str) -> bool:
    """Server sets keep other nodes beside the members' (`vector_...`, say)."""
    return form != "serverset" or name.startswith(MEMBER)


def read_member(data: Optional[bytes], form: str, port_name: str = "") -> Member:
    """Raises NodeRefused with the reason. `port_name`: the additional endpoint that is meant, or Curator's other port."""
    return READERS[form](_object(data), port_name)


def write_member(member: Member, form: str, name: str = "") -> bytes:
    """The node's data; `name` is the service's, for Curator."""
    host, port = member.endpoint.rsplit(":", 1)
    about = {"size": member.size, "zone": member.zone, "start": member.start}
    if form == "serverset":
        status = {"on": "ALIVE", "fading": "STOPPING", "off": "STOPPED"}[member.phase]
        return msgspec.json.encode(
            {
                "serviceEndpoint": {"host": host, "port": int(port)},
                "additionalEndpoints": {},
                "status": status,
                "metadata": {key: str(value) for key, value in about.items()},
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
                "payload": about,
                "serviceType": "DYNAMIC",
                "uriSpec": None,
                "enabled": member.phase == "on",
            }
        )
    return msgspec.json.encode({"endpoint": member.endpoint, "phase": member.phase, **about})


__all__ = ["FORMATS", "MEMBER", "Member", "NodeRefused", "is_member", "read_member", "write_member"]
