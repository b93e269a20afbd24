"""A history of one voter that commits every kind of log entry; `tests/data/stored` has the store that it left.

The voter is a `Coordinator` with all replicated subsystems, on a clock of this module. Four placers renew their leases
with it; one of them stops, and machines go through maintenance slots. The history is deterministic: the same program
commits the same entries.
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
TIMING = MaintenanceTiming(trial_us=2 * S)
RULES = replace(samples.RULES, asked=(), cancelled=())
# One more attempt and one machine fewer than `RULES`: neither rule set permits what the other does, so that the
# transition takes two steps.
OTHER = replace(RULES, attempts_most=5, barred=("node-7", "node-8"))
FLOOR = replace(
    RULES, barred=("node-7", "node-8"), asked=(), limits=(), federation=type(RULES.federation)()
)
# Requests for maintenance slots, by the time of the lease request with them: before the snapshot, and after it.
SLOT_REQUESTS = {
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
OPERATOR_REQUEST = {
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


def maintenance_report(
    queue: SlotQueue, at_us: int, slot_requests: tuple[SlotRequest, ...] = ()
) -> MaintenanceReport:
    """Return the report of a placer whose machines perform each step of their slots at once."""
    numbers = {
        state: tuple(each.number for each in queue.slots.values() if each.state == state)
        for state in ("asked", "closing", "empty", "back")
    }
    closed = numbers["closing"] + numbers["empty"]
    return MaintenanceReport(
        clear=closed,
        empty=closed,
        tried=numbers["back"],
        tasks=tuple((number, 2) for number in numbers["asked"]),
        places=tuple((number, "hall-a", "rack-2") for number in numbers["asked"]),
        region="north",
        at_us=at_us,
        view=RegionView(
            (("hall-a", "rack-0", 8), ("hall-a", "rack-1", 8), ("hall-a", "rack-2", 8)), (), 1.0
        ),
        wants=slot_requests,
    )


class OwnMaintenance:
    """The maintenance part of the voter's own lease requests."""

    name = "turns"

    def __init__(self, queue: SlotQueue) -> None:
        self._queue = queue

    def report(self, now_us: int) -> MaintenanceReport:
        return maintenance_report(self._queue, now_us)

    def on_response(self, now_us: int, requested_us: int, response: Any) -> list[Any]:
        return []


@dataclass
class Placer:
    """A placer that sends a lease request twice a second, from `start_us` until `stop_us`."""

    name: str
    region: str
    stop_us: int = 1 << 62
    replica_of: tuple[str, int] = ("", 0)  # the primary, and since when it stores its records
    start_us: int = 0
    requests_slots: bool = False
    last_number: int = 0
    revision: int = 0
    floor: int = 0
    grant_term: int = 0
    session: Session | None = None
    sessions_epoch: int = 0
    grants: list[LeaseGrant] = field(default_factory=list)

    def lease_request(
        self, now_us: int, queue: SlotQueue, sessions: dict[str, Session | None]
    ) -> LeaseRequest:
        self.last_number += 1
        primary_session = sessions.get(self.replica_of[0]) if now_us >= self.replica_of[1] else None
        return LeaseRequest(
            self.last_number,
            self.revision,
            self.floor,
            7,
            now_us,
            tuple(QuotaReport(each.key, 0, 0, 4) for each in RULES.limits),
            self.region,
            sessions=SessionsReport(
                self.region,
                self.session.serial if self.session is not None else 0,
                2,
                (HeldRecords(primary_session, 2, 3 * S),) if primary_session is not None else (),
                self.sessions_epoch,
            ),
            turns=self._maintenance_report(now_us, queue),
            regions=RegionReport(self.region, 96.0, 192.0, 48.0, 96.0, machines=24),
            reign=self.grant_term,
        )

    def _maintenance_report(self, now_us: int, queue: SlotQueue) -> MaintenanceReport:
        report = maintenance_report(
            queue, now_us, SLOT_REQUESTS.get(now_us, ()) if self.requests_slots else ()
        )
        if self.region == "north":
            return report
        return MaintenanceReport(clear=report.clear, region=self.region, at_us=now_us)

    def on_grant(self, grant: LeaseGrant) -> None:
        self.grants.append(grant)
        self.revision = grant.edition
        self.grant_term = grant.reign
        self.floor = grant.floor
        if grant.sessions is not None:
            self.sessions_epoch = grant.sessions.epoch
            if grant.sessions.open:
                self.session = Session(self.name, grant.sessions.life, grant.sessions.serial)


