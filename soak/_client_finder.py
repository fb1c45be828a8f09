"""Find which of our processes opened a connection on loopback."""

import os
from collections.abc import Callable, Mapping
from contextlib import suppress
from pathlib import Path

# Columns of a row of the kernel's table of connections.
LOCAL_ADDRESS_COLUMN = 1
REMOTE_ADDRESS_COLUMN = 2
INODE_COLUMN = 9
# A read is no snapshot, and may leave out a row while others come and go.
MAX_READS = 3
TCP_TABLE = Path("/proc/net/tcp")


def make_client_finder(
    pids: Callable[[], Mapping[str, int]],
) -> Callable[[int, int], str]:
    """Return a function that names the process with a connection between two ports.

    The first port is that of the process. `pids` returns our processes by their names;
    the name is empty if none of them has the connection.
    """

    def find_client(port: int, server_port: int) -> str:
        inode = _find_inode(port, server_port)
        for name, pid in pids().items():
            if inode and f"socket:[{inode}]" in _open_files(pid):
                return name
        return ""

    return find_client


def _find_inode(port: int, server_port: int) -> str:
    # Connections to different servers may have the same port at their own end.
    ends = (f":{port:04X}", f":{server_port:04X}")
    for _ in range(MAX_READS):
        for line in _read_table():
            columns = line.split()
            is_local = columns[LOCAL_ADDRESS_COLUMN].endswith(ends[0])
            if is_local and columns[REMOTE_ADDRESS_COLUMN].endswith(ends[1]):
                return columns[INODE_COLUMN]
    return ""


def _read_table() -> list[str]:
    with suppress(OSError):
        return TCP_TABLE.read_text().splitlines()[1:]
    return []


def _open_files(pid: int) -> set[str]:
    files: set[str] = set()
    folder = Path(f"/proc/{pid}/fd")
    with suppress(OSError):
        for path in folder.iterdir():
            with suppress(OSError):
                files.add(os.readlink(path))
    return files
