"""Placers that agree on rules, on a virtual clock."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from tests.stage import S, Stage
from wingbarrow.http.client import Pool
from wingbarrow.lab.cluster import PlacerSlot
from wingbarrow.store.voter_store import create

RULES = "/apis/wingbarrow.io/v1/rules"


class AgreementStage(Stage):
    """Placers, the first three of them voters, with the first two as their peers."""

    limits = ""  # KDL lines of the `agree` block

    def join(self) -> None:
        slots = self.cluster.placers
        voters = [slot.name for slot in slots[:3]]
        agree = "agree {\n" + "".join(
            f'    {"voter" if slot.name in voters else "member"} "{slot.name}"\n' for slot in slots
        )
        agree += self.limits + "}\n"
        for slot in slots:
            slot.kill()
            slot.extra = (
                '\nallow-peer "127.0.0.0/8"\n'
                + agree
                + "".join(
                    f'peer "127.0.0.1" port={each.port} name="{each.name}"\n'
                    for each in slots[:2]
                    if each is not slot
                )
            )
            if slot.name in voters:
                create(Path(slot.state) / "rules", tuple(voters))
        for slot in slots:
            slot.start()

    def rules_label(self, slot: PlacerSlot) -> str:
        if slot.service is None:
            return ""
        acting = slot.service.placer.active_rules.permitted_rules
        now = acting(self.hub.now_us()) if acting is not None else None
        return now.label if now is not None else ""

    def wait(self, done: Any, seconds: float = 30) -> bool:
        end = self.hub.now_us() + int(seconds * S)
        while not done() and self.hub.now_us() < end:
            self.hub.sleep(S // 20)
        return bool(done())

    def all_on(self, label: str) -> bool:
        return all(
            self.rules_label(slot) == label
            for slot in self.cluster.placers
            if slot.service is not None
        )

    def leader(self) -> PlacerSlot:
        return next(
            slot
            for slot in self.cluster.placers
            if slot.service is not None
            and slot.service.placer.peering.agreement is not None
            and slot.service.placer.peering.agreement.is_leader
        )

    def ask(
        self,
        slot: PlacerSlot,
        method: str = "GET",
        value: dict[str, Any] | None = None,
        path: str = RULES,
    ) -> tuple[int, dict[str, Any]]:
        body = None if value is None else json.dumps(value).encode()
        response = Pool(self.hub, "127.0.0.1", slot.port).request(
            method, path, body, [("Content-Type", "application/json")]
        )
        return response.status, json.loads(response.body)

    def latest_rules(self, **changes: Any) -> dict[str, Any]:
        state = self.ask(self.leader())[1]
        return {**state["versions"][-1]["rules"], **changes}
