"""Ports of processes under test: nothing else on the machine is given them while a test run lasts."""

import socket
import subprocess
import sys
from pathlib import Path

from ports import BLOCK, ReservedPorts, free_ports

SYSTEM_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
PRINT_PORTS = "import ports; print(*ports.free_ports(20))"


# A pilot could not bind its port: another run's connection or server had been given it meanwhile.
def test_no_port_is_one_that_the_system_hands_out():
    first, last = map(int, SYSTEM_RANGE.read_text().split())
    assert not [port for port in free_ports(50) if first <= port <= last]


def test_runs_side_by_side_get_different_ports():
    own = set(free_ports(BLOCK - 1))
    others = [
        subprocess.Popen(
            [sys.executable, "-c", PRINT_PORTS], cwd=Path(__file__).parent, stdout=subprocess.PIPE, text=True
        )
        for _ in range(5)
    ]
    for other in others:
        ports = set(map(int, other.communicate()[0].split()))
        assert len(ports) == 20 and not ports & own


def test_a_port_in_use_is_passed_over():
    reserved = ReservedPorts()
    in_use = reserved.take(1)[0]
    with socket.socket() as former:
        former.setsockopt(
            socket.SOL_SOCKET, socket.SO_REUSEADDR, 1
        )  # a closed connection may still rest there
        former.bind(("127.0.0.1", in_use))
        former.listen()
        assert in_use not in reserved.take(len(reserved.ports) - 1)
