"""Limits of the whole fleet as a placer sees them: GET /apis/wingbarrow.io/v1/limits; at the leader who holds what."""

from __future__ import annotations

from wingbarrow.decide.peers.rules import read
from wingbarrow.http.message import Request
from wingbarrow.http.server import Answer
from wingbarrow.kube import names
from wingbarrow.kube.status import ApiError
from wingbarrow.peers.host import Peering
from wingbarrow.transport import Hub


class LimitsFront:
    """One route."""

    def __init__(self, hub: Hub, peering: Peering) -> None:
        self._hub, self._peering = hub, peering

    def handle(self, request: Request) -> Answer:
        """Answer one request; ApiError for what is refused."""
        agreement = self._peering.agreement
        if agreement is None:
            raise ApiError(404, "this placer agrees on limits with nobody: `agree` in its settings", "NotFound")
        if request.method != "GET":
            raise ApiError(405, "GET is allowed here; limits are changed as rules are")
        now, purse = self._hub.now_us(), agreement.purse
        acting = agreement.acting(now)
        told: dict[str, object] = {
            "kind": "LimitList", "apiVersion": "wingbarrow.io/v1", "placer": agreement.me, "leader": agreement.leader,
            "grantLeftUs": max(0, agreement.holder.until_us - now), "items": [
                {"limit": each.limit.key, "most": each.limit.most, "windowUs": each.limit.window_us,
                 "share": each.share if acting is not None and acting.edition else 0, "uses": each.uses,
                 "wants": each.wants} for each in purse.told(now)]}
        if agreement.leads and agreement.bank is not None and agreement.agreed.rules:
            told["accounts"] = agreement.bank.told(now, read(agreement.agreed.rules).limits)
        return Answer(200, names.encode(told))
