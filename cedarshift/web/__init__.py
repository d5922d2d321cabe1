"""HTTP/1.1 over the loop's streams, parsed by h11: a server, a client pool and long-lived responses."""

from cedarshift.web.client import NotSentError, Pool
from cedarshift.web.follow import StreamedResponse, UnexpectedStatus, connect
from cedarshift.web.server import HttpReply, HttpRequest, serve_http

__all__ = [
    "HttpRequest",
    "HttpReply",
    "StreamedResponse",
    "UnexpectedStatus",
    "NotSentError",
    "Pool",
    "connect",
    "serve_http",
]
