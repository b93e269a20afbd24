"""One voter's life in which every kind of entry is decided: what its store holds then is kept in `tests/data/stored`.

The voter is `Agreement` itself, with all chapters, on a clock of this module; three placers ask it, one of them falls
silent, machines are taken out in turns. All is deterministic: the same program decides the same entries.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from hashlib import blake2b
from pathlib import Path
from typing import Any

import lmdb

from tests.wire import samples
from tests.wire.samples import S
from wingbarrow.decide.consensus.entries import VOTERS, LogEntry
from wingbarrow.decide.consensus.persistent_state import PersistentState, sole_voter_update
from wingbarrow.decide.coordination.coordinator import Coordinator
from wingbarrow.decide.coordination.messages import LeaseGrant, LeaseRequest
from wingbarrow.decide.coordination.settings import CoordinationSettings, LocalPlacer, Subsystems
from wingbarrow.decide.effects import Persist, Send, SetTimer
from wingbarrow.decide.maintenance.messages import MaintenanceReport, RegionView, SlotRequest
from wingbarrow.decide.maintenance.scheduler import MaintenanceScheduler
from wingbarrow.decide.maintenance.slots import Slot, SlotQueue
from wingbarrow.decide.maintenance.timing import MaintenanceTiming
from wingbarrow.decide.quotas.allocations import AllocationLedger
from wingbarrow.decide.quotas.entries import Allocation, LimitAllocations
from wingbarrow.decide.quotas.escrow import QuotaReport
from wingbarrow.decide.regions.reports import RegionReport, RegionSubsystem
from wingbarrow.decide.rulesets.versions import RECOVERED, from_text
from wingbarrow.decide.sessions.messages import HeldRecords, SessionsReport
from wingbarrow.decide.sessions.session import EndedSession, Session
from wingbarrow.decide.sessions.session_log import LatestSession, OpenSession, SessionLog
from wingbarrow.decide.sessions.session_subsystem import SessionSubsystem
from wingbarrow.store.voter_store import VoterStore, create

ME = "a"
WALL_US = 1_780_000_000 * S
LEASE_US = 4 * S
TIMES = MaintenanceTiming(try_us=2 * S)
RULES = replace(samples.RULES, asked=(), cancelled=())
# Against the first rules: one more try, one machine fewer. Neither allows the other; two steps lead there.
OTHER = replace(RULES, attempts_most=5, barred=("node-7", "node-8"))
FLOOR = replace(
    RULES, barred=("node-7", "node-8"), asked=(), limits=(), federation=type(RULES.federation)()
)
# When a placer's asks hold what it wants: before the snapshot and after it.
WANTS = {
    2 * S: (
        SlotRequest(
            "w@1/node-1", "node-1", "hall-a", "rack-0", "calendar", 3, 1_780_000_600 * S, 3 * S
        ),
    ),
    13 * S: (
        SlotRequest(
            "w@2/node-1", "node-1", "hall-a", "rack-0", "calendar", 3, 1_780_000_600 * S, 3 * S
        ),
        SlotRequest(
            "gone@1/node-2", "node-2", "hall-a", "rack-1", "calendar", 0, 1_780_000_700 * S, S
        ),
        SlotRequest(
            "v/node-3", "node-3", "hall-a", "rack-1", "verdict", 5, 0, S, from_us=WALL_US + 18 * S
        ),
    ),
}
OPERATORS = {
    "ident": "op-1",
    "machine": "node-4",
    "region": "",
    "zone": "",
    "cell": "",
    "why": "operator",
    "urgency": 5,
    "latest_us": 0,
    "lasts_us": 0,
    "worker": "worker-1",
    "at_us": WALL_US + 14 * S,
}


def turns_said(
    queue: SlotQueue, at_us: int, wants: tuple[SlotRequest, ...] = ()
) -> MaintenanceReport:
    """What a placer says whose machines do all that is asked of them at once."""
    by = {
        state: tuple(each.number for each in queue.slots.values() if each.state == state)
        for state in ("asked", "closing", "empty", "back")
    }
    shut = by["closing"] + by["empty"]
    return MaintenanceReport(
        clear=shut,
        empty=shut,
        tried=by["back"],
        tasks=tuple((number, 2) for number in by["asked"]),
        places=tuple((number, "hall-a", "rack-2") for number in by["asked"]),
        region="north",
        at_us=at_us,
        view=RegionView(
            (("hall-a", "rack-0", 8), ("hall-a", "rack-1", 8), ("hall-a", "rack-2", 8)), (), 1.0
        ),
        wants=wants,
    )


class OwnTurns:
    """The voter's own part of its asks."""

    name = "turns"

    def __init__(self, queue: SlotQueue) -> None:
        self._queue = queue

    def report(self, now_us: int) -> MaintenanceReport:
        return turns_said(self._queue, now_us)

    def on_response(self, now_us: int, asked_us: int, told: Any) -> list[Any]:
        return []


