"""Reserved ports, so that a simulated server that is down can listen on the same port again."""

from __future__ import annotations

import socket


class PortReservation:
    """A loopback port chosen by the system, reserved by a socket that is bound and never listens.

    Without it, the system may assign the port to any outgoing connection while its server is down.
    """

    def __init__(self) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(("127.0.0.1", 0))
        self.port: int = self._socket.getsockname()[1]

    def close(self) -> None:
        """Release the port."""
        self._socket.close()
