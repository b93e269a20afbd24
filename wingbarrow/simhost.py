"""Adapter between the simulator's line protocol and the scheduler: wire text to events, actions to text."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import TextIO

from wingbarrow import interface as api
from wingbarrow.scheduler import Scheduler
from wingbarrow.settings_parser import parse_report, parse_settings_text

PHASES = {"Running": api.Phase.RUNNING, "Stopping": api.Phase.DRAINING, "Deleted": api.Phase.GONE}
FORMS = {
    "INCREMENTAL": api.ListForm.CHANGES,
    "FULL": api.ListForm.FULL,
    "SAVED": api.ListForm.SAVED,
    "FAILED": api.ListForm.FAILED,
}
OUTCOMES = {
    100: api.Outcome.DONE,
    301: api.Outcome.ERROR,
    302: api.Outcome.REFUSED,
    303: api.Outcome.TIMED_OUT,
    304: api.Outcome.UNREACHABLE,
    305: api.Outcome.BROKEN,
    306: api.Outcome.CANCELLED,
    307: api.Outcome.NOT_SENT,
}
REASONS = {
    1: api.Reason.NO_CORES,
    2: api.Reason.NO_MEMORY,
    3: api.Reason.OFFERS_WAIT,
    4: api.Reason.NOT_HERE,
    5: api.Reason.EVICTED,
    6: api.Reason.PUSHED_OUT,
    7: api.Reason.SENT_AWAY,
}
NOTES = {
    1: api.NoteKind.RUNS,
    2: api.NoteKind.CORES_USED,
    3: api.NoteKind.MEMORY_USED,
    4: api.NoteKind.SERVED,
    5: api.NoteKind.MACHINE_MEMORY,
}


class FrameError(Exception):
    """The wire's framing is broken; no sound reply is possible."""


def _absent_as_zero(text: str) -> int:
    return 0 if text == "-" else int(text)


def _entry(line: str) -> api.ListedMachine:
    word, memory, cell, condition, kind, launched, cores, machine, _weight, zone = line.split(" ")
    if word != "ITEM":
        raise FrameError(f"a list entry was due, not {word}")
    return api.ListedMachine(
        int(machine),
        kind,
        int(cell),
        zone,
        PHASES[condition],
        _absent_as_zero(launched),
        float(cores),
        float(memory),
    )


def _arrived(v: list[str]) -> api.Event:
    request, service, _flags, lasts, _tenant, memory, deadline, task, kind, cores = v
    return api.TaskArrived(
        int(request),
        kind,
        service,
        task,
        float(cores),
        float(memory),
        int(deadline),
        None if lasts == "-" else int(lasts),
    )


def _found(v: list[str]) -> api.Event:
    request, kind, _tenant, task, deadline, lasts, service, cores, memory, _flags, machine = v
    return api.TaskFound(
        api.TaskArrived(
            int(request),
            kind,
            service,
            task,
            float(cores),
            float(memory),
            _absent_as_zero(deadline),
            None if lasts == "-" else int(lasts),
        ),
        int(machine),
    )


def _ended(v: list[str]) -> api.Event:
    request, verdict, closed, leg, remark, machine, waited, gauge = v
    return api.AttemptEnded(
        int(request),
        int(leg),
        int(machine),
        OUTCOMES[int(verdict)],
        REASONS.get(_absent_as_zero(remark), api.Reason.UNTOLD),
        closed == "1",
        _absent_as_zero(waited),
        parse_report(gauge),
    )


def _placed(v: list[str]) -> api.Event:
    request, leg, machine, waited = v
    return api.TaskPlaced(int(request), int(leg), int(machine), _absent_as_zero(waited))


def _probed(v: list[str]) -> api.Event:
    _waited, verdict, machine, gauge = v
    return api.Probed(int(machine), OUTCOMES[int(verdict)], parse_report(gauge))


def _note(v: list[str]) -> api.Event:
    request, leg, machine, kind, level = v
    return api.TaskNote(int(request), int(leg), int(machine), NOTES[int(kind)], float(level))


def _withdrawn(v: list[str]) -> api.Event:
    (request,) = v
    return api.TaskWithdrawn(int(request))


READERS: dict[str, Callable[[list[str]], api.Event]] = {
    "ASK": _arrived,
    "FOUND": _found,
    "ATTEMPT_END": _ended,
    "LANDED": _placed,
    "CHECKED": _probed,
    "NOTICE": _note,
    "VANISHED": _withdrawn,
}


