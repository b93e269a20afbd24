"""Sessions as Kubernetes' `coordination.k8s.io/v1 Lease` objects: GET /apis/wingbarrow.io/v1/leases.

The leader lists all open sessions and the ended ones that are retained. Other placers list their own session and the
ended ones that they know. `leaseTransitions` is the fencing token: for an open session the epoch of the latest change
of any session, for an ended one the epoch under which its successors act.
"""

from __future__ import annotations

from collections.abc import Mapping
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

API_VERSION = "coordination.k8s.io/v1"


class LeasesApi:
    """Handler of GET /apis/wingbarrow.io/v1/leases."""

    def __init__(self, hub: Hub, peering: Peering) -> None:
        self._hub = hub
        self._peering = peering

    def handle(self, request: Request) -> Answer:
        """Return the answer to one request; ApiError 404 without voters in the settings, 405 for another method."""
        agreement = self._peering.agreement
        if agreement is None:
            raise ApiError(
                404, "this placer agrees with nobody: `agree` in its settings", "NotFound"
            )
        if request.method != "GET":
            raise ApiError(405, "GET is allowed here; sessions are opened and ended by the voters")
        epoch, items = self._leader_items(agreement) if agreement.is_leader else self._own_items()
        leases = {
            "kind": "LeaseList",
            "apiVersion": API_VERSION,
            "metadata": {"resourceVersion": str(epoch)},
            "items": items,
        }
        return Answer(200, names.encode(leases))

    def _leader_items(self, agreement: Coordinator) -> tuple[int, list[dict[str, Any]]]:
        """Return the epoch, and all sessions that are open, or ended and retained."""
        sessions = agreement.subsystems["sessions"]
        assert isinstance(sessions, SessionSubsystem)
        items = [self._open_item(sessions, session) for session in sorted(sessions.log.open)]
        return sessions.log.epoch, items + self._ended_items(sessions.log.ended)

    def _open_item(self, sessions: SessionSubsystem, session: Session) -> dict[str, Any]:
        now_us = self._hub.now_us()
        terms = sessions.log.open[session]
        renewed_us = sessions.leader.renewed_us.get(session)
        item = self._item(session, terms.region, "open", sessions.log.epoch)
        item["spec"] |= self._timing(terms.lease_us, renewed_us)
        item["status"] |= {
            "lives": sessions.is_live(now_us, session),
            "reckonedLeftUs": max(0, sessions.lease_until_us(session) - now_us),
        }
        report = sessions.leader.reports.get(session.placer)
        if report is not None:
            held = {
                each.session.text(): {"jobs": each.jobs, "afterUs": each.after_us}
                for each in report.keeping
            }
            item["status"] |= {"leasedJobs": report.leased, "keepsFor": held}
        return item

    def _own_items(self) -> tuple[int, list[dict[str, Any]]]:
        """Return the epoch that this placer knows, its own session, and the ended sessions that it knows."""
        lease = self._peering.lease
        items = self._ended_items(lease.ended)
        if lease.session is not None:
            state = "open" if lease.may_send(self._hub.now_us()) else "lapsed"
            item = self._item(lease.session, lease.region, state, lease.known_epoch)
            item["spec"] |= self._timing(lease.lease_us, lease.requested_us)
            items.insert(0, item)
        return lease.known_epoch, items

    def _ended_items(self, ends: Mapping[Session, EndedSession]) -> list[dict[str, Any]]:
        by_epoch = sorted(ends.values(), key=lambda ended: ended.epoch)
        return [self._ended_item(each) for each in by_epoch]

    def _ended_item(self, ended: EndedSession) -> dict[str, Any]:
        item = self._item(ended.session, ended.region, "ended", ended.changed)
        item["status"] |= {
            "epoch": ended.epoch,
            "batches": [list(each) for each in ended.batches],
            "gone": list(ended.gone),
        }
        return item

    def _timing(self, lease_us: int, renewed_us: int | None) -> dict[str, Any]:
        """Return a Lease's duration and the wall-clock time of its renewal, as far as they are known."""
        timing: dict[str, Any] = {}
        if lease_us:
            timing["leaseDurationSeconds"] = max(1, lease_us // 1_000_000)
        if renewed_us is not None:
            age_us = self._hub.now_us() - renewed_us
            timing["renewTime"] = names.time_text(self._hub.clock.wall_us() - age_us)
        return timing

    def _item(self, session: Session, region: str, state: str, epoch: int) -> dict[str, Any]:
        return {
            "kind": "Lease",
            "apiVersion": API_VERSION,
            "metadata": {
                "name": session.text().replace("/", "."),
                "labels": {names.PREFIX + "region": region},
            },
            "spec": {"holderIdentity": session.text(), "leaseTransitions": epoch},
            "status": {"state": state},
        }
