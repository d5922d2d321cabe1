"""Error codes of reply headers and their descriptions."""

from __future__ import annotations

from enum import IntEnum


class Code(IntEnum):
    """Error codes of the ZooKeeper protocol."""

    OK = 0
    SYSTEM_ERROR = -1
    RUNTIME_INCONSISTENCY = -2
    DATA_INCONSISTENCY = -3
    CONNECTION_LOSS = -4
    MARSHALLING_ERROR = -5
    UNIMPLEMENTED = -6
    OPERATION_TIMEOUT = -7
    BAD_ARGUMENTS = -8
    NEW_CONFIG_NO_QUORUM = -13
    RECONFIG_IN_PROGRESS = -14
    UNKNOWN_SESSION = -12
    API_ERROR = -100
    NO_NODE = -101
    NO_AUTH = -102
    BAD_VERSION = -103
    NO_CHILDREN_FOR_EPHEMERALS = -108
    NODE_EXISTS = -110
    NOT_EMPTY = -111
    SESSION_EXPIRED = -112
    INVALID_CALLBACK = -113
    INVALID_ACL = -114
    AUTH_FAILED = -115
    SESSION_MOVED = -118
    NOT_READ_ONLY = -119
    EPHEMERAL_ON_LOCAL_SESSION = -120
    NO_WATCHER = -121
    REQUEST_TIMEOUT = -122
    RECONFIG_DISABLED = -123
    SESSION_CLOSED_REQUIRE_SASL_AUTH = -124
    QUOTA_EXCEEDED = -125
    THROTTLED_OP = -127


DESCRIPTIONS = {
    Code.CONNECTION_LOSS: "the connection was lost before the answer came",
    Code.UNIMPLEMENTED: "this server does not know the operation",
    Code.BAD_ARGUMENTS: "the path or the arguments are not allowed",
    Code.NO_NODE: "there is no such node",
    Code.NO_AUTH: "the node's ACL denies it to this session; see `auth` in the deployment file",
    Code.BAD_VERSION: "the node's version has changed",
    Code.NO_CHILDREN_FOR_EPHEMERALS: "an ephemeral node has no children",
    Code.NODE_EXISTS: "the node exists already",
    Code.NOT_EMPTY: "the node has children",
    Code.SESSION_EXPIRED: "the session has expired",
    Code.INVALID_ACL: "the ACL is empty or not well formed",
    Code.AUTH_FAILED: "the server does not accept the credentials",
    Code.SESSION_MOVED: "the session has moved to another server",
    Code.NOT_READ_ONLY: "the server has no quorum and is read-only",
    Code.NO_WATCHER: "there is no such watch",
    Code.THROTTLED_OP: "the server is overloaded",
}


class ZooKeeperError(Exception):
    """An error reply: its code and the path of the request."""

    def __init__(self, code: int, path: str = "") -> None:
        try:
            known = Code(code)
            name, description = known.name, DESCRIPTIONS.get(known, "")
        except ValueError:
            name, description = f"error {code}", "unknown error code"
        super().__init__(
            f"{path}: {name}{': ' + description if description else ''}"
            if path
            else f"{name}{': ' + description if description else ''}"
        )
        self.code = code
        self.path = path


__all__ = ["Code", "ZooKeeperError"]
