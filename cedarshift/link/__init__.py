"""Sessions of the main protocol over streams: handshake with a timeout, limits and error reporting to both
sides.
"""

from cedarshift.link.link import HANDSHAKE_TIMEOUT_US, Link, connect, serve

__all__ = ["HANDSHAKE_TIMEOUT_US", "Link", "connect", "serve"]
