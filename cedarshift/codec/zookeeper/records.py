"""The records of the protocol, by the names of `zookeeper.jute`, and which operation asks and answers with which."""

from __future__ import annotations

from typing import Any, NamedTuple, Optional, Union

from cedarshift.codec.zookeeper.jute import Broken, Reader, Writer, read, record, write

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

# xids that are not counted.
XID_WATCH, XID_PING, XID_AUTH, XID_SET_WATCHES = -1, -2, -4, -8

# Flags of a create.
PERSISTENT, EPHEMERAL, SEQUENTIAL, EPHEMERAL_SEQUENTIAL, CONTAINER, TTL, TTL_SEQUENTIAL = 0, 1, 2, 3, 4, 5, 6

# Watch events, and the session's states that they come with.
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

# Modes of addWatch.
WATCH_PERSISTENT, WATCH_RECURSIVE = 0, 1

# Permissions.
MAY_READ, MAY_WRITE, MAY_CREATE, MAY_DELETE, MAY_ADMIN, MAY_ALL = 1, 2, 4, 8, 16, 31


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
    owner: int  # the session of an ephemeral node, 0 of others
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


class RequestHead(NamedTuple):
    xid: int
    op: int


class ReplyHead(NamedTuple):
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


class Watched(NamedTuple):
    """exists, getData, getChildren and getChildren2 ask with this."""

    path: str
    watch: bool


class OfPath(NamedTuple):
    """getACL and sync ask with this, sync answers with it."""

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


class MultiHead(NamedTuple):
    op: int
    done: bool
    err: int


KINDS: dict[type, tuple[Any, ...]] = {
    Id: ("text", "text"),
    Acl: ("i32", Id),
    Stat: ("i64", "i64", "i64", "i64", "i32", "i32", "i32", "i64", "i32", "i32", "i64"),
    ConnectRequest: ("i32", "i64", "i32", "i64", "buffer"),
    ConnectResponse: ("i32", "i32", "i64", "buffer"),
    RequestHead: ("i32", "i32"),
    ReplyHead: ("i32", "i64", "i32"),
    WatchEvent: ("i32", "i32", "text"),
    Create: ("text", "buffer", [Acl], "i32"),
    CreateTtl: ("text", "buffer", [Acl], "i32", "i64"),
    Created: ("text",),
    Created2: ("text", Stat),
    Delete: ("text", "i32"),
    Watched: ("text", "flag"),
    OfPath: ("text",),
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
    MultiHead: ("i32", "flag", "i32"),
}
for _made, _kinds in KINDS.items():
    _made.KINDS = _kinds  # type: ignore[attr-defined]
    record(_made)


class Multi(NamedTuple):
    """Operations that all happen or none: (operation, its record) each."""

    ops: list[tuple[int, Any]]


class MultiReply(NamedTuple):
    """(operation, its answer or None, error code) each; where one failed all have an error."""

    results: list[tuple[int, Any, int]]


# Operation -> (what it asks with, what it answers with); None: no body.
SPOKEN: dict[int, tuple[Optional[type], Optional[type]]] = {
    CREATE: (Create, Created),
    CREATE2: (Create, Created2),
    CREATE_CONTAINER: (Create, Created2),
    CREATE_TTL: (CreateTtl, Created2),
    DELETE: (Delete, None),
    EXISTS: (Watched, StatReply),
    GET_DATA: (Watched, DataReply),
    SET_DATA: (SetData, StatReply),
    GET_ACL: (OfPath, AclReply),
    SET_ACL: (SetAcl, StatReply),
    GET_CHILDREN: (Watched, ChildrenReply),
    GET_CHILDREN2: (Watched, Children2Reply),
    SYNC: (OfPath, OfPath),
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
IN_MULTI = (CREATE, CREATE2, DELETE, SET_DATA, CHECK)
OPS_MOST = 1_000  # operations of one multi
END = MultiHead(-1, True, -1)


def write_body(writer: Writer, body: Any) -> None:
    if body is None:
        return
    if isinstance(body, Multi):
        for op, one in body.ops:
            write(writer, MultiHead, MultiHead(op, False, -1))
            write(writer, type(one), one)
        write(writer, MultiHead, END)
    elif isinstance(body, MultiReply):
        for op, one, err in body.results:
            if err or op == ERROR:  # those before a failed one are errors of code 0
                write(writer, MultiHead, MultiHead(ERROR, False, err))
                write(writer, ErrorReply, ErrorReply(err))
            else:
                write(writer, MultiHead, MultiHead(op, False, 0))
                write_body(writer, one)
        write(writer, MultiHead, END)
    else:
        write(writer, type(body), body)


def read_request(op: int, reader: Reader) -> Any:
    """Raises Broken, and KeyError for an operation that is unknown."""
    kind = SPOKEN[op][0]
    if kind is None:
        return None
    if kind is not Multi:
        return read(reader, kind)
    ops: list[tuple[int, Any]] = []
    while not (head := read(reader, MultiHead)).done:
        if head.op not in IN_MULTI or len(ops) >= OPS_MOST:
            raise Broken(f"operation {head.op} as number {len(ops)} of a multi")
        ops.append((head.op, read(reader, SPOKEN[head.op][0])))
    return Multi(ops)


def read_reply(op: int, reader: Reader) -> Any:
    kind = SPOKEN[op][1]
    if kind is None:
        return None
    if kind is not MultiReply:
        return read(reader, kind)
    results: list[tuple[int, Any, int]] = []
    while not (head := read(reader, MultiHead)).done:
        if len(results) >= OPS_MOST:
            raise Broken(f"over {OPS_MOST} results of a multi")
        if head.op == ERROR:
            results.append((ERROR, None, read(reader, ErrorReply).err))
        elif head.op in IN_MULTI:
            below = SPOKEN[head.op][1]
            results.append((head.op, read(reader, below) if below else None, 0))
        else:
            raise Broken(f"operation {head.op} in the answer to a multi")
    return MultiReply(results)


Body = Union[NamedTuple, None]
__all__ = [
    name
    for name in dir()
    if not name.startswith("_")
    and name not in ("annotations", "Any", "NamedTuple", "Optional", "Union", "Code")
]
