"""Free TCP ports on loopback for the processes of a fleet."""

import os
import socket

HOST = "127.0.0.1"
# Below the range from which the kernel takes ports of outgoing connections.
FIRST_PORT = 10_000
LAST_PORT = 32_000
PORTS_PER_PROCESS_ID = 211


class PortAllocator:
    """Hands out ports that nobody listens on at the moment."""

    def __init__(self) -> None:
        # Test runs side by side begin at different ports.
        span = LAST_PORT - FIRST_PORT
        self.next_port = FIRST_PORT + os.getpid() * PORTS_PER_PROCESS_ID % span

    def take(self) -> int:
        """Return a free port that was not handed out before."""
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
