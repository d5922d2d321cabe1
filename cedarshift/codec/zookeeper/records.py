"""Protocol records as in `zookeeper.jute`, and the request and reply types of each operation."""

from __future__ import annotations

from typing import Any, NamedTuple, Optional, Union

from cedarshift.codec.zookeeper.jute import ProtocolError, Reader, Writer, read, record, write

# Operations.
CREATE, DELETE, EXISTS, GET_DATA, SET_DATA, GET_ACL, SET_ACL, GET_CHILDREN, SYNC, PING = (
    1,
    2,
    3,
    4,
    5,
    6,
    7,
    8,
    9,
    11,
)
GET_CHILDREN2, CHECK, MULTI, CREATE2, REMOVE_WATCHES, CREATE_CONTAINER, CREATE_TTL = (
    12,
    13,
    14,
    15,
    18,
    19,
    21,
)
AUTH, SET_WATCHES, SET_WATCHES2, ADD_WATCH, CREATE_SESSION, CLOSE, ERROR = 100, 101, 105, 106, -10, -11, -1

# Reserved xids.
XID_WATCH, XID_PING, XID_AUTH, XID_SET_WATCHES = -1, -2, -4, -8

# Create flags.
PERSISTENT, EPHEMERAL, SEQUENTIAL, EPHEMERAL_SEQUENTIAL, CONTAINER, TTL, TTL_SEQUENTIAL = 0, 1, 2, 3, 4, 5, 6

# Watch event types, and the session states sent with them.
NO_EVENT, CREATED, DELETED, CHANGED, CHILDREN, DATA_WATCH_GONE, CHILD_WATCH_GONE, PERSISTENT_WATCH_GONE = (
    -1,
    1,
    2,
    3,
    4,
    5,
    6,
    7,
)
DISCONNECTED, CONNECTED, AUTH_FAILED, READ_ONLY, EXPIRED = 0, 3, 4, 5, -112

# addWatch modes.
WATCH_PERSISTENT, WATCH_RECURSIVE = 0, 1

# Permissions.
PERM_READ, PERM_WRITE, PERM_CREATE, PERM_DELETE, PERM_ADMIN, PERM_ALL = 1, 2, 4, 8, 16, 31


class Id(NamedTuple):
    scheme: str
    id: str


class Acl(NamedTuple):
    perms: int
    who: Id


class Stat(NamedTuple):
    czxid: int
    mzxid: int
    ctime: int
    mtime: int
    version: int
    cversion: int
    aversion: int
    owner: int  # session of an ephemeral node, else 0
    length: int
    children: int
    pzxid: int


class ConnectRequest(NamedTuple):
    version: int
    last_zxid: int
    timeout: int  # ms
    session: int
    password: Optional[bytes]


class ConnectResponse(NamedTuple):
    version: int
    timeout: int  # ms; 0 with session 0: the session has expired
    session: int
    password: Optional[bytes]


class RequestHeader(NamedTuple):
    xid: int
    op: int


class ReplyHeader(NamedTuple):
    xid: int
    zxid: int
    err: int


class WatchEvent(NamedTuple):
    kind: int
    state: int
    path: str


class Create(NamedTuple):
    path: str
    data: Optional[bytes]
    acl: list[Acl]
    flags: int


class CreateTtl(NamedTuple):
    path: str
    data: Optional[bytes]
    acl: list[Acl]
    flags: int
    ttl: int


class Created(NamedTuple):
    path: str


class Created2(NamedTuple):
    path: str
    stat: Stat


class Delete(NamedTuple):
    path: str
    version: int


class WatchRequest(NamedTuple):
    """Request of exists, getData, getChildren and getChildren2."""

    path: str
    watch: bool


class PathRecord(NamedTuple):
    """Request of getACL and sync, and reply of sync."""

    path: str


class StatReply(NamedTuple):
    stat: Stat


class DataReply(NamedTuple):
    data: Optional[bytes]
    stat: Stat


class SetData(NamedTuple):
    path: str
    data: Optional[bytes]
    version: int


class AclReply(NamedTuple):
    acl: list[Acl]
    stat: Stat


class SetAcl(NamedTuple):
    path: str
    acl: list[Acl]
    version: int


class ChildrenReply(NamedTuple):
    children: list[str]


class Children2Reply(NamedTuple):
    children: list[str]
    stat: Stat


class Check(NamedTuple):
    path: str
    version: int


class Auth(NamedTuple):
    kind: int
    scheme: str
    auth: Optional[bytes]


class SetWatches(NamedTuple):
    zxid: int
    data: list[str]
    exists: list[str]
    children: list[str]


class SetWatches2(NamedTuple):
    zxid: int
    data: list[str]
    exists: list[str]
    children: list[str]
    persistent: list[str]
    recursive: list[str]


class AddWatch(NamedTuple):
    path: str
    mode: int


class RemoveWatches(NamedTuple):
    path: str
    kind: int


class ErrorReply(NamedTuple):
    err: int


class MultiHeader(NamedTuple):
    op: int
    done: bool
    err: int


