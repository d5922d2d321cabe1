"""Loopback ports for processes under test, which nothing else on the machine is given meanwhile.

A port that the system has handed out and got back may go to any process before the one under test binds it.
These lie below the system's range, in blocks that are reserved for as long as this process runs.
"""

import os
import socket

from cedarshift.rehearsal.fleet import BLOCK, BLOCKS, FIRST_PORT, HOST


def can_bind(port):
    """Returns whether a port is free for TCP and UDP; an earlier test's process may still have it."""
    with socket.socket() as stream, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            stream.bind((HOST, port))
            stream.listen()
            datagram.bind((HOST, port))
        except OSError:
            return False
    return True


class ReservedPorts:
    """Ports in the order in which they are handed out, so that one just used rests for longest."""

    def __init__(self):
        self.holders = []  # sockets that hold a block by its first port
        self.ports = []
        self.handed_out = 0

    def take(self, count):
        """Returns distinct ports that are free."""
        while len(self.ports) < count:
            self._reserve_block()
        taken = []
        for _ in range(len(self.ports)):
            port = self.ports[self.handed_out % len(self.ports)]
            self.handed_out += 1
            if can_bind(port):
                taken.append(port)
            if len(taken) == count:
                return taken
        raise OSError(f"{count} ports wanted, {len(taken)} of {len(self.ports)} reserved ones are free")

    def _reserve_block(self):
        for attempt in range(BLOCKS):
            first = FIRST_PORT + (os.getpid() + attempt) % BLOCKS * BLOCK
            holder = socket.socket()
            try:
                holder.bind((HOST, first))
                holder.listen()
            except OSError:
                holder.close()
                continue
            self.holders.append(holder)
            self.ports += range(first + 1, first + BLOCK)
            return
        raise OSError("no block of ports is free on the loopback address")


_reserved = ReservedPorts()


def free_ports(count):
    """Returns ports that are free for TCP and UDP."""
    return _reserved.take(count)


def free_address():
    """Returns an address whose port is free."""
    return HOST, free_ports(1)[0]
