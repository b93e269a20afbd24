"""Adapter between the simulator's line protocol and the scheduler: lines to events, actions to lines."""

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
    """The framing of the input is broken, so that no valid reply is possible."""


def _int_or_zero(text: str) -> int:
    return 0 if text == "-" else int(text)


def _parse_entry(line: str) -> api.ListedMachine:
    word, memory, cell, condition, kind, launched, cores, machine, _weight, zone = line.split(" ")
    if word != "ITEM":
        raise FrameError(f"expected a list entry (ITEM), got {word}")
    return api.ListedMachine(
        int(machine),
        kind,
        int(cell),
        zone,
        PHASES[condition],
        _int_or_zero(launched),
        float(cores),
        float(memory),
    )


def _parse_arrived(fields: list[str]) -> api.Event:
    request, service, _flags, remaining, _tenant, memory, deadline, task, kind, cores = fields
    return api.TaskArrived(
        int(request),
        kind,
        service,
        task,
        float(cores),
        float(memory),
        int(deadline),
        None if remaining == "-" else int(remaining),
    )


def _parse_found(fields: list[str]) -> api.Event:
    request, kind, _tenant, task, deadline, remaining, service, cores, memory, _flags, machine = (
        fields
    )
    return api.TaskFound(
        api.TaskArrived(
            int(request),
            kind,
            service,
            task,
            float(cores),
            float(memory),
            _int_or_zero(deadline),
            None if remaining == "-" else int(remaining),
        ),
        int(machine),
    )


def _parse_ended(fields: list[str]) -> api.Event:
    request, outcome, closed, attempt, reason, machine, waited, report = fields
    return api.AttemptEnded(
        int(request),
        int(attempt),
        int(machine),
        OUTCOMES[int(outcome)],
        REASONS.get(_int_or_zero(reason), api.Reason.UNTOLD),
        closed == "1",
        _int_or_zero(waited),
        parse_report(report),
    )


def _parse_placed(fields: list[str]) -> api.Event:
    request, attempt, machine, waited = fields
    return api.TaskPlaced(int(request), int(attempt), int(machine), _int_or_zero(waited))


def _parse_probed(fields: list[str]) -> api.Event:
    _waited, outcome, machine, report = fields
    return api.Probed(int(machine), OUTCOMES[int(outcome)], parse_report(report))


def _parse_note(fields: list[str]) -> api.Event:
    request, attempt, machine, kind, level = fields
    return api.TaskNote(int(request), int(attempt), int(machine), NOTES[int(kind)], float(level))


def _parse_withdrawn(fields: list[str]) -> api.Event:
    (request,) = fields
    return api.TaskWithdrawn(int(request))


PARSERS: dict[str, Callable[[list[str]], api.Event]] = {
    "ASK": _parse_arrived,
    "FOUND": _parse_found,
    "ATTEMPT_END": _parse_ended,
    "LANDED": _parse_placed,
    "CHECKED": _parse_probed,
    "NOTICE": _parse_note,
    "VANISHED": _parse_withdrawn,
}


def write_action(instance: str, action: api.Action) -> str:
    """The protocol line for an action of the scheduler `instance`."""
    match action:
        case api.Bind(request, machine, give_up):
            return f"SEND {instance} {request} {machine} {give_up}"
        case api.Refuse(request):
            return f"DECLINE {instance} {request} 0"
        case api.Fail(request):
            return f"END_FAILED {instance} {request}"
        case api.Move(request):
            return f"REASSIGN {instance} {request}"
        case api.SetTimer(at, name):
            return f"WAKE_AT {instance} {at} {name}"
        case api.Probe(machine):
            return f"CHECK {instance} {machine}"
        case api.WatchList():
            return f"FOLLOW {instance} 1"
        case api.Log(text):
            return f"NOTE_DOWN {instance} {text}"


