"""The ZooKeeper client protocol, free of I/O: jute records, error codes, and the states of a session on either side.

Source: the Apache ZooKeeper programmer's guide and `zookeeper.jute`, the published description of the records, as of 3.6.
"""

from cedarshift.codec.zookeeper.errors import Code, ZooError
from cedarshift.codec.zookeeper.jute import Broken, Frames

__all__ = ["Broken", "Code", "Frames", "ZooError"]
