"""Sample values for the golden files of `tests/data/wire` and `tests/data/stored`: one place for names of the code.

The data files never change. A rename of a type, a field or a function in the program touches this module alone: the
tests compare bytes and values that are made here. Each letter has a sample in which every field that has a default is
away from it, and one in which it has it.
"""

from __future__ import annotations

import ast
import json
from collections.abc import Iterable, Iterator
from dataclasses import MISSING, dataclass, fields, is_dataclass
from hashlib import blake2b
from pathlib import Path
from typing import Any, get_args, get_type_hints

import msgspec

import wingbarrow
from wingbarrow.decide.consensus.entries import LogEntry
from wingbarrow.decide.consensus.messages import (
    AppendRequest,
    AppendResponse,
    InstallSnapshot,
    VoteRequest,
    VoteResponse,
)
from wingbarrow.decide.coordination import messages as coordination
from wingbarrow.decide.coordination.messages import (
    LeaseGrant,
    LeaseRequest,
    NotLeader,
    RelayedGrant,
    RelayedRequest,
)
from wingbarrow.decide.federation.spec import Back, DataSet, Failover, Federation, Need, Spec
from wingbarrow.decide.learning import Announcement, MachineObservation
from wingbarrow.decide.maintenance import entries
from wingbarrow.decide.maintenance.messages import (
    MaintenanceReport,
    MaintenanceResponse,
    RegionView,
    SlotRequest,
)
from wingbarrow.decide.maintenance.slots import Slot, SlotQueue, SlotState
from wingbarrow.decide.membership import messages as membership
from wingbarrow.decide.membership.messages import (
    Ack,
    MemberStatus,
    MemberUpdate,
    Nack,
    Ping,
    PingRequest,
    Sync,
)
from wingbarrow.decide.outliers.ejections import Ejection
from wingbarrow.decide.outliers.health import HealthReport
from wingbarrow.decide.quotas.allocations import AllocationLedger
from wingbarrow.decide.quotas.entries import (
    Allocation,
    LimitAllocations,
    OutstandingAllocation,
)
from wingbarrow.decide.quotas.escrow import QuotaGrant, QuotaReport
from wingbarrow.decide.quotas.limits import FleetLimit
from wingbarrow.decide.regions import forwarding
from wingbarrow.decide.regions.forwarding import ForwardCancel, ForwardRequest, ForwardStatus
from wingbarrow.decide.regions.reports import RegionReport, RegionSummary
from wingbarrow.decide.rulesets import parsing, versions
from wingbarrow.decide.rulesets.agreed_drains import AskedDrain, DrainPlan, WindowRules
from wingbarrow.decide.rulesets.ruleset import ClassRules, RuleSet
from wingbarrow.decide.rulesets.versions import Floor, RuleSetState, Version
from wingbarrow.decide.sessions import messages as sessions
from wingbarrow.decide.sessions import session_log
from wingbarrow.decide.sessions.leased_job_record import KnownTask, LeasedJobRecord
from wingbarrow.decide.sessions.messages import (
    HeldRecords,
    MachineQuery,
    MachineReport,
    ReplicateRequest,
    ReplicateResponse,
    ResolveRequest,
    ResolveResponse,
    SessionsReport,
    SessionsResponse,
)
from wingbarrow.decide.sessions.session import EndedSession, Session
from wingbarrow.decide.sessions.session_log import LatestSession, OpenSession, SessionLog
from wingbarrow.interface import Phase
from wingbarrow.peers import knowledge_pages, message
from wingbarrow.peers.knowledge_pages import Page, UsageRatios

DATA = Path(__file__).parent.parent / "data"
S = 1_000_000
CLUSTER, SENDER, ADDRESS = "main", "placer-0", "127.0.0.1:7000"

# -- parts of letters