class Host:
    """Runs many schedulers, which share only the lists of machines that the simulator sends once for all."""

    def __init__(self, report_error: Callable[[str], None]) -> None:
        self._report_error = report_error
        self._schedulers: dict[str, Scheduler] = {}
        self._lists: dict[int, tuple[api.ListedMachine, ...] | None] = {}

    def batch(self, now_us: int, lines: list[str]) -> list[str]:
        """Process one batch of event lines; returns the lines of the reply."""
        reply: list[str] = []
        at = 0
        while at < len(lines):
            word, _, rest = lines[at].partition(" ")
            at += 1
            if word == "POOL":
                at = self._read_list(rest, lines, at)
            else:
                self._handle_event(now_us, word, rest, reply)
        return reply

    def _read_list(self, rest: str, lines: list[str], at: int) -> int:
        try:
            list_id, count = (int(part) for part in rest.split(" "))
        except ValueError:
            raise FrameError(f"POOL: expected two integers, got {rest}") from None
        entries = lines[at : at + count]
        if len(entries) < count or not all(line.startswith("ITEM ") for line in entries):
            raise FrameError(f"POOL {list_id}: expected {count} ITEM lines after it")
        try:
            self._lists[list_id] = tuple(_parse_entry(line) for line in entries)
        except (ValueError, KeyError) as error:
            self._report_error(f"POOL {list_id}: {error}")
            self._lists[list_id] = None
        return at + count

    def _handle_event(self, now_us: int, word: str, rest: str, reply: list[str]) -> None:
        instance, _, values = rest.partition(" ")
        if word == "FROM_PEER":
            return
        if word not in PARSERS and word not in ("CREATE", "TEARDOWN", "REGISTRY", "WAKE"):
            self._report_error(f"unknown event passed over: {word}")
            return
        try:
            if word == "CREATE":
                seed, _, setup = values.partition(" ")
                self._schedulers[instance] = Scheduler(parse_settings_text(setup), int(seed))
            elif word == "TEARDOWN":
                self._schedulers.pop(instance, None)
            elif instance not in self._schedulers:
                self._report_error(f"{word} for an instance that is not there: {instance}")
            else:
                actions = self._schedulers[instance].handle(now_us, self._parse_event(word, values))
                reply.extend(write_action(instance, action) for action in actions)
        except Exception as error:  # any failure ends this scheduler alone, not the process
            reason = " ".join(f"{word}: {type(error).__name__}: {error}".split())
            self._report_error(f"{instance}: {reason}")
            self._schedulers.pop(instance, None)
            reply.append(f"BAIL_OUT {instance} {reason}")

    def _parse_event(self, word: str, values: str) -> api.Event:
        if word == "WAKE":
            return api.TimerDue(values)
        if word == "REGISTRY":
            form, list_id, _version = values.split(" ")
            if FORMS[form] is api.ListForm.FAILED:
                return api.MachineList(api.ListForm.FAILED, ())
            machines = self._lists.get(int(list_id))
            if machines is None:
                raise ValueError(f"list {list_id} is unreadable or was never given")
            return api.MachineList(FORMS[form], machines)
        return PARSERS[word](values.split(" "))


def serve(source: TextIO, sink: TextIO, errors: TextIO) -> int:
    """Answer batches until the input ends; returns the exit status: 1 if the input is broken."""
    host = Host(lambda text: print(text, file=errors, flush=True))
    now_us: int | None = None
    lines: list[str] = []
    try:
        for raw in source:
            line = raw.rstrip("\n")
            if now_us is None:
                word, _, clock = line.partition(" ")
                if word != "TURN" or not clock.isdigit():
                    raise FrameError(f"expected TURN and a time, got {line[:80]}")
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
        print(f"broken input: {error}", file=errors, flush=True)
        return 1
    return 0


def main() -> None:
    """Serve standard input and output."""
    sys.stdin.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    sys.exit(serve(sys.stdin, sys.stdout, sys.stderr))


if __name__ == "__main__":
    main()
