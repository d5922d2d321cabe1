"""ZooKeeper client protocol without I/O: jute records, error codes and session states.

Follows the Apache ZooKeeper programmer's guide and `zookeeper.jute` as of version 3.6.
"""

from cedarshift.codec.zookeeper.errors import Code, ZooKeeperError
from cedarshift.codec.zookeeper.jute import Frames, ProtocolError

__all__ = ["ProtocolError", "Code", "Frames", "ZooKeeperError"]