WORDS = (
    MemberUpdate("placer-1", 7, MemberStatus.ALIVE, "127.0.0.1:7001", "north", 3),
    MemberUpdate("placer-2", 0, MemberStatus.SUSPECT, "127.0.0.1:7002", "", 0, "placer-1"),
    MemberUpdate("placer-3", 2, MemberStatus.DEAD, "127.0.0.1:7003", "süd", 1, "placer-1"),
    MemberUpdate("placer-4", 9, MemberStatus.LEFT, "[::1]:7004", "north", 1_780_000_000_000_000),
)
SESSION = Session("placer-1", 1_780_000_000, 2)
YOUNG = Session("placer-2", 0, 0)
ENDED = EndedSession(
    5, SESSION, "north", (("placer-2", "placer-3"), ("placer-4",)), ("placer-3",), 7
)
ENDED_PLAIN = EndedSession(1, YOUNG, "")
KNOWN = (
    KnownTask(0, "none"),
    KnownTask(1, "about", "node-1", "job-1", 3),
    KnownTask(2, "doubt", "node-2", "job-2", 4),
    KnownTask(3, "placed", "node-3", "job-3", 5),
    KnownTask(4, "over", "node-4", "job-4", 6),
)


def _record(uid: str, effect: str, answered: str, **more: Any) -> LeasedJobRecord:
    told: dict[str, Any] = {
        "form": 1,
        "uid": uid,
        "key": "default/j",
        "session": SESSION,
        "epoch": 3,
        "version": 4,
        "region": "north",
        "spec": "shop",
        "effect": effect,
        "group": "cell",
        "window_us": 60 * S,
        "after_us": 5 * S,
        "priority": 2,
        "cores": 1.5,
        "memory": 2.25,
        "count": 5,
        "manifest": '{"metadata":{"name":"j \\u00e4"}}',
        "keepers": ("placer-2", "placer-3"),
        "answered": answered,
        "born_age_us": 17,
    }
    return LeasedJobRecord(**{**told, **more})