def write_action(who: str, action: api.Action) -> str:
    """The wire's line for an action."""
    match action:
        case api.Bind(request, machine, give_up):
            return f"SEND {who} {request} {machine} {give_up}"
        case api.Refuse(request):
            return f"DECLINE {who} {request} 0"
        case api.Fail(request):
            return f"END_FAILED {who} {request}"
        case api.Move(request):
            return f"REASSIGN {who} {request}"
        case api.SetTimer(at, name):
            return f"WAKE_AT {who} {at} {name}"
        case api.Probe(machine):
            return f"CHECK {who} {machine}"
        case api.WatchList():
            return f"FOLLOW {who} 1"
        case api.Log(text):
            return f"NOTE_DOWN {who} {text}"


class Host:
    """Runs many schedulers, which share nothing but the lists' text that the wire gives once for all."""

    def __init__(self, complain: Callable[[str], None]) -> None:
        self._complain = complain
        self._schedulers: dict[str, Scheduler] = {}
        self._banks: dict[int, tuple[api.ListedMachine, ...] | None] = {}

    def batch(self, now_us: int, lines: list[str]) -> list[str]:
        """The reply's lines to one batch of event lines."""
        reply: list[str] = []
        at = 0
        while at < len(lines):
            word, _, rest = lines[at].partition(" ")
            at += 1
            if word == "POOL":
                at = self._read_bank(rest, lines, at)
            else:
                self._event(now_us, word, rest, reply)
        return reply

    def _read_bank(self, rest: str, lines: list[str], at: int) -> int:
        try:
            bank, count = (int(part) for part in rest.split(" "))
        except ValueError:
            raise FrameError(f"POOL is unreadable: {rest}") from None
        entries = lines[at : at + count]
        if len(entries) < count or not all(line.startswith("ITEM ") for line in entries):
            raise FrameError(f"POOL {bank} does not hold its {count} entries")
        try:
            self._banks[bank] = tuple(_entry(line) for line in entries)
        except (ValueError, KeyError) as error:
            self._complain(f"POOL {bank}: {error}")
            self._banks[bank] = None
        return at + count

    def _event(self, now_us: int, word: str, rest: str, reply: list[str]) -> None:
        who, _, values = rest.partition(" ")
        if word == "FROM_PEER":
            return
        if word not in READERS and word not in ("CREATE", "TEARDOWN", "REGISTRY", "WAKE"):
            self._complain(f"unknown event passed over: {word}")
            return
        try:
            if word == "CREATE":
                seed, _, setup = values.partition(" ")
                self._schedulers[who] = Scheduler(parse_settings_text(setup), int(seed))
            elif word == "TEARDOWN":
                self._schedulers.pop(who, None)
            elif who not in self._schedulers:
                self._complain(f"{word} for an instance that is not there: {who}")
            else:
                actions = self._schedulers[who].handle(now_us, self._read(word, values))
                reply.extend(write_action(who, action) for action in actions)
        except Exception as error:  # whatever failed, only this instance may be given up
            reason = " ".join(f"{word}: {type(error).__name__}: {error}".split())
            self._complain(f"{who}: {reason}")
            self._schedulers.pop(who, None)
            reply.append(f"BAIL_OUT {who} {reason}")

    def _read(self, word: str, values: str) -> api.Event:
        if word == "WAKE":
            return api.TimerDue(values)
        if word == "REGISTRY":
            form, bank, _version = values.split(" ")
            if FORMS[form] is api.ListForm.FAILED:
                return api.MachineList(api.ListForm.FAILED, ())
            machines = self._banks.get(int(bank))
            if machines is None:
                raise ValueError(f"list {bank} is unreadable or was never given")
            return api.MachineList(FORMS[form], machines)
        return READERS[word](values.split(" "))


def serve(source: TextIO, sink: TextIO, complaints: TextIO) -> int:
    """Answer batches until the input ends; the exit status."""
    host = Host(lambda text: print(text, file=complaints, flush=True))
    now_us: int | None = None
    lines: list[str] = []
    try:
        for raw in source:
            line = raw.rstrip("\n")
            if now_us is None:
                word, _, clock = line.partition(" ")
                if word != "TURN" or not clock.isdigit():
                    raise FrameError(f"a batch was due, not {line[:80]}")
                now_us, lines = int(clock), []
            elif line == "END":
                sink.write("\n".join([*host.batch(now_us, lines), "DONE", ""]))
                sink.flush()
                now_us = None
            else:
                lines.append(line)
        if now_us is not None:
            raise FrameError("the input ended inside a batch")
    except (FrameError, UnicodeDecodeError) as error:
        print(f"broken input: {error}", file=complaints, flush=True)
        return 1
    return 0


def main() -> None:
    """Serve standard input and output."""
    sys.stdin.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    sys.exit(serve(sys.stdin, sys.stdout, sys.stderr))


if __name__ == "__main__":
    main()
