"""Bounds on what one peer's bytes may do before the tasks of other peers run."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wingbarrow.transport.hub import Hub

MAX_MESSAGES_PER_TURN = 32  # of one connection
MAX_READS_PER_TURN = 2  # of one connection, without waiting for bytes


class MessageTurns:
    """Lets other tasks run after every MAX_MESSAGES_PER_TURN messages that the calling task has handled."""

    def __init__(self, hub: Hub) -> None:
        self._hub = hub
        self._handled = 0

    def on_handled(self) -> None:
        """Count a message that was handled."""
        self._handled += 1
        if self._handled % MAX_MESSAGES_PER_TURN == 0:
            self._hub.checkpoint()


__all__ = ["MAX_MESSAGES_PER_TURN", "MAX_READS_PER_TURN", "MessageTurns"]
