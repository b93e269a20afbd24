"""Turns: which machine may be worked on, and when. The types, and the queue as the voters' log makes it.

    asked -> queued -> closing -> empty -> out -> back -> done
    asked, queued -> given-back;  closing, empty, out -> back -> given-back, by its worker's or an operator's word

`out` is decided only with proof (`turning`); `back` comes before `given-back` wherever the machine may have been shut:
somebody has to open it again, and one placer tries it first. All that the order depends on is in entries: times are the
wall clock of the leader that proposed them, and never run backwards here, whoever led.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterable
from dataclasses import astuple, dataclass, replace
from typing import Any

STATES = ("asked", "queued", "closing", "empty", "out", "back", "done", "given-back")
WAITING = ("asked", "queued")
ACTIVE = ("closing", "empty", "out", "back")  # counted by budgets, told with every grant
OVER = ("done", "given-back")
TURNS_MOST = 512
ACTIVE_MOST = 128  # of those: all of them are in every grant
ENDED_MOST = 64  # ended ones that are remembered
WINDOWED_MOST = 4096  # calendar's requests that are remembered until their latest time
IDENTS_MOST = 256  # requests whose outcome is remembered, for those that are sent again
NUMBERS_LEFT = 10_000  # for turns that voters who were lost may have decided
AGE_US = 600_000_000  # what has waited for so long counts as one more urgent
URGENCY_MOST = 9
NAME_MOST, LABEL_MOST, IDENT_MOST, WORDS_MOST = 253, 63, 320, 160  # characters; see `Queue.text`
WHYS = ("calendar", "operator", "verdict")
UNSAFE = ("wait", "shorten", "give-up")
LASTS_MOST_US = 31 * 86_400_000_000


@dataclass(frozen=True, slots=True)
class Slot:
    """One request to take a machine out. Times by wall clock, in microseconds; `number` fences it at its machine."""

    number: int
    machine: str
    region: str
    zone: str
    cell: str
    why: str  # calendar, operator, verdict
    urgency: int  # 0 to 9, the greater the sooner
    latest_us: int  # it should have begun by then; 0: whenever
    asked_us: int
    lasts_us: int
    worker: str  # who does the work; holds the turn by a lease of its own
    state: str = "asked"
    tasks: int = 0  # to be moved, as placers told before it was queued
    since_us: int = 0  # when its state began
    ident: str = ""  # of the request: the same one sent again is taken once
    unsafe: str = "wait"  # for tasks that must not start twice, as with windows
    ends_us: int = 0  # of a window that may be shortened: over by then
    given: bool = False  # it ends as given-back
    note: str = ""  # why, in words
    from_us: int = 0  # not out before
    out_us: int = 0  # when it went out; 0: not yet, or never


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """A request before it has a number: what a teller's calendar or verdicts ask for."""

    ident: str
    machine: str
    zone: str
    cell: str
    why: str
    urgency: int
    latest_us: int
    lasts_us: int
    unsafe: str = "wait"
    ends_us: int = 0
    from_us: int = 0


@dataclass(frozen=True, slots=True)
class RegionView:
    """What one placer's list tells of its region, for budgets.

    `cells`: (zone, cell, machines that belong there); `lost`: (machine, zone, cell) of those among them that do not
    run, are lost, or are closed by a verdict or by the list; `used`: machines' worth of what is asked for, the share of
    them that may be filled taken into account.
    """

    cells: tuple[tuple[str, str, int], ...]
    lost: tuple[tuple[str, str, str], ...] = ()
    used: float = 0.0


CELLS_MOST, LOST_MOST, WANTS_MOST = 2048, 256, 32