RECORDS = (
    _record("u-1", "unsafe", "offered", tasks=KNOWN, others=("placer-4",), moves=2),
    _record("u-2", "keyed", "placed", tasks=KNOWN[:1]),
    _record("u-3", "safe", "failed", priority=-1),
    LeasedJobRecord(
        form=0,
        uid="u-4",
        key="default/k",
        session=YOUNG,
        epoch=0,
        version=0,
        region="",
        spec="",
        effect="safe",
        group="",
        window_us=0,
        after_us=0,
        priority=0,
        cores=0.0,
        memory=0.0,
        count=0,
        manifest="",
        keepers=(),
        answered="",
        born_age_us=0,
    ),
)
VIEW = RegionView((("hall-a", "rack-0", 3),), (("node-9", "hall-a", "rack-0"),), 1.5)
WANTED = (
    SlotRequest("w@1/node-1", "node-1", "hall-a", "rack-0", "calendar", 3, 9, 8, "shorten", 7, 6),
    SlotRequest("v", "node-2", "", "", "verdict", 0, 0, 0),
)
TURNS_SAID = MaintenanceReport(
    clear=(1,),
    empty=(2, 3),
    tried=(4,),
    bad=(5,),
    open=(6,),
    gone=(7,),
    tasks=((8, 2),),
    places=((9, "hall-a", "rack-0"),),
    region="north",
    at_us=11,
    view=VIEW,
    wants=WANTED,
)
ASK_FULL = LeaseRequest(
    number=4,
    edition=2,
    floor=1,
    life=1_780_000_000,
    up_us=5 * S,
    stated=(QuotaReport("cold", 3, 2, 4), QuotaReport("class/web/rate", 0, 0, 0)),
    region="north",
    evidence=(HealthReport("node-1", 2, 3), HealthReport("node-2", 0, 0)),
    bad=1,
    tried=2,
    sessions=SessionsReport(
        "north", 2, 3, (HeldRecords(SESSION, 3, 5 * S), HeldRecords(YOUNG, 0, 0)), 5, True
    ),
    turns=TURNS_SAID,
    regions=RegionReport(
        "north", 96.0, 192.5, 12.25, 24.0, True, 9, 4, 3, (("shop", 1.5, 2.0), ("", 0.0, 0.0))
    ),
    reign=6,
    forward=True,
)
ASK_LEAST = LeaseRequest(0, 0, 0)
ASK_PLAIN_PARTS = LeaseRequest(
    1,
    0,
    0,
    sessions=SessionsReport("", 0, 0),
    turns=MaintenanceReport(view=RegionView(()), wants=()),
    regions=RegionReport("south", 0.0, 0.0, 0.0, 0.0),
)
ASK_TURNS = LeaseRequest(2, 0, 0, turns=MaintenanceReport())
GRANT_FULL = LeaseGrant(
    number=4,
    edition=2,
    rules='{"attempts_most":4}',
    lasts_us=2 * S,
    version=3,
    floor=1,
    floor_rules="{}",
    floor_us=60 * S,
    rights=(QuotaGrant("cold", 3), QuotaGrant("class/web/rate", 0)),
    closed=(Ejection("node-1", 9, 8, "placer-1"), Ejection("node-2", 0, 0, "")),
    sessions=SessionsResponse(True, 2, 10 * S, 7, (ENDED, ENDED_PLAIN), 1_780_000_000),
    turns=MaintenanceResponse(
        9, ((1, "node-1", "closing", "placer-1"), (2, "node-2", "asked", "")), (3,), True
    ),
    regions=(
        RegionSummary(
            "north", 1, 0.75, 2.5, 3.5, False, True, 4, 5, ("placer-1", "placer-2"), 6.5, 7.5
        ),
        RegionSummary("", 0, 0.0, 0.0, 0.0, True, False, 0, 0, ()),
    ),
    reign=6,
    leader="placer-1",
)
GRANT_LEAST = LeaseGrant(0, 0, "", 0, 0, 0, "", 0)
GRANT_PLAIN_PARTS = LeaseGrant(
    1,
    0,
    "",
    1,
    0,
    0,
    "",
    0,
    sessions=SessionsResponse(False, 0, 1, 0),
    turns=MaintenanceResponse(0),
    regions=(),
)
ENTRIES = (
    LogEntry(3, "", ""),
    LogEntry(4, "voters", "a b"),
    LogEntry(4, "turns/close", '{"number": 1}'),
)

