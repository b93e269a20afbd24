"""A simulated machine's side of maintenance turns.

`POST /turn` {"number": N, "shut": bool} -> {"number", "shut", "empty"}.

The state survives a relaunch, as an agent's state on disk does. Once a turn's number has opened the machine, the same
number cannot shut it again: a delayed request must not shut a machine whose turn is over. Lower numbers are ignored.
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
    """Refuses tasks during a maintenance turn.

    `is_busy` returns whether any task is pending or running; state changes are written to `record`, under `where`.
    """

    def __init__(
        self, is_busy: Callable[[], bool], where: str = "", record: Recorder | None = None
    ) -> None:
        self._is_busy, self._where, self._record = is_busy, where, record
        self.number = 0
        self.shut = False
        self._last_recorded: dict[str, Any] = {}

    def refuses(self) -> bool:
        """Whether new work is refused (409 NodeShutdown)."""
        return self.shut

    def handle(self, body: dict[str, Any]) -> dict[str, Any]:
        """Apply a request and return the state; ValueError for an invalid body."""
        number, shut = body.get("number"), body.get("shut")
        if type(number) is not int or not 0 < number < 1 << 53 or type(shut) is not bool:
            raise ValueError("number and shut are wanted")
        if number > self.number:
            self.number, self.shut = number, shut
        elif number == self.number and not shut:
            self.shut = False
        state = {"number": self.number, "shut": self.shut, "empty": not self._is_busy()}
        if self._record is not None and state != self._last_recorded:
            self._record(self._where, "turn", **state)
        self._last_recorded = state
        return dict(state)

    # -- the Guard protocol

    def answer(self, method: str, path: str, request: Request) -> Answer | None:
        """Serve `POST /turn`; None for any other call."""
        if (method, path) != ("POST", "/turn"):
            return None
        try:
            return Answer(200, names.encode(self.handle(names.decode(request.body))))
        except ValueError as error:
            raise ApiError(400, str(error), "BadRequest") from None

    def refusal(self, pod: Pod) -> ApiError | None:
        """Why a task may not start, or None; a task that was pending when the machine was shut is refused too."""
        return (
            ApiError(409, f"turn {self.number} takes the machine out", "NodeShutdown")
            if self.shut
            else None
        )