@dataclass(frozen=True, slots=True)
class MaintenanceReport:
    """With an ask: of which closing turns nothing of this placer's is at the machine or on its way; what machines said.

    `clear`: numbers of turns; `empty`: turns whose machine told that it refuses new work under this very number, and
    holds nothing; `tried`: turns in `back` whose machine took a start of this placer's well, `bad`: or failed one;
    `open`: turns in `back` whose machine told that it takes work again; `gone`: turns whose machine this placer's list
    does not have; `tasks`: own tasks at machines of turns that are asked for, `places`: zone and cell of those that its
    list has; `at_us`: when this was said, by the
    sayer's clock. `view` and `wants` come from who was told to tell them.
    """

    clear: tuple[int, ...] = ()
    empty: tuple[int, ...] = ()
    tried: tuple[int, ...] = ()
    bad: tuple[int, ...] = ()
    open: tuple[int, ...] = ()
    gone: tuple[int, ...] = ()
    tasks: tuple[tuple[int, int], ...] = ()
    places: tuple[tuple[int, str, str], ...] = ()
    region: str = ""
    at_us: int = 0
    view: RegionView | None = None
    wants: tuple[SlotRequest, ...] = ()


@dataclass(frozen=True, slots=True)
class MaintenanceResponse:
    """With a grant: turns that are closing, empty, out or back, as (number, machine, state, who tries it).

    Beside those, some that are asked for, whose tasks are to be counted. `silent`: turns whose worker is not heard of;
    `tell`: the asker is to say what its list tells of its region, and what its calendar wants. The fourth field names
    the placer that speaks with the machine (all may), and alone sends to it in `back`.
    """

    version: int
    turns: tuple[tuple[int, str, str, str], ...] = ()
    silent: tuple[int, ...] = ()
    tell: bool = False


def short_ident(key: str) -> str:
    """A drain's key (WINDOW@START/MACHINE) as the name of the request for its turn; the machine cut where it is too
    long."""
    if len(key) <= IDENT_MOST:
        return key
    window, _, machine = key.rpartition("/")
    return f"{window[: IDENT_MOST - 33]}/{hashlib.blake2b(machine.encode(), digest_size=16).hexdigest()}"


def rank(turn: Slot) -> tuple[int, int, int, int, str, int]:
    """The order of turns, the least first: urgency and age, then latest time, waiting time, tasks, name.

    A turn counts as one more urgent for each period of AGE_US that began since it was asked for. So the order of two
    never changes as time passes, and what is asked for URGENCY_MOST + 1 periods later stands behind whatever it says.
    """
    level = turn.asked_us // AGE_US - turn.urgency
    return level, turn.latest_us or 1 << 62, turn.asked_us, turn.tasks, turn.machine, turn.number


def objection(value: dict[str, Any]) -> str:
    """What is wrong with a request, in words; "" for a good one."""

    def name(key: str, most: int, least: int = 1) -> bool:
        return isinstance(value.get(key), str) and least <= len(value[key]) <= most

    def whole(key: str, most: int) -> bool:
        return type(value.get(key)) is int and 0 <= value[key] <= most

    if not name("machine", NAME_MOST):
        return f"machine: a name of at most {NAME_MOST} characters is wanted"
    if not all(name(key, LABEL_MOST, 0) for key in ("region", "zone", "cell", "worker")):
        return f"region, zone, cell, worker: names of at most {LABEL_MOST} characters are wanted"
    if not name("ident", IDENT_MOST):
        return f"ident: a name of the request's own, of at most {IDENT_MOST} characters, is wanted"
    if value.get("why") not in WHYS or value.get("unsafe", "wait") not in UNSAFE:
        return f"why: one of {', '.join(WHYS)} is wanted, unsafe: one of {', '.join(UNSAFE)}"
    if not whole("urgency", URGENCY_MOST):
        return f"urgency: 0 to {URGENCY_MOST} is wanted"
    if not whole("lasts_us", LASTS_MOST_US):
        return "lasts: at most 31 days are wanted"
    value = {"ends_us": 0, "from_us": 0, **value}
    if not all(whole(key, 1 << 53) for key in ("latest_us", "at_us", "ends_us", "from_us")):
        return "latest: a time is wanted"
    return ""