KINDS: dict[type, tuple[Any, ...]] = {
    Id: ("text", "text"),
    Acl: ("i32", Id),
    Stat: ("i64", "i64", "i64", "i64", "i32", "i32", "i32", "i64", "i32", "i32", "i64"),
    ConnectRequest: ("i32", "i64", "i32", "i64", "buffer"),
    ConnectResponse: ("i32", "i32", "i64", "buffer"),
    RequestHeader: ("i32", "i32"),
    ReplyHeader: ("i32", "i64", "i32"),
    WatchEvent: ("i32", "i32", "text"),
    Create: ("text", "buffer", [Acl], "i32"),
    CreateTtl: ("text", "buffer", [Acl], "i32", "i64"),
    Created: ("text",),
    Created2: ("text", Stat),
    Delete: ("text", "i32"),
    WatchRequest: ("text", "flag"),
    PathRecord: ("text",),
    StatReply: (Stat,),
    DataReply: ("buffer", Stat),
    SetData: ("text", "buffer", "i32"),
    AclReply: ([Acl], Stat),
    SetAcl: ("text", [Acl], "i32"),
    ChildrenReply: ("texts",),
    Children2Reply: ("texts", Stat),
    Check: ("text", "i32"),
    Auth: ("i32", "text", "buffer"),
    SetWatches: ("i64", "texts", "texts", "texts"),
    SetWatches2: ("i64", "texts", "texts", "texts", "texts", "texts"),
    AddWatch: ("text", "i32"),
    RemoveWatches: ("text", "i32"),
    ErrorReply: ("i32",),
    MultiHeader: ("i32", "flag", "i32"),
}
for _record_type, _kinds in KINDS.items():
    _record_type.KINDS = _kinds  # type: ignore[attr-defined]
    record(_record_type)


class Multi(NamedTuple):
    """Operations that are applied atomically, as (operation, record)."""

    ops: list[tuple[int, Any]]


class MultiReply(NamedTuple):
    """Results as (operation, reply or None, error code); if one operation fails, all are errors."""

    results: list[tuple[int, Any, int]]


# Operation -> (request type, reply type); None: no body.
OPERATIONS: dict[int, tuple[Optional[type], Optional[type]]] = {
    CREATE: (Create, Created),
    CREATE2: (Create, Created2),
    CREATE_CONTAINER: (Create, Created2),
    CREATE_TTL: (CreateTtl, Created2),
    DELETE: (Delete, None),
    EXISTS: (WatchRequest, StatReply),
    GET_DATA: (WatchRequest, DataReply),
    SET_DATA: (SetData, StatReply),
    GET_ACL: (PathRecord, AclReply),
    SET_ACL: (SetAcl, StatReply),
    GET_CHILDREN: (WatchRequest, ChildrenReply),
    GET_CHILDREN2: (WatchRequest, Children2Reply),
    SYNC: (PathRecord, PathRecord),
    CHECK: (Check, None),
    PING: (None, None),
    AUTH: (Auth, None),
    SET_WATCHES: (SetWatches, None),
    SET_WATCHES2: (SetWatches2, None),
    ADD_WATCH: (AddWatch, ErrorReply),
    REMOVE_WATCHES: (RemoveWatches, None),
    MULTI: (Multi, MultiReply),
    CLOSE: (None, None),
}
MULTI_OPERATIONS = (CREATE, CREATE2, DELETE, SET_DATA, CHECK)
MAX_MULTI_OPS = 1_000
MULTI_END = MultiHeader(-1, True, -1)


def write_body(writer: Writer, body: Any) -> None:
    if body is None:
        return
    if isinstance(body, Multi):
        for op, record_body in body.ops:
            write(writer, MultiHeader, MultiHeader(op, False, -1))
            write(writer, type(record_body), record_body)
        write(writer, MultiHeader, MULTI_END)
    elif isinstance(body, MultiReply):
        for op, record_body, err in body.results:
            if err or op == ERROR:  # operations before the failed one have code 0
                write(writer, MultiHeader, MultiHeader(ERROR, False, err))
                write(writer, ErrorReply, ErrorReply(err))
            else:
                write(writer, MultiHeader, MultiHeader(op, False, 0))
                write_body(writer, record_body)
        write(writer, MultiHeader, MULTI_END)
    else:
        write(writer, type(body), body)


def read_request(op: int, reader: Reader) -> Any:
    """Raises ProtocolError, or KeyError for an unknown operation."""
    kind = OPERATIONS[op][0]
    if kind is None:
        return None
    if kind is not Multi:
        return read(reader, kind)
    ops: list[tuple[int, Any]] = []
    while not (header := read(reader, MultiHeader)).done:
        if header.op not in MULTI_OPERATIONS or len(ops) >= MAX_MULTI_OPS:
            raise ProtocolError(f"invalid operation {header.op} at index {len(ops)} of a multi request")
        ops.append((header.op, read(reader, OPERATIONS[header.op][0])))
    return Multi(ops)


def read_reply(op: int, reader: Reader) -> Any:
    kind = OPERATIONS[op][1]
    if kind is None:
        return None
    if kind is not MultiReply:
        return read(reader, kind)
    results: list[tuple[int, Any, int]] = []
    while not (header := read(reader, MultiHeader)).done:
        if len(results) >= MAX_MULTI_OPS:
            raise ProtocolError(f"more than {MAX_MULTI_OPS} results in a multi reply")
        if header.op == ERROR:
            results.append((ERROR, None, read(reader, ErrorReply).err))
        elif header.op in MULTI_OPERATIONS:
            reply_type = OPERATIONS[header.op][1]
            results.append((header.op, read(reader, reply_type) if reply_type else None, 0))
        else:
            raise ProtocolError(f"invalid operation {header.op} in a multi reply")
    return MultiReply(results)


Body = Union[NamedTuple, None]
__all__ = [
    name
    for name in dir()
    if not name.startswith("_")
    and name not in ("annotations", "Any", "NamedTuple", "Optional", "Union", "Code")
]
