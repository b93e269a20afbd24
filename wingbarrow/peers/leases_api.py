"""Sessions as Kubernetes' `coordination.k8s.io/v1 Lease` objects: GET /apis/wingbarrow.io/v1/leases.

At the leader all that are open, and the ends that are kept; elsewhere this placer's own, and the ends that it heard of.
`leaseTransitions` is the fencing epoch: of an open session that of the latest change anywhere when it was read, of one
that has ended that under which whoever succeeds acts.
"""

from __future__ import annotations

from typing import Any

from wingbarrow.decide.coordination.coordinator import Coordinator
from wingbarrow.decide.sessions.session import EndedSession, Session
from wingbarrow.decide.sessions.session_subsystem import SessionSubsystem
from wingbarrow.http.message import Request
from wingbarrow.http.server import Answer
from wingbarrow.kube import names
from wingbarrow.kube.status import ApiError
from wingbarrow.peers.host import Peering
from wingbarrow.transport import Hub


class LeasesFront:
    """One route."""

    def __init__(self, hub: Hub, peering: Peering) -> None:
        self._hub, self._peering = hub, peering

    def handle(self, request: Request) -> Answer:
        """Answer one request; ApiError for what is refused."""
        agreement = self._peering.agreement
        if agreement is None:
            raise ApiError(
                404, "this placer agrees with nobody: `agree` in its settings", "NotFound"
            )
        if request.method != "GET":
            raise ApiError(405, "GET is allowed here; sessions are opened and ended by the voters")
        epoch, items = self._of_leader(agreement) if agreement.is_leader else self._own()
        return Answer(
            200,
            names.encode(
                {
                    "kind": "LeaseList",
                    "apiVersion": "coordination.k8s.io/v1",
                    "metadata": {"resourceVersion": str(epoch)},
                    "items": items,
                }
            ),
        )

    def _of_leader(self, agreement: Coordinator) -> tuple[int, list[dict[str, Any]]]:
        sessions, now = agreement.subsystems["sessions"], self._hub.now_us()
        assert isinstance(sessions, SessionSubsystem)
        log, items = sessions.log, []
        for session, terms in sorted(log.open.items()):
            renewed, said = (
                sessions.leader.renewed_us.get(session),
                sessions.leader.reports.get(session.placer),
            )
            item = self._lease(session, terms.region, "open", terms.lease_us, renewed, log.epoch)
            item["status"] |= {
                "lives": sessions.is_live(now, session),
                "reckonedLeftUs": max(0, sessions.lease_until_us(session) - now),
            }
            if said is not None:
                item["status"] |= {
                    "leasedJobs": said.leased,
                    "keepsFor": {
                        each.session.text(): {"jobs": each.jobs, "afterUs": each.after_us}
                        for each in said.keeping
                    },
                }
            items.append(item)
        return log.epoch, items + [
            self._over(each) for each in sorted(log.ended.values(), key=lambda one: one.epoch)
        ]

    def _own(self) -> tuple[int, list[dict[str, Any]]]:
        lease, items = self._peering.lease, []
        if lease.session is not None:
            state = "open" if lease.may_send(self._hub.now_us()) else "lapsed"
            items.append(
                self._lease(
                    lease.session,
                    lease.region,
                    state,
                    lease.lease_us,
                    lease.requested_us,
                    lease.known_epoch,
                )
            )
        return lease.known_epoch, items + [
            self._over(each) for each in sorted(lease.ended.values(), key=lambda one: one.epoch)
        ]

    def _over(self, ended: EndedSession) -> dict[str, Any]:
        item = self._lease(ended.session, ended.region, "ended", 0, None, ended.changed)
        item["status"] |= {
            "epoch": ended.epoch,
            "batches": [list(each) for each in ended.batches],
            "gone": list(ended.gone),
        }
        return item

    def _lease(
        self,
        session: Session,
        region: str,
        state: str,
        lease_us: int,
        renewed_us: int | None,
        epoch: int,
    ) -> dict[str, Any]:
        spec: dict[str, Any] = {"holderIdentity": session.text(), "leaseTransitions": epoch}
        if lease_us:
            spec["leaseDurationSeconds"] = max(1, lease_us // 1_000_000)
        if renewed_us is not None:
            spec["renewTime"] = names.time_text(
                self._hub.clock.wall_us() - (self._hub.now_us() - renewed_us)
            )
        return {
            "kind": "Lease",
            "apiVersion": "coordination.k8s.io/v1",
            "metadata": {
                "name": session.text().replace("/", "."),
                "labels": {names.PREFIX + "region": region},
            },
            "spec": spec,
            "status": {"state": state},
        }
