"""Let the kernel find out that a client is gone without a word."""

import socket

# Time after which the kernel gives up a connection whose client acknowledges nothing,
# and the idle time after which it begins to ask. Longer than a network is interrupted
# while its connections survive.
UNACKNOWLEDGED_MS = 20_000
PROBE_AFTER_SECONDS = 20
PROBE_INTERVAL_SECONDS = 5


def probe_client(client: socket.socket) -> None:
    """Probe the client of a connection while nothing is sent to it."""
    client.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    client.setsockopt(tcp, socket.TCP_KEEPIDLE, PROBE_AFTER_SECONDS)
    client.setsockopt(tcp, socket.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS)
    client.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
