"""HTTP/1.1 over the loop's streams, parsed by h11: a small server and a client that keeps its connections."""
from cedarshift.web.client import Pool
from cedarshift.web.server import Answer, Asked, serve_http

__all__ = ["Answer", "Asked", "Pool", "serve_http"]
