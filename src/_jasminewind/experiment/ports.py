"""Allocates free TCP ports on loopback for a fleet."""

import os
import socket

HOST = "127.0.0.1"
# Below the kernel's range of ephemeral ports for outgoing connections.
FIRST_PORT = 10_000
LAST_PORT = 32_000
PORTS_PER_PROCESS_ID = 211


class PortAllocator:
    """Allocates ports that are free at the time of the call."""

    def __init__(self) -> None:
        # Concurrent test runs start at different ports.
        span = LAST_PORT - FIRST_PORT
        self.next_port = FIRST_PORT + os.getpid() * PORTS_PER_PROCESS_ID % span

    def take(self) -> int:
        """Return a free port that was not returned before."""
        while True:
            port = self.next_port
            self.next_port += 1
            if self.next_port >= LAST_PORT:
                self.next_port = FIRST_PORT
            if is_free(port):
                return port


def is_free(port: int) -> bool:
    """Tell whether a listener could open ``port``."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
        return True