# By the kind's word on the wire. What is left out on the wire has its default: `least` is read from that too.
LETTERS: dict[str, tuple[Any, ...]] = {
    "probe": (Ping(1, WORDS), Ping(0)),
    "probe-for": (
        PingRequest(2, "placer-1", "127.0.0.1:7001", WORDS[:1]),
        PingRequest(0, "a", "b"),
    ),
    "ack": (Ack(3, "placer-1", WORDS[1:3]), Ack(0, "")),
    "nack": (Nack(4, WORDS[3:]), Nack(0)),
    "sync": (Sync(True, WORDS), Sync(False)),
    "vote-ask": (VoteRequest(3, 2, 1, True), VoteRequest(0, 0, 0, False)),
    "vote-answer": (VoteResponse(3, True, True), VoteResponse(0, False, False)),
    "append": (AppendRequest(4, 3, 2, ENTRIES, 1, 9), AppendRequest(0, 0, 0, (), 0, 0)),
    "append-answer": (AppendResponse(4, True, 3, 9), AppendResponse(0, False, 0, 0)),
    "install": (
        InstallSnapshot(4, 3, 2, "a b", '{"edition":1}', 9),
        InstallSnapshot(0, 0, 0, "", "", 0),
    ),
    "ask": (ASK_FULL, ASK_PLAIN_PARTS, ASK_TURNS, ASK_LEAST),
    "grant": (GRANT_FULL, GRANT_PLAIN_PARTS, GRANT_LEAST),
    "not-leader": (NotLeader(4, "placer-1"), NotLeader(0, "")),
    "keep": (
        ReplicateRequest(4, SESSION, RECORDS, ("u-8", "u-9"), 1_780_000_000, 2),
        ReplicateRequest(0, YOUNG),
    ),
    "keep-answer": (
        ReplicateResponse(
            4, SESSION, True, "full", True, 1_780_000_000, 2, (("u-1", 3, "placer-4"),), RECORDS[:1]
        ),
        ReplicateResponse(0, YOUNG, False),
    ),
    "settle": (ResolveRequest(4, SESSION, ("u-1", "u-2")), ResolveRequest(0, YOUNG, ())),
    "settled": (
        ResolveResponse(4, SESSION, (("u-1", 3, "run"), ("u-2", 0, ""))),
        ResolveResponse(0, YOUNG, ()),
    ),
    "ask-machine": (MachineQuery(4, "node-1", "u-1", 3), MachineQuery(0, "", "", 0)),
    "machine-says": (
        MachineReport(4, "node-1", "u-1", True, True, 9),
        MachineReport(0, "", "", False),
    ),
    "hand": (
        ForwardRequest("placer-1/1/2", 3, 1, "shop", 4 * S, "{}"),
        ForwardRequest("a", 0, 0, "", 0, ""),
    ),
    "hand-stop": (ForwardCancel("placer-1/1/2", 3), ForwardCancel("a", 0)),
    "hand-says": (
        ForwardStatus("placer-1/1/2", "taken", "node-1", "why", True),
        ForwardStatus("a", ""),
    ),
    "ask-for": (RelayedRequest("placer-1", ASK_FULL), RelayedRequest("placer-2", ASK_LEAST)),
    "grant-for": (RelayedGrant("placer-1", GRANT_FULL), RelayedGrant("placer-2", GRANT_LEAST)),
}


def letter_kinds() -> dict[str, type[Any]]:
    """All kinds that the program knows, with their types."""
    return message.MESSAGE_TYPES


def message_types() -> set[type[Any]]:
    """All types of the messages that state machines among placers give to be sent."""
    unions = (membership.SwimMessage, coordination.Message, sessions.Message, forwarding.Message)
    return {kind for union in unions for kind in get_args(union)}


def write_mail(letters: tuple[Any, ...]) -> bytes:
    return message.encode_envelope(CLUSTER, SENDER, ADDRESS, map(message.encode_message, letters))


def read_mail(raw: bytes) -> tuple[Any, ...]:
    mail = message.decode_envelope(raw, CLUSTER)
    assert (mail.sender, mail.address, mail.unknown_kinds) == (SENDER, ADDRESS, 0)
    return tuple(mail.messages)


def without_defaults(letter: Any) -> bytes:
    """A mail of one letter, without the fields that may be left out; they have their defaults."""
    mail = json.loads(write_mail((letter,)))
    body = mail["letters"][0]["body"]
    for field, name in zip(fields_of(type(letter)), list(body), strict=True):
        if field.optional:  # names on the wire stand in the order of the fields
            assert getattr(letter, field.name) == field.default
            del body[name]
    return json.dumps(mail, separators=(",", ":")).encode()


@dataclass(frozen=True)
class Field:
    """A field of a message's type, be it a dataclass or a struct."""

    name: str
    optional: bool
    default: Any


def fields_of(kind: type[Any]) -> list[Field]:
    struct = issubclass(kind, msgspec.Struct)
    none: Any = msgspec.NODEFAULT if struct else MISSING
    told: Iterable[Any] = msgspec.structs.fields(kind) if struct else fields(kind)
    out = []
    for each in told:
        made = each.default_factory() if each.default_factory is not none else each.default
        out.append(Field(each.name, made is not none, made))
    return out


def is_message(kind: Any) -> bool:
    return isinstance(kind, type) and (is_dataclass(kind) or issubclass(kind, msgspec.Struct))