class Voter:
    """A voter with its host: timers, persisted effects and sent messages."""

    def __init__(self, disk: PersistentState, now_us: int = S) -> None:
        self.now_us = now_us
        self.persisted: list[Persist] = []
        self.sent: list[Send] = []
        self._timers: dict[str, int] = {}
        self.sessions = SessionSubsystem(LEASE_US)
        self.maintenance = MaintenanceScheduler(ME, lambda now_us: WALL_US + now_us, TIMING)
        self.coordinator = Coordinator(
            LocalPlacer(ME, incarnation=7),
            CoordinationSettings((ME,)),
            disk,
            5,
            Subsystems(
                (self.sessions, RegionSubsystem(LEASE_US), self.maintenance),
                (OwnMaintenance(self.maintenance.queue),),
            ),
        )
        self._perform(self.coordinator.start(self.now_us))

    def _perform(self, effects: list[Any]) -> None:
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
            self._perform(self.coordinator.on_timer(self.now_us, key))

    def receive(self, name: str, message: Any) -> None:
        self._perform(self.coordinator.on_message(self.now_us, name, f"{name}:1", message))

    def propose(self, kind: str, value: dict[str, Any]) -> None:
        self._perform(self.coordinator.propose(self.now_us, kind, value))

    def propose_rules(self, ident: str, rules: Any, base: int) -> None:
        text = samples.rules_text(rules)
        self.propose("propose", {"ident": ident, "base": base, "rules": text, "by": ME, "why": "ä"})

    def propose_floor(self, ident: str, lasts_us: int) -> None:
        text = samples.rules_text(FLOOR)
        self.propose(
            "floor", {"ident": ident, "rules": text, "by": ME, "why": "", "lasts_us": lasts_us}
        )

    def propose_same_voters(self) -> None:
        raft = self.coordinator.raft
        assert raft is not None
        self._perform(
            self.coordinator.apply_raft(self.now_us, raft.propose(self.now_us, VOTERS, ME)[1])
        )

    def compact_log(self) -> None:
        """Persist a snapshot, as a voter does when its log has become long."""
        raft = self.coordinator.raft
        assert raft is not None
        effects = raft.log.compact(self.coordinator.snapshot())
        self._perform(self.coordinator.apply_raft(self.now_us, effects))


def restarted(voter: Voter) -> Voter:
    """Return the next incarnation of the voter, which starts from the persisted state of the first."""
    second = Voter(disk_of(voter.persisted), voter.now_us)
    second.persisted[:0] = voter.persisted
    return second