@dataclass
class Placer:
    """One that asks twice a second until it falls silent."""

    name: str
    region: str
    silent_us: int = 1 << 62
    keeps: tuple[str, int] = ("", 0)  # for whom, from when on
    from_us: int = 0
    wants: bool = False
    number: int = 0
    edition: int = 0
    floor: int = 0
    reign: int = 0
    session: Session | None = None
    heard: int = 0
    told: list[LeaseGrant] = field(default_factory=list)

    def ask(
        self, now_us: int, queue: SlotQueue, sessions: dict[str, Session | None]
    ) -> LeaseRequest:
        self.number += 1
        kept = sessions.get(self.keeps[0]) if now_us >= self.keeps[1] else None
        return LeaseRequest(
            self.number,
            self.edition,
            self.floor,
            7,
            now_us,
            tuple(QuotaReport(each.key, 0, 0, 4) for each in RULES.limits),
            self.region,
            sessions=SessionsReport(
                self.region,
                self.session.serial if self.session is not None else 0,
                2,
                (HeldRecords(kept, 2, 3 * S),) if kept is not None else (),
                self.heard,
            ),
            turns=self._turns(now_us, queue),
            regions=RegionReport(self.region, 96.0, 192.0, 48.0, 96.0, machines=24),
            reign=self.reign,
        )

    def _turns(self, now_us: int, queue: SlotQueue) -> MaintenanceReport:
        said = turns_said(queue, now_us, WANTS.get(now_us, ()) if self.wants else ())
        if self.region == "north":
            return said
        return MaintenanceReport(clear=said.clear, region=self.region, at_us=now_us)

    def take(self, grant: LeaseGrant) -> None:
        self.told.append(grant)
        self.edition, self.reign, self.floor = grant.edition, grant.reign, grant.floor
        if grant.sessions is not None:
            self.heard = grant.sessions.epoch
            if grant.sessions.open:
                self.session = Session(self.name, grant.sessions.life, grant.sessions.serial)


class Voter:
    """The voter and its host: timers, what it has put on disk, what it sent."""

    def __init__(self, disk: PersistentState, now_us: int = S) -> None:
        self.now_us = now_us
        self.persisted: list[Persist] = []
        self.sent: list[Send] = []
        self._timers: dict[str, int] = {}
        self.sessions = SessionSubsystem(LEASE_US)
        self.turns = MaintenanceScheduler(ME, lambda now_us: WALL_US + now_us, TIMES)
        self.agreement = Coordinator(
            LocalPlacer(ME, incarnation=7),
            CoordinationSettings((ME,)),
            disk,
            5,
            Subsystems(
                (self.sessions, RegionSubsystem(LEASE_US), self.turns),
                (OwnTurns(self.turns.queue),),
            ),
        )
        self._do(self.agreement.start(self.now_us))

    def _do(self, effects: list[Any]) -> None:
        for each in effects:
            if isinstance(each, SetTimer):
                self._timers[each.key] = each.at_us
            elif isinstance(each, Persist):
                self.persisted.append(each)
            elif isinstance(each, Send):
                self.sent.append(each)

    def run(self, until_us: int) -> None:
        while True:
            key = min(self._timers, key=lambda key: (self._timers[key], key), default="")
            if not key or self._timers[key] > until_us:
                self.now_us = until_us
                return
            self.now_us = max(self.now_us, self._timers.pop(key))
            self._do(self.agreement.on_timer(self.now_us, key))

    def hear(self, name: str, message: Any) -> None:
        self._do(self.agreement.on_message(self.now_us, name, f"{name}:1", message))

    def propose(self, kind: str, value: dict[str, Any]) -> None:
        self._do(self.agreement.propose(self.now_us, kind, value))

    def propose_rules(self, ident: str, rules: Any, base: int) -> None:
        text = samples.rules_text(rules)
        self.propose("propose", {"ident": ident, "base": base, "rules": text, "by": ME, "why": "ä"})

    def propose_floor(self, ident: str, lasts_us: int) -> None:
        text = samples.rules_text(FLOOR)
        self.propose(
            "floor", {"ident": ident, "rules": text, "by": ME, "why": "", "lasts_us": lasts_us}
        )

    def propose_same_voters(self) -> None:
        raft = self.agreement.raft
        assert raft is not None
        self._do(self.agreement.apply_raft(self.now_us, raft.propose(self.now_us, VOTERS, ME)[1]))

    def fold(self) -> None:
        """Put a snapshot on disk, as once the log is long."""
        raft = self.agreement.raft
        assert raft is not None
        effects = raft.log.compact(self.agreement.snapshot())
        self._do(self.agreement.apply_raft(self.now_us, effects))


