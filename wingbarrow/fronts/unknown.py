"""Jobs in state unknown: GET /apis/wingbarrow.io/v1/unknown lists those for which this placer is responsible.

Such a Job must not start twice, its placer's session has ended, and no placer can prove that it never ran. By POST
/unknown/NAMESPACE/NAME an operator states whether it ran: {"ran": false} has it started, {"ran": true} removed.
"""

from __future__ import annotations

from wingbarrow.core.placer import Placer
from wingbarrow.http.message import Request
from wingbarrow.http.server import Answer
from wingbarrow.kube import names
from wingbarrow.kube.status import ApiError

API = "wingbarrow.io/v1"


class UnknownFront:
    """Routes below /apis/wingbarrow.io/v1/unknown."""

    def __init__(self, placer: Placer) -> None:
        self._placer = placer

    def handle(self, request: Request, parts: list[str]) -> Answer:
        """Answer one request; raises ApiError if it is rejected."""
        failover = self._placer.job_failover
        if failover is None:
            raise ApiError(
                404, "no leases are held here: `agree` and a region in its settings", "NotFound"
            )
        if not parts:
            if request.method != "GET":
                raise ApiError(405, "GET is allowed here")
            return Answer(
                200,
                names.encode(
                    {"kind": "UnknownList", "apiVersion": API, "items": failover.unknown_jobs()}
                ),
            )
        if request.method != "POST" or len(parts) != 2:
            raise ApiError(405, "POST to NAMESPACE/NAME is allowed here")
        try:
            ran = names.decode(request.body).get("ran")
        except ValueError as error:
            raise ApiError(400, f"the body is no JSON object: {error}", "BadRequest") from None
        if not isinstance(ran, bool):
            raise ApiError(422, 'a word is wanted: {"ran": true} or {"ran": false}', "Invalid")
        failover.resolve_unknown_job("/".join(parts), ran)
        return Answer(
            200, names.encode({"kind": "Status", "apiVersion": "v1", "status": "Success"})
        )
