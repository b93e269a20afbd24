"""A stand-in machine's side of turns: `POST /turn` {"number": N, "shut": bool} -> {"number", "shut", "empty"}.

It keeps what it was told over a new start, as an agent does on its disk. Under a number that it was opened by it is
shut no more: a word that was late must not close a machine whose turn is over. Lower numbers change nothing.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any


class TurnGuard:
    """`holds`: whether anything is pending or running."""

    def __init__(self, holds: Callable[[], bool]) -> None:
        self._holds = holds
        self.number = 0
        self.shut = False

    def refuses(self) -> bool:
        """Whether new work is refused (409 NodeShutdown)."""
        return self.shut

    def handle(self, body: dict[str, Any]) -> dict[str, Any]:
        """The answer; ValueError for a body that is none."""
        number, shut = body.get("number"), body.get("shut")
        if type(number) is not int or number < 1 or type(shut) is not bool:
            raise ValueError("number and shut are wanted")
        if number > self.number:
            self.number, self.shut = number, shut
        elif number == self.number and not shut:
            self.shut = False
        return {"number": self.number, "shut": self.shut, "empty": not self._holds()}