def restarted(voter: Voter) -> Voter:
    """Another life of the voter, from what the first put on disk."""
    made = Voter(disk_of(voter.persisted), voter.now_us)
    made.persisted[:0] = voter.persisted
    return made


def life() -> tuple[list[Persist], list[Placer]]:
    """All that the voter put on disk, and its placers with the grants that came to them."""
    voter = Voter(PersistentState((ME,)))
    placers = [
        Placer("p", "north", silent_us=8 * S),
        Placer("q", "south", keeps=("p", 0)),
        Placer("r", "north", keeps=("p", 18 * S), wants=True),
        Placer("s", "south", from_us=15 * S),
    ]
    script: dict[int, Callable[[], None]] = {
        4: lambda: voter.propose_rules("first", RULES, 0),
        8: lambda: voter.propose_floor("floor-1", 3 * S),
        10: voter.propose_same_voters,
        12: voter.fold,
        14: lambda: voter.propose_rules("second", OTHER, 1),
        16: lambda: voter.propose_floor("floor-2", 2 * S),
        28: lambda: voter.propose("turns/ask", dict(OPERATORS)),
        48: lambda: voter.propose(
            "turns/back", {"number": 5, "at_us": WALL_US + 24 * S, "note": "ä"}
        ),
        60: lambda: voter.propose_rules("refused", OTHER, 1),
    }
    for half in range(2, 64):
        voter.run(half * S // 2)
        script.get(half, lambda: None)()
        if half == 56:
            voter = restarted(voter)
        for each in placers:
            if each.from_us <= voter.now_us < each.silent_us:
                held = {other.name: other.session for other in placers}
                voter.hear(each.name, each.ask(voter.now_us, voter.turns.queue, held))
        voter.run(half * S // 2 + S // 8)
        for sent in voter.sent:
            if isinstance(sent.message, LeaseGrant):
                next(each for each in placers if each.name == sent.ident).take(sent.message)
        voter.sent.clear()
    raft = voter.agreement.raft
    assert raft is not None
    voter.persisted.append(sole_voter_update(ME, raft.persistent, RECOVERED))
    return voter.persisted, placers


def disk_of(persisted: list[Persist]) -> PersistentState:
    disk = PersistentState((ME,))
    for each in persisted:
        disk.persist(each)
    return disk


def entries(persisted: list[Persist]) -> list[LogEntry]:
    """All entries ever decided."""
    disk, out = PersistentState((ME,)), dict[int, LogEntry]()
    for each in persisted:
        disk.persist(each)
        out |= dict(enumerate(disk.log, disk.snapshot_index + 1))
    return [out[index] for index in sorted(out)]


# -- replaying


class State:
    """The replicated state of a snapshot, with entries applied to it as a voter does."""

    def __init__(self, text: str) -> None:
        self.agreed = from_text(text)
        self.chapters: dict[str, Any] = {
            each.name: each
            for each in (
                AllocationLedger(2 * S),
                SessionSubsystem(LEASE_US),
                RegionSubsystem(LEASE_US),
                MaintenanceScheduler(ME, lambda now_us: 0),
            )
        }
        for name, chapter in self.chapters.items():
            chapter.restore(self.agreed.subsystem_snapshots.get(name, ""))

    def apply(self, entry: LogEntry) -> None:
        name, _, kind = entry.kind.partition("/")
        if kind:
            self.chapters[name].apply(kind, json.loads(entry.body))
        elif entry.kind not in ("", VOTERS):
            self.agreed.apply(entry.kind, entry.body)
            if entry.kind == RECOVERED:
                self.chapters["blocks"].recovered()
                self.chapters["turns"].apply(RECOVERED, {})

    def texts(self) -> dict[str, str]:
        return {"agreed": self.agreed.text()} | {
            name: each.snapshot() for name, each in self.chapters.items()
        }

    @property
    def digest(self) -> str:
        return blake2b(json.dumps(self.texts()).encode(), digest_size=16).hexdigest()


def replayed(disk: PersistentState) -> Iterator[tuple[str, State]]:
    """The snapshot's state, then the state after each entry of the log, with the entry's kind."""
    state = State(disk.snapshot_state)
    yield "snapshot", state
    for entry in disk.log:
        state.apply(entry)
        yield entry.kind, state


def write_store(folder: Path, persisted: list[Persist], scratch: Path) -> None:
    """A store of all that was put on disk, copied without free pages."""
    create(scratch, (ME,))
    store = VoterStore(scratch)
    for each in persisted:
        store.persist(each)
    store.close()
    compact(scratch, folder)


def compact(source: Path, folder: Path) -> None:
    """Copy a store without free pages."""
    folder.mkdir(parents=True, exist_ok=True)
    with lmdb.open(str(source), create=False) as env:
        env.copy(str(folder), compact=True)


# -- for the tests


def leads(voter: Voter) -> bool:
    return voter.agreement.is_leader


def accepted(voter: Voter) -> tuple[int, str]:
    """The latest version, and the outcome of the proposal `after`."""
    agreed = voter.agreement.rule_set_state
    return agreed.version, agreed.outcomes.get("after", "not decided")


def text_again(name: str, text: str) -> str:
    """The text of what a text restores."""
    if name == "agreed":
        return from_text(text).text()
    chapter = State("").chapters[name]
    chapter.restore(text)
    made: str = chapter.snapshot()
    return made


def values(state: State) -> dict[str, Any]:
    """Some of the state, as values of the program's own types."""
    blocks, sessions, turns = (state.chapters[name] for name in ("blocks", "sessions", "turns"))
    agreed = state.agreed
    return {
        "agreed": (agreed.revision, agreed.version, agreed.steps, agreed.outcomes),
        "rules": samples.read_rules(agreed.rules),
        "versions": [(each.number, each.base, each.by, each.why) for each in agreed.versions],
        "floors": [
            (each.number, samples.read_rules(each.rules), each.lasts_us) for each in agreed.floors
        ],
        "blocks": (
            blocks.serial,
            blocks.may_have_lost_moves,
            blocks.incarnations,
            blocks.allocations,
        ),
        "sessions": sessions.log,
        "turns": (turns.queue.last, turns.queue.version, turns.queue.outcomes, turns.queue.slots),
    }


_P, _Q, _R, _S = (Session(name, 7, 1) for name in "pqrs")
_OPEN = (
    OpenSession("south", LEASE_US),
    OpenSession("north", LEASE_US),
    OpenSession("south", LEASE_US),
)


def _parts(a: int, others: int) -> LimitAllocations:
    sizes = {"a": a, "p": 0, "q": others, "r": others}
    return LimitAllocations({name: Allocation(size, size) for name, size in sizes.items()})


def _turn(number: int, wanted: SlotRequest, asked_us: int, since_us: int, **more: Any) -> Slot:
    told: dict[str, Any] = {"state": "done", "tasks": 4, "note": "its time is over"}
    return Slot(
        number,
        wanted.machine,
        "north",
        wanted.zone,
        wanted.cell,
        wanted.why,
        wanted.urgency,
        wanted.latest_us,
        WALL_US + asked_us,
        wanted.lasts_us,
        since_us=WALL_US + since_us,
        ident=wanted.ident,
        from_us=wanted.from_us,
        **{"worker": "", **told, **more},
    )


_FIRST, (_AGAIN, _GONE, _VERDICT) = WANTS[2 * S][0], WANTS[13 * S]
_OPERATORS = SlotRequest("op-1", "node-4", "hall-a", "rack-2", "operator", 5, 0, 0)
_REFUSED = "version 2 has been accepted since; yours is based on 1: see `rules diff`"
VALUES: dict[str, Any] = {
    "agreed": (
        1003,
        2,
        [],
        {"first": "", "floor-1": "", "second": "", "floor-2": "", "refused": _REFUSED},
    ),
    "rules": OTHER,
    "versions": [(1, 0, "a", "ä"), (2, 1, "a", "ä")],
    "floors": [(2, FLOOR, 2 * S)],
    "blocks": (
        1_000_006,
        True,
        {"p": 7, "q": 7, "r": 7, "a": 7},
        {
            "class/web/rate": _parts(3, 12),
            "cold": _parts(2, 9),
            "namespace/default/standing": _parts(2, 9),
        },
    ),
    "sessions": SessionLog(
        3,
        dict(zip((_Q, _R, _S), _OPEN, strict=True)),
        {each.placer: LatestSession(7, each) for each in (_P, _Q, _R, _S)},
        {_P: EndedSession(1, _P, "north", (("q",), ("r",)), (), 3)},
        {_P: {"q": _Q, "r": _R}},
    ),
    "turns": (
        10_005,
        10_030,
        {"v/node-3": (4, ""), "op-1": (5, "")},
        {
            1: _turn(1, _FIRST, 2_020_000, 7_560_000, tasks=6, out_us=WALL_US + 4_290_000),
            2: _turn(2, _AGAIN, 13_020_000, 18_020_000, out_us=WALL_US + 14_770_000),
            3: _turn(
                3,
                _GONE,
                13_020_000,
                13_270_000,
                state="given-back",
                tasks=0,
                given=True,
                note="its window was taken back",
            ),
            4: _turn(4, _VERDICT, 13_020_000, 19_270_000, out_us=WALL_US + 18_020_000),
            5: _turn(
                5,
                _OPERATORS,
                14_000_000,
                24_020_000,
                worker="worker-1",
                note="ä",
                out_us=WALL_US + 19_020_000,
            ),
        },
    ),
}