def values_in(value: Any) -> Iterator[Any]:
    """Each value of a message's type within one, itself too."""
    if is_message(type(value)):
        yield value
        for each in fields_of(type(value)):
            yield from values_in(getattr(value, each.name))
    elif isinstance(value, tuple | list):
        for each in value:
            yield from values_in(each)


def types_in(kind: Any, known: set[Any]) -> set[Any]:
    """Each type of a message that a type's fields can hold, itself too."""
    if is_message(kind) and kind not in known:
        known.add(kind)
        for each in get_type_hints(kind).values():
            types_in(each, known)
    for each in get_args(kind):
        types_in(each, known)
    return known


# -- rules

FEDERATION = Federation(
    (
        Spec("plain", ("north",)),
        Spec(
            "shop",
            ("north", "south", "west"),
            ("east",),
            (Need("stock", "required", 40_960, 5 * S), Need("users")),
            Failover(("lost", "refusing", "closed"), 30 * S, ("south",), 50, 4 * S, 2, 8, 16),
            Back("stable", 600 * S, 2),
            "stop",
            50,
            80,
            False,
        ),
        Spec("spare", ("north", "south"), failover=Failover(("lost",), 10 * S), back=Back("idle")),
    ),
    (
        DataSet("stock", (("north", 0), ("south", 120 * S)), ("north", "south")),
        DataSet("users", (("north", 0),)),
    ),
    (("web", "shop"),),
)
LIMITS = (
    FleetLimit("class", "web", "rate", 30, 10 * S, 5 * S, ("a", "p", "q", "r")),
    FleetLimit("cold", "", "rate", 20, 2 * S, 60 * S, ("a", "p", "q", "r")),
    FleetLimit("namespace", "default", "standing", 20, 0, 5 * S, ("a", "p", "q", "r")),
)
WINDOWS = (
    WindowRules(
        "patch",
        "2026-06-01T02:00:00",
        "Europe/Berlin",
        3_600 * S,
        600 * S,
        "FREQ=WEEKLY",
        ("2026-06-08", "2026-06-15T02:00:00"),
        ("2026-06-09T02:00:00",),
        (("node-1", "", "", ""), ("", "rack-0", "hall-a", "pool=a")),
        5,
        "shorten",
    ),
    WindowRules(
        "w", "2026-06-01T00:00:00+00:00", "", S, S, "", (), (), (("*", "", "", ""),), 0, "wait"
    ),
)
CLASSES = (ClassRules("settlement", "unsafe", "none", 0), ClassRules("web", "safe", "cell", 3))
RULES = RuleSet(
    CLASSES,
    4,
    18 * S,
    2 * S,
    (("a", 10), ("p", 10)),
    250_000,
    ("node-8",),
    WINDOWS,
    (AskedDrain("node-2", 1_780_000_000 * S, 60 * S),),
    ("w@1780000000/node-3",),
    DrainPlan(
        (("all", "max", 2.0), ("zone", "min-share", 0.5)),
        (("eve", 1, 2),),
        0.8,
        S,
        5,
        2 * S,
        0.4,
        False,
    ),
    LIMITS,
    FEDERATION,
)
RULES_LEAST = RuleSet(CLASSES[:1], 1, 0, 1, (), 0, ())
RULE_SETS = {"full": RULES, "least": RULES_LEAST}


def rules_text(value: RuleSet) -> str:
    return value.text()


def rules_digest(value: RuleSet) -> str:
    return value.digest


def read_rules(text: str) -> RuleSet:
    return parsing.parse_rule_set(text)


# -- snapshots

