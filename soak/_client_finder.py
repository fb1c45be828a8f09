"""Find which of our processes opened a connection on loopback."""

import os
from collections.abc import Callable, Mapping
from contextlib import suppress
from pathlib import Path

# Columns of a row of the kernel's table of connections.
LOCAL_ADDRESS_COLUMN = 1
INODE_COLUMN = 9
TCP_TABLE = Path("/proc/net/tcp")


def make_client_finder(
    pids: Callable[[], Mapping[str, int]],
) -> Callable[[int], str]:
    """Return a function that names the process with a connection from a port.

    `pids` returns our processes by their names. The name is empty if none has it.
    """

    def find_client(port: int) -> str:
        inode = _find_inode(port)
        for name, pid in pids().items():
            if inode and f"socket:[{inode}]" in _open_files(pid):
                return name
        return ""

    return find_client


def _find_inode(port: int) -> str:
    suffix = f":{port:04X}"
    with suppress(OSError):
        for line in TCP_TABLE.read_text().splitlines()[1:]:
            columns = line.split()
            if columns[LOCAL_ADDRESS_COLUMN].endswith(suffix):
                return columns[INODE_COLUMN]
    return ""


def _open_files(pid: int) -> set[str]:
    files: set[str] = set()
    folder = Path(f"/proc/{pid}/fd")
    with suppress(OSError):
        for path in folder.iterdir():
            with suppress(OSError):
                files.add(os.readlink(path))
    return files