def run_history() -> tuple[list[Persist], list[Placer]]:
    """Run the history; return all persisted effects of the voter, and the placers with their grants."""
    voter = Voter(PersistentState((ME,)))
    placers = [
        Placer("p", "north", stop_us=8 * S),
        Placer("q", "south", replica_of=("p", 0)),
        Placer("r", "north", replica_of=("p", 18 * S), requests_slots=True),
        Placer("s", "south", start_us=15 * S),
    ]
    # By time, in half seconds.
    script: dict[int, Callable[[], None]] = {
        4: lambda: voter.propose_rules("first", RULES, 0),
        8: lambda: voter.propose_floor("floor-1", 3 * S),
        10: voter.propose_same_voters,
        12: voter.compact_log,
        14: lambda: voter.propose_rules("second", OTHER, 1),
        16: lambda: voter.propose_floor("floor-2", 2 * S),
        28: lambda: voter.propose("turns/ask", dict(OPERATOR_REQUEST)),
        48: lambda: voter.propose(
            "turns/back", {"number": 5, "at_us": WALL_US + 24 * S, "note": "ä"}
        ),
        60: lambda: voter.propose_rules("refused", OTHER, 1),
    }
    for half_s in range(2, 64):
        voter.run(half_s * S // 2)
        script.get(half_s, lambda: None)()
        if half_s == 56:
            voter = restarted(voter)
        for each in placers:
            if each.start_us <= voter.now_us < each.stop_us:
                sessions = {other.name: other.session for other in placers}
                voter.receive(
                    each.name,
                    each.lease_request(voter.now_us, voter.maintenance.queue, sessions),
                )
        voter.run(half_s * S // 2 + S // 8)
        for sent in voter.sent:
            if isinstance(sent.message, LeaseGrant):
                next(each for each in placers if each.name == sent.ident).on_grant(sent.message)
        voter.sent.clear()
    raft = voter.coordinator.raft
    assert raft is not None
    voter.persisted.append(sole_voter_update(ME, raft.persistent, RECOVERED))
    return voter.persisted, placers


def disk_of(persisted: list[Persist]) -> PersistentState:
    """Return the persistent state that these effects lead to."""
    disk = PersistentState((ME,))
    for each in persisted:
        disk.persist(each)
    return disk


def entries(persisted: list[Persist]) -> list[LogEntry]:
    """Return all entries that were ever committed, also those that a snapshot has replaced since."""
    disk, out = PersistentState((ME,)), dict[int, LogEntry]()
    for each in persisted:
        disk.persist(each)
        out |= dict(enumerate(disk.log, disk.snapshot_index + 1))
    return [out[index] for index in sorted(out)]


# -- replaying


class ReplicatedState:
    """The replicated state of a snapshot, to which entries are applied as a voter applies them."""

    def __init__(self, text: str) -> None:
        self.rule_set_state = from_text(text)
        self.subsystems: dict[str, Any] = {
            each.name: each
            for each in (
                AllocationLedger(2 * S),
                SessionSubsystem(LEASE_US),
                RegionSubsystem(LEASE_US),
                MaintenanceScheduler(ME, lambda now_us: 0),
            )
        }
        for name, subsystem in self.subsystems.items():
            subsystem.restore(self.rule_set_state.subsystem_snapshots.get(name, ""))

    def apply(self, entry: LogEntry) -> None:
        name, _, kind = entry.kind.partition("/")
        if kind:
            self.subsystems[name].apply(kind, json.loads(entry.body))
        elif entry.kind not in ("", VOTERS):
            self.rule_set_state.apply(entry.kind, entry.body)
            if entry.kind == RECOVERED:
                self.subsystems["blocks"].recovered()
                self.subsystems["turns"].apply(RECOVERED, {})

    def texts(self) -> dict[str, str]:
        """Return the snapshot texts of the rule sets (`agreed`) and of each subsystem, by name."""
        return {"agreed": self.rule_set_state.text()} | {
            name: each.snapshot() for name, each in self.subsystems.items()
        }

    @property
    def digest(self) -> str:
        return blake2b(json.dumps(self.texts()).encode(), digest_size=16).hexdigest()


def replayed(disk: PersistentState) -> Iterator[tuple[str, ReplicatedState]]:
    """Yield the snapshot's state, then the state after each entry of the log, each with the entry's kind."""
    state = ReplicatedState(disk.snapshot_state)
    yield "snapshot", state
    for entry in disk.log:
        state.apply(entry)
        yield entry.kind, state


def write_store(folder: Path, persisted: list[Persist], scratch: Path) -> None:
    """Write a store of all persisted effects, copied without free pages."""
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


def is_leader(voter: Voter) -> bool:
    return voter.coordinator.is_leader


def latest_version_and_outcome(voter: Voter) -> tuple[int, str]:
    """Return the latest version of the rule set, and the outcome of the proposal `after`."""
    agreed = voter.coordinator.rule_set_state
    return agreed.version, agreed.outcomes.get("after", "not decided")


def restored_text(name: str, text: str) -> str:
    """Restore a subsystem's state from its snapshot text, and return the text of its snapshot."""
    if name == "agreed":
        return from_text(text).text()
    subsystem = ReplicatedState("").subsystems[name]
    subsystem.restore(text)
    snapshot: str = subsystem.snapshot()
    return snapshot


def values(state: ReplicatedState) -> dict[str, Any]:
    """Return a part of the state, as values of the program's own types."""
    blocks, sessions, turns = (state.subsystems[name] for name in ("blocks", "sessions", "turns"))
    agreed = state.rule_set_state
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
        "turns": (
            turns.queue.last_number,
            turns.queue.version,
            turns.queue.outcomes,
            turns.queue.slots,
        ),
    }


_P, _Q, _R, _S = (Session(name, 7, 1) for name in "pqrs")
_OPEN = (
    OpenSession("south", LEASE_US),
    OpenSession("north", LEASE_US),
    OpenSession("south", LEASE_US),
)


def _allocations(a: int, others: int) -> LimitAllocations:
    sizes = {"a": a, "p": 0, "q": others, "r": others}
    return LimitAllocations({name: Allocation(size, size) for name, size in sizes.items()})


def _slot(number: int, request: SlotRequest, asked_us: int, since_us: int, **more: Any) -> Slot:
    fields: dict[str, Any] = {"state": "done", "tasks": 4, "note": "its time is over"}
    return Slot(
        number,
        request.machine,
        "north",
        request.zone,
        request.cell,
        request.why,
        request.urgency,
        request.latest_us,
        WALL_US + asked_us,
        request.lasts_us,
        since_us=WALL_US + since_us,
        ident=request.ident,
        from_us=request.from_us,
        **{"worker": "", **fields, **more},
    )


_FIRST_REQUEST = SLOT_REQUESTS[2 * S][0]
_REPEATED_REQUEST, _WITHDRAWN_REQUEST, _VERDICT_REQUEST = SLOT_REQUESTS[13 * S]
_OPERATOR_SLOT_REQUEST = SlotRequest("op-1", "node-4", "hall-a", "rack-2", "operator", 5, 0, 0)
_REFUSAL = "version 2 has been accepted since; yours is based on 1: see `rules diff`"
VALUES: dict[str, Any] = {
    "agreed": (
        1003,
        2,
        [],
        {"first": "", "floor-1": "", "second": "", "floor-2": "", "refused": _REFUSAL},
    ),
    "rules": OTHER,
    "versions": [(1, 0, "a", "ä"), (2, 1, "a", "ä")],
    "floors": [(2, FLOOR, 2 * S)],
    "blocks": (
        1_000_006,
        True,
        {"p": 7, "q": 7, "r": 7, "a": 7},
        {
            "class/web/rate": _allocations(3, 12),
            "cold": _allocations(2, 9),
            "namespace/default/standing": _allocations(2, 9),
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
            1: _slot(1, _FIRST_REQUEST, 2_020_000, 7_560_000, tasks=6, out_us=WALL_US + 4_290_000),
            2: _slot(2, _REPEATED_REQUEST, 13_020_000, 18_020_000, out_us=WALL_US + 14_770_000),
            3: _slot(
                3,
                _WITHDRAWN_REQUEST,
                13_020_000,
                13_270_000,
                state="given-back",
                tasks=0,
                is_given_back=True,
                note="its window was taken back",
            ),
            4: _slot(4, _VERDICT_REQUEST, 13_020_000, 19_270_000, out_us=WALL_US + 18_020_000),
            5: _slot(
                5,
                _OPERATOR_SLOT_REQUEST,
                14_000_000,
                24_020_000,
                worker="worker-1",
                note="ä",
                out_us=WALL_US + 19_020_000,
            ),
        },
    ),
}
