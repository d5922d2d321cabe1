"""HTTP/1.1 over the loop's streams, parsed by h11: a small server, a client that keeps its connections, one that follows."""

from cedarshift.web.client import NotSent, Pool
from cedarshift.web.follow import Followed, NotFollowed, connect
from cedarshift.web.server import Answer, Asked, serve_http

__all__ = ["Answer", "Asked", "Followed", "NotFollowed", "NotSent", "Pool", "connect", "serve_http"]
