"""Find free ports for a local fleet."""

import os
import socket

from .local_fleet import HOST, FleetPorts

FIRST_PORT = 21_000
LAST_PORT = 31_000
PORTS_PER_FLEET = 100
MAX_ENTRIES = 9
MAX_EXECUTORS = 30


def find_fleet_ports() -> FleetPorts:
    """Return a block of ports that are all free, or raise OSError.

    The search begins elsewhere in each process: a block stays free until its fleet has
    started, so processes that search at the same time would find the same one.
    """
    blocks = range(FIRST_PORT, LAST_PORT, PORTS_PER_FLEET)
    begin = os.getpid() % len(blocks)
    for first_port in (*blocks[begin:], *blocks[:begin]):
        ports = FleetPorts(
            log=first_port,
            instances=first_port + 1,
            executors=first_port + 10,
            callers=first_port + 50,
            operators=first_port + 60,
            peers=first_port + 70,
        )
        if all(
            _is_free(port) for port in range(first_port, first_port + PORTS_PER_FLEET)
        ):
            return ports
    raise OSError(
        f"no block of {PORTS_PER_FLEET} free ports from {FIRST_PORT} to {LAST_PORT}"
    )


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
