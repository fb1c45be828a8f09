"""Find ports that nothing listens on."""

import socket

from .local_fleet import HOST, FleetPorts

FIRST_PORT = 21_000
LAST_PORT = 31_000
BLOCK = 100
MOST_ENTRIES = 9
MOST_EXECUTORS = 30


def find_fleet_ports() -> FleetPorts:
    """Return the ports of a fleet, all of them free."""
    for first in range(FIRST_PORT, LAST_PORT, BLOCK):
        ports = FleetPorts(
            log=first,
            instances=first + 1,
            executors=first + 10,
            callers=first + 50,
            operators=first + 60,
            peers=first + 70,
        )
        if all(_is_free(port) for port in range(first, first + BLOCK)):
            return ports
    raise OSError(f"no block of {BLOCK} free ports from {FIRST_PORT} to {LAST_PORT}")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
