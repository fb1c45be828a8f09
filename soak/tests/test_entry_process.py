"""Test the ports of the entry instances."""

import socket

from soak._entry_process import HOST, PORTS, find_free_ports


class TestPorts:
    """Test that no two listeners of a soak are given the same port."""

    def test_ports_differ(self):
        # Two instances with one port between them end again and again.
        ports = find_free_ports(9, PORTS[:40])
        assert len(set(ports)) == 9

    def test_ports_in_use_are_left_out(self):
        with socket.socket() as listener:
            listener.bind((HOST, 0))
            used = listener.getsockname()[1]
            assert find_free_ports(1, [used]) == []