# What an entry of a kind makes of a turn's state; what is not here changes nothing.
_NEXT = {
    "close": {"queued": "closing"},
    "empty": {"closing": "empty"},
    "out": {"empty": "out"},
    "back": {"out": "back"},
    "done": {"back": "done"},
    "give-back": {
        "asked": "given-back",
        "queued": "given-back",
        "closing": "back",
        "empty": "back",
        "out": "back",
    },
}


class SlotQueue:
    """The replicated state: turns by number, the last number, what became of requests."""

    def __init__(self) -> None:
        self.turns: dict[int, Slot] = {}  # live ones, and the latest ended
        self.last = 0
        self.version = 0  # entries that changed something
        self.clock_us = 0  # the latest time of any entry
        self.outcomes: dict[str, tuple[int, str]] = {}  # by request: its number, or 0 and why not
        self.windowed: dict[
            str, int
        ] = {}  # digests of the calendar's requests that were taken: their latest time

    # -- questions

    def live(self) -> list[Slot]:
        """Those that are not over, by number."""
        return [each for each in self.turns.values() if each.state not in OVER]

    def active(self) -> list[Slot]:
        """Those whose machine is closed."""
        return [each for each in self.turns.values() if each.state in ACTIVE]

    def queued(self) -> list[Slot]:
        """Those that wait, in their order."""
        return sorted((each for each in self.turns.values() if each.state == "queued"), key=rank)

    def of(self, machine: str) -> Slot | None:
        """A machine's turn that is not over; there is one at most."""
        return next(
            (
                each
                for each in self.turns.values()
                if each.machine == machine and each.state not in OVER
            ),
            None,
        )

    def refusal(self, value: dict[str, Any]) -> str:
        """Why a request cannot be taken now; "" where it can."""
        words = objection(value)
        if words:
            return words
        held = self.of(value["machine"])
        if held is not None:
            return f"{held.machine} has turn {held.number} already ({held.state})"
        if len(self.live()) >= TURNS_MOST:
            return f"{TURNS_MOST} turns are asked for and not over: more are not taken"
        if value["why"] == "calendar" and len(self.windowed) >= WINDOWED_MOST:
            return f"{WINDOWED_MOST} turns of windows that are not over are remembered: more are not taken"
        return ""

    def knows(self, ident: str) -> bool:
        """Whether a request was taken, or refused, before."""
        return ident in self.outcomes or _digest(ident) in self.windowed

    # -- entries

    def apply(self, kind: str, value: dict[str, Any]) -> None:
        """Take one; ValueError, KeyError or TypeError where it cannot be read: then nothing changed."""
        at = max(
            self.clock_us, _time(value.get("at_us", 0) if kind == "recovered" else value["at_us"])
        )
        if kind == "ask":
            changed = self._ask(value, at)
        elif kind == "queue":
            changed = self._queue(
                [
                    (int(number), max(0, int(tasks)), *map(str, place))
                    for number, tasks, *place in value["turns"]
                ],
                at,
            )
        elif kind == "recovered":
            # Danger: of what was decided last, some may be lost, and machines know its numbers.
            self.last, self.version, changed = (
                self.last + NUMBERS_LEFT,
                self.version + NUMBERS_LEFT,
                True,
            )
        elif kind in _NEXT:
            changed = self._step(
                kind, int(value["number"]), str(value.get("note", ""))[:WORDS_MOST], at
            )
            if changed and value.get(
                "again"
            ):  # it was taken back, and is not any more: it may be asked for anew
                self.windowed.pop(_digest(str(value["again"])), None)
        else:
            raise ValueError(f"no entry of turns: {kind[:40]}")
        if changed:
            self.clock_us, self.version = at, self.version + 1

    def _ask(self, value: dict[str, Any], at: int) -> bool:
        ident = str(value["ident"])[:IDENT_MOST]
        if self.knows(ident):
            return False  # sent again: it has its outcome
        self.windowed = {digest: until for digest, until in self.windowed.items() if until > at}
        words = self.refusal(value)
        if value["why"] != "calendar":
            self._remember(ident, 0 if words else self.last + 1, words)
        elif not words:
            self.windowed[_digest(ident)] = value["latest_us"]
        if not words:
            self.last += 1
            self.turns[self.last] = Slot(
                self.last,
                value["machine"],
                value["region"],
                value["zone"],
                value["cell"],
                value["why"],
                value["urgency"],
                value["latest_us"],
                at,
                value["lasts_us"],
                value["worker"],
                "asked",
                0,
                at,
                ident,
                value.get("unsafe", "wait"),
                value.get("ends_us", 0),
                from_us=value.get("from_us", 0),
            )
        return True

    def _remember(self, ident: str, number: int, words: str) -> None:
        self.outcomes[ident] = number, words[:WORDS_MOST]
        while len(self.outcomes) > IDENTS_MOST:
            del self.outcomes[next(iter(self.outcomes))]

    def _queue(self, counted: Iterable[tuple[Any, ...]], at: int) -> bool:
        changed = False
        for number, tasks, *place in counted:
            turn = self.turns.get(number)
            if turn is not None and turn.state == "asked":
                turn = replace(turn, state="queued", tasks=tasks, since_us=at)
                if len(place) == 3:
                    region, zone, cell = (each[:LABEL_MOST] for each in place)
                    turn = replace(turn, region=region, zone=zone, cell=cell)
                self.turns[number] = turn
                changed = True
        return changed

    def _step(self, kind: str, number: int, note: str, at: int) -> bool:
        turn = self.turns.get(number)
        state = _NEXT[kind].get(turn.state) if turn is not None else None
        if turn is None or state is None:
            return False
        if kind == "close" and len(self.active()) >= ACTIVE_MOST:
            return False  # Danger: one that did not fit into a grant would be opened by whoever hears that grant
        if kind == "done" and turn.given:
            state = "given-back"
        if kind == "done" and turn.given:
            note = turn.note or note  # why it was taken back, not how it came back
        self.turns[number] = replace(
            turn,
            state=state,
            since_us=at,
            given=turn.given or kind == "give-back",
            note=note or turn.note,
            out_us=at if state == "out" else turn.out_us,
        )
        if state in OVER:
            self._forget()
        return True

    def _forget(self) -> None:
        ended = sorted(
            (each.since_us, number) for number, each in self.turns.items() if each.state in OVER
        )
        for _, number in ended[: max(0, len(ended) - ENDED_MOST)]:
            del self.turns[number]

    # -- snapshots

    def text(self) -> str:
        """All of it; with names as long as they may be under 1.4 KB a turn, so that a snapshot fits one mail."""
        return json.dumps(
            {
                "last": self.last,
                "version": self.version,
                "clock_us": self.clock_us,
                "outcomes": self.outcomes,
                "windowed": self.windowed,
                "turns": [astuple(each) for each in self.turns.values()],
            },
            separators=(",", ":"),
        )

    def restore(self, text: str) -> None:
        """What `text` gave; an empty one is the state at the beginning."""
        value = json.loads(text) if text else {}
        self.turns = {each[0]: Slot(*each) for each in value.get("turns", ())}
        self.last, self.version = value.get("last", 0), value.get("version", 0)
        self.clock_us = value.get("clock_us", 0)
        self.windowed = dict(value.get("windowed", {}))
        self.outcomes = {
            ident: (number, words) for ident, (number, words) in value.get("outcomes", {}).items()
        }


def _digest(ident: str) -> str:
    return hashlib.blake2b(ident.encode(), digest_size=8).hexdigest()


def _time(value: object) -> int:
    if type(value) is not int or not 0 <= value < 1 << 53:
        raise ValueError("a time is wanted")
    return value
