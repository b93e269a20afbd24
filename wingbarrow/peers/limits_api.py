"""Fleet-wide quotas and ejections as a placer sees them: GET /apis/wingbarrow.io/v1/limits and .../verdicts.

The leader also reports the allocations of each limit by placer, and the health reports on each machine.
"""

from __future__ import annotations

from wingbarrow.decide.coordination.coordinator import Coordinator
from wingbarrow.decide.rulesets.parsing import parse_rule_set
from wingbarrow.http.message import Request
from wingbarrow.http.server import Answer
from wingbarrow.kube import names
from wingbarrow.kube.status import ApiError
from wingbarrow.peers.host import Peering
from wingbarrow.transport import Hub


class LimitsApi:
    """Handler of the routes `limits` and `verdicts`."""

    def __init__(self, hub: Hub, peering: Peering) -> None:
        self._hub, self._peering = hub, peering

    def handle(self, request: Request, resource: str) -> Answer:
        """Answer one request for `limits` or `verdicts`.

        Raises ApiError 404 without voters in the settings, 405 for a method other than GET.
        """
        agreement = self._peering.agreement
        if agreement is None:
            raise ApiError(
                404, "this placer agrees with nobody: `agree` in its settings", "NotFound"
            )
        if request.method != "GET":
            raise ApiError(405, "GET is allowed here; limits are changed as rules are")
        if resource == "verdicts":
            return self._verdicts(agreement)
        now = self._hub.now_us()
        quotas = agreement.quotas
        acting = agreement.rules_in_force(now)
        limits: dict[str, object] = {
            "kind": "LimitList",
            "apiVersion": "wingbarrow.io/v1",
            "placer": agreement.name,
            "leader": agreement.leader,
            "grantLeftUs": max(0, agreement.rules_lease.expires_us - now),
            "items": [
                {
                    "limit": each.key,
                    "most": quotas.limits[each.key].most,
                    "windowUs": quotas.limits[each.key].window_us,
                    "share": each.share if acting is not None and acting.revision else 0,
                    "uses": each.uses,
                    "wants": each.wants,
                }
                for each in quotas.report(now)
            ],
        }
        if agreement.is_leader and agreement.rule_set_state.rules:
            limits["accounts"] = agreement.allocations.accounts(
                now, parse_rule_set(agreement.rule_set_state.rules).limits
            )
        return Answer(200, names.encode(limits))

    def _verdicts(self, agreement: Coordinator) -> Answer:
        now = self._hub.now_us()
        verdicts: dict[str, object] = {
            "kind": "VerdictList",
            "apiVersion": "wingbarrow.io/v1",
            "placer": agreement.name,
            "leader": agreement.leader,
            "closed": sorted(agreement.ejections.ejected(now)),
        }
        if agreement.is_leader:
            detector = agreement.outlier_detector
            verdicts["items"] = [
                {
                    "machine": machine,
                    "ageUs": now - each.start_us,
                    "leftUs": 0 if each.end_reason else each.until_us - now,
                    "by": list(each.reporters),
                    "strikes": each.doublings,
                    "ended": each.end_reason,
                    "prober": each.prober,
                }
                for machine, each in sorted(detector.ejections.items())
            ]
            verdicts["spared"] = dict(sorted(detector.not_ejected.items()))
            verdicts["witnesses"] = [
                {
                    "placer": name,
                    "region": each.region,
                    "ageUs": now - each.received_us,
                    "bad": each.outliers,
                    "tried": each.tried,
                    "evidence": {
                        key: [report.failed, report.tried]
                        for key, report in sorted(each.reports.items())
                    },
                }
                for name, each in sorted(detector.reporters.items())
            ]
        return Answer(200, names.encode(verdicts))