_FEDERATION_DIGEST = blake2b(b"R north;S plain 0 - - - n/0/1 c 60 90 r;", digest_size=8).hexdigest()
AGREED = RuleSetState(
    4,
    RULES.text(),
    3,
    [RULES_LEAST.text()],
    [
        Version(1, RULES_LEAST.text(), 0, "placer-0", "first", RULES_LEAST.digest),
        Version(3, RULES_LEAST.text(), 2, "ann", "ä", "d", _FEDERATION_DIGEST),
    ],
    [Floor(1, RULES_LEAST.text(), 5 * S), Floor(2, RULES_LEAST.text(), S)],
    {"found": "", "x": "no"},
    {"sessions": '{"epoch":1}', "regions": ""},
    {_FEDERATION_DIGEST: "R north;S plain 0 - - - n/0/1 c 60 90 r;"},
)
_LATER = Session("placer-1", 1_780_000_000, 3)
SESSIONS = SessionLog(
    7,
    {_LATER: OpenSession("north", 10 * S), YOUNG: OpenSession("", 4 * S)},
    {"placer-2": LatestSession(0, YOUNG), "placer-1": LatestSession(1_780_000_001, _LATER)},
    {SESSION: ENDED},
    {
        SESSION: {
            "placer-2": YOUNG,
            "placer-3": Session("placer-3", 1, 1),
            "placer-4": Session("placer-4", 1, 1),
        }
    },
)
BLOCKS = {
    "cold": LimitAllocations(
        {"p": Allocation(2, 3), "q": Allocation(0, 0)}, [OutstandingAllocation("p", 6, 4)]
    ),
    "namespace/default/standing": LimitAllocations(),
}
TURNS = {
    1: Slot(1, "node-1", "", "", "", "operator", 0, 0, 1, 0, ""),
    7: Slot(
        number=7,
        machine="node-7",
        region="north",
        zone="hall-a",
        cell="rack-0",
        why="calendar",
        urgency=9,
        latest_us=8,
        requested_us=2,
        lasts_us=3,
        worker="worker-1",
        state=SlotState.RETURNED,
        tasks=4,
        since_us=5,
        ident="w@1/node-7",
        unsafe="give-up",
        ends_us=6,
        is_given_back=True,
        note="ä",
        from_us=7,
        out_us=9,
    ),
}


def _blocks() -> AllocationLedger:
    made = AllocationLedger(2 * S)
    made.serial = 9
    made.may_have_lost_moves = True
    made.incarnations = {"q": 7, "p": 8}
    made.allocations = dict(BLOCKS)
    return made


def _queue() -> SlotQueue:
    made = SlotQueue()
    made.slots, made.last_number, made.version, made.clock_us = dict(TURNS), 8, 12, 99
    made.outcomes, made.calendar_deadlines_us = {"x": (1, ""), "y": (0, "no")}, {"00ff": 77}
    return made


def snapshots() -> dict[str, str]:
    """The text of each part of the replicated state, as samples."""
    return {
        "agreed": AGREED.text(),
        "sessions": SESSIONS.text(),
        "blocks": _blocks().snapshot(),
        "turns": _queue().snapshot(),
    }


def restored(name: str, text: str) -> tuple[Any, Any, str]:
    """What a text gives, what it is to give, and the text of that again."""
    if name == "agreed":
        state = versions.from_text(text)
        return state, AGREED, state.text()
    if name == "sessions":
        log = session_log.parse_session_log(text)
        return log, SESSIONS, log.text()
    if name == "blocks":
        blocks, held = AllocationLedger(2 * S), _blocks()
        blocks.restore(text)
        return (
            _of(blocks, "serial may_have_lost_moves incarnations allocations"),
            _of(held, "serial may_have_lost_moves incarnations allocations"),
            blocks.snapshot(),
        )
    queue, whole = SlotQueue(), "slots last_number version clock_us outcomes calendar_deadlines_us"
    queue.restore(text)
    return _of(queue, whole), _of(_queue(), whole), queue.snapshot()


def _of(value: Any, names: str) -> list[Any]:
    return [getattr(value, name) for name in names.split()]


# -- what instances tell of machines at a start

