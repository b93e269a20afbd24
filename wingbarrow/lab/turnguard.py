"""A stand-in machine's side of turns: `POST /turn` {"number": N, "shut": bool} -> {"number", "shut", "empty"}.

It keeps what it was told over a new start, as an agent does on its disk. Under a number that it was opened by it is
shut no more: a word that was late must not close a machine whose turn is over. Lower numbers change nothing.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from wingbarrow.http.message import Request
from wingbarrow.http.server import Answer
from wingbarrow.kube import names
from wingbarrow.kube.status import ApiError
from wingbarrow.lab.build import Pod
from wingbarrow.lab.record import Recorder


class TurnGuard:
    """`holds`: whether anything is pending or running; `record`, where what is told is written down as `where`'s."""

    def __init__(
        self, holds: Callable[[], bool], where: str = "", record: Recorder | None = None
    ) -> None:
        self._holds, self._where, self._record = holds, where, record
        self.number = 0
        self.shut = False
        self._told: dict[str, Any] = {}

    def refuses(self) -> bool:
        """Whether new work is refused (409 NodeShutdown)."""
        return self.shut

    def handle(self, body: dict[str, Any]) -> dict[str, Any]:
        """The answer; ValueError for a body that is none."""
        number, shut = body.get("number"), body.get("shut")
        if type(number) is not int or not 0 < number < 1 << 53 or type(shut) is not bool:
            raise ValueError("number and shut are wanted")
        if number > self.number:
            self.number, self.shut = number, shut
        elif number == self.number and not shut:
            self.shut = False
        told = {"number": self.number, "shut": self.shut, "empty": not self._holds()}
        if self._record is not None and told != self._told:
            self._record(self._where, "turn", **told)
        self._told = told
        return dict(told)

    # -- as one of a machine's guards

    def answer(self, method: str, path: str, request: Request) -> Answer | None:
        """None for what is not about turns."""
        if (method, path) != ("POST", "/turn"):
            return None
        try:
            return Answer(200, names.encode(self.handle(names.decode(request.body))))
        except ValueError as error:
            raise ApiError(400, str(error), "BadRequest") from None

    def refusal(self, pod: Pod) -> ApiError | None:
        """Why a task may not start; one that was pending when the machine was shut is refused too."""
        return (
            ApiError(409, f"turn {self.number} takes the machine out", "NodeShutdown")
            if self.shut
            else None
        )
