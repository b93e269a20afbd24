"""Ports that stay a stand-in's own while it is down, so that it can come back on them."""

from __future__ import annotations

import socket


class PortHold:
    """A loopback port that the system chose, kept by a socket that is bound and never listens.

    Without it, any connection's own end may be given the port while its stand-in is down.
    """

    def __init__(self) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(("127.0.0.1", 0))
        self.port: int = self._socket.getsockname()[1]

    def close(self) -> None:
        """Give the port back."""
        self._socket.close()