SIGHTS = (
    MachineObservation(
        "node-1",
        9,
        Phase.RUNNING,
        8,
        (1.5, 2.5),
        7,
        (0.5, 0.25),
        6,
        {"shop": 5},
        {"": (1, 4), "web": (2, 3)},
    ),
    MachineObservation("node-2", 0, Phase.DRAINING, None, None, None, None, None, {}, {}),
)
PAGE = Page("1f-1", 0, 2, "", 5, 3 * S, UsageRatios((0.5, 0.75), (3.0, 4.0), 6), list(SIGHTS))
ANNOUNCED = (Announcement("peer:1", "placer-0", 7, "north", "main", 6, 5, 4, 3), "127.0.0.1:7000")
ANNOUNCED_LEAST = (Announcement("peer:1", "placer-0", 0, "", "", 0, None, 0, 3), "")


CHANGE = Page("", 0, 1, "", 0, 3 * S, PAGE.usage, list(SIGHTS[:1]))
INSTANCES = {"instance.json": ANNOUNCED, "instance-least.json": ANNOUNCED_LEAST}


def write_page() -> bytes:
    pages = knowledge_pages.Snapshots(0x1F)
    pages.page("", 3 * S - 5, lambda: (list(SIGHTS), PAGE.usage), lambda: None)
    return pages.page("", 3 * S, lambda: ([], PAGE.usage), lambda: None)


def write_change() -> bytes:
    """A line of what follows the pages: one machine that changed."""
    return knowledge_pages.encode_changes(list(SIGHTS[:1]), PAGE.usage, 3 * S)


def write_announced(value: tuple[Announcement, str]) -> bytes:
    return knowledge_pages.encode_instance(*value)


def read_announced(raw: bytes) -> tuple[Announcement, str]:
    return knowledge_pages.decode_instance(raw, "peer:1", 3)


def read_page(raw: bytes) -> Page:
    return knowledge_pages.decode_page(raw, 10)


# -- which kinds of entries there are

ENTRY_KINDS = {
    "": {"", "voters", "propose", "step", "recovered", "floor", "floor-lapsed"},
    "sessions": {"opened", "ended", "succeed"},
    "blocks": {"move"},
    "turns": {"ask", "queue", "close", "empty", "out", "back", "done", "give-back", "recovered"},
}
OF_CHAPTERS_THEMSELVES = {
    "turns/recovered"
}  # applied with `recovered`, never in the log under that name
APPLYING, KIND_ARGUMENT = "apply", "kind"


def kinds_in_code() -> set[str]:
    """Each string that a replicated state compares the kind of an entry with, by the program's own text.

    Maintenance and sessions compare none: they read entries by a table of types, whose keys these are.
    """
    found: set[str] = set(entries.ENTRY_TYPES) | set(session_log.ENTRY_TYPES)
    for source in sorted((Path(wingbarrow.__file__).parent / "decide").rglob("*.py")):
        tree = ast.parse(source.read_text())
        for node in ast.walk(tree):
            if isinstance(node, ast.FunctionDef) and node.name == APPLYING:
                found |= set(_compared(node, source))
    return found


def _compared(function: ast.FunctionDef, source: Path) -> Iterator[str]:
    for node in ast.walk(function):
        if not (isinstance(node, ast.Compare) and isinstance(node.left, ast.Name)):
            continue
        if node.left.id != KIND_ARGUMENT:
            continue
        for other in node.comparators:
            if isinstance(other, ast.Name):
                yield from _named(other.id, ast.parse(source.read_text()))
            else:
                yield from (
                    ast.literal_eval(other)
                    if isinstance(other, ast.Tuple)
                    else [ast.literal_eval(other)]
                )


def _named(name: str, tree: ast.Module) -> list[str]:
    for node in tree.body:
        if (
            isinstance(node, ast.Assign)
            and isinstance(node.targets[0], ast.Name)
            and node.targets[0].id == name
        ):
            value = ast.literal_eval(node.value)
            return list(value) if isinstance(value, dict) else [value]
    raise AssertionError(f"{name} is not a constant of its module")
