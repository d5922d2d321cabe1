"""A session of the main protocol over a stream: handshakes in time, limits kept, errors told to both sides."""

from cedarshift.link.link import HANDSHAKE_TIMEOUT_US, Link, connect, serve

__all__ = ["HANDSHAKE_TIMEOUT_US", "Link", "connect", "serve"]
