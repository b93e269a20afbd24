"""What a play leaves, made by hand: as little as the judge needs, for breaches to be planted in."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from wingbarrow.config import load_text
from wingbarrow.lab.cluster import settings_text
from wingbarrow.peers.ruleset_settings import requested_rule_set

S = 1_000_000
AGREE = """agree {
    voter "placer-0"
    voter "placer-1"
    voter "placer-2"
    limit "namespace/default" most=40
    limit "class/web" most=20 per="5s"
}
"""


class Made:
    """A run of placers that all run and act on one edition, for `seconds` from time 0; lines are added by hand."""

    def __init__(
        self, folder: Path, placers: int = 3, seconds: int = 100, more: str = AGREE, **fleet: Any
    ) -> None:
        self.folder = folder
        self.names = [f"placer-{index}" for index in range(placers)]
        (folder / "fleet.json").write_text(
            json.dumps(
                {
                    "size": {"placers": placers},
                    "faults": [],
                    "names": self.names,
                    "voters": self.names[:3],
                    **fleet,
                }
            )
        )
        text = settings_text(0, placers, 1, 1, 0, str(folder)) + more
        (folder / "placer-0.kdl").write_text(text)
        self.rules = requested_rule_set(load_text(text)).text()
        self.events = [
            {"at_us": 0, "what": "started", "who": name, "life": 1} for name in self.names
        ]
        self.events.append({"at_us": seconds * S, "what": "over", "lag_worst_us": 0})
        self.records: list[dict[str, Any]] = []
        self.histories: dict[str, list[dict[str, Any]]] = {
            name: [
                {"at_us": 1, "what": "rules", "label": "e1", "edition": 1, "rules": self.rules},
                *(
                    {"at_us": 1, "what": "member-joined", "member": other}
                    for other in self.names
                    if other != name
                ),
            ]
            for name in self.names
        }

    def event(self, at_s: float, what: str, **fields: Any) -> None:
        """Something that the rig did."""
        self.events.append({"at_us": int(at_s * S), "what": what, **fields})

    def fault(
        self, from_s: float, until_s: float, kind: str, who: str, other: str = "", both: bool = True
    ) -> None:
        """A fault, begun and healed."""
        fields = {"kind": kind, "who": who, "other": other, "amount": 0.0, "both": both}
        self.event(from_s, "fault", **fields)
        self.event(until_s, "healed", **fields)

    def record(self, at_s: float, where: str, what: str, **data: Any) -> None:
        """Something that crossed a stand-in's socket."""
        self.records.append({"at_us": int(at_s * S), "where": where, "what": what, **data})

    def history(self, at_s: float, placer: str, what: str, **fields: Any) -> None:
        """A line of a placer's history."""
        self.histories.setdefault(placer, []).append(
            {"at_us": int(at_s * S), "what": what, **fields}
        )

    def written(self) -> Path:
        """The folder, with all of it."""
        files = {
            "events": self.events,
            "recording": self.records,
            **{f"{name}.history": lines for name, lines in self.histories.items()},
        }
        for name, lines in files.items():
            (self.folder / f"{name}.jsonl").write_text(
                "".join(
                    json.dumps(each) + "\n"
                    for each in sorted(lines, key=lambda each: int(each["at_us"]))
                )
            )
        return self.folder
