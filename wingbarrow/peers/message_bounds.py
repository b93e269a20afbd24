"""Bounds of what is said about leases and turns: what a letter may hold at most, beside its form."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, get_args

from wingbarrow.decide.coordination import messages as coordination_messages
from wingbarrow.decide.maintenance.entries import MAX_IDENT_CHARACTERS
from wingbarrow.decide.maintenance.messages import (
    MAX_REPORTED_CELLS,
    MAX_REPORTED_LOSSES,
    MAX_REPORTED_REQUESTS,
    MaintenanceReport,
    MaintenanceResponse,
    RegionView,
)
from wingbarrow.decide.maintenance.slots import MAX_LIVE_SLOTS
from wingbarrow.decide.regions import forwarding
from wingbarrow.decide.regions.reports import (
    MAX_LEASED_SPECS,
    MAX_REGIONS,
    RegionReport,
    RegionSummary,
)
from wingbarrow.decide.sessions import messages as session_messages
from wingbarrow.decide.sessions.leased_job_record import (
    EFFECTS,
    MAX_RECORD_BYTES,
    MAX_REPLICAS,
    TASK_PHASES,
    LeasedJobRecord,
)
from wingbarrow.decide.sessions.messages import (
    MAX_ENDED_PER_RESPONSE,
    MAX_HELD_SESSIONS,
    SessionsReport,
    SessionsResponse,
)
from wingbarrow.decide.sessions.session import EndedSession, Session
from wingbarrow.decide.sessions.session_log import MAX_BATCHES_PER_END, MAX_SUCCESSORS_PER_BATCH

MAX_NAME_CHARS = 253
MAX_KEY_CHARS = 2 * MAX_NAME_CHARS + 1
MAX_REASON_CHARS = 500
MAX_RECORDS, MAX_UIDS = 64, 256  # in one letter
MAX_TASKS_PER_JOB = 1_000  # of a Job
MAX_FIGURE = 1 << 62
SESSION_MESSAGES, FORWARDING_MESSAGES = (
    get_args(session_messages.Message),
    get_args(forwarding.Message),
)

# A fault goes back to the sender and into logs: on the wire these messages keep their first names.
_NAMES_IN_FAULTS = {
    forwarding.ForwardRequest: "Hand",
    forwarding.ForwardCancel: "HandStop",
    forwarding.ForwardStatus: "HandSays",
    session_messages.ReplicateRequest: "Keep",
    session_messages.ReplicateResponse: "KeepAnswer",
    session_messages.ResolveRequest: "Settle",
    session_messages.ResolveResponse: "Settled",
    session_messages.MachineQuery: "AskMachine",
    session_messages.MachineReport: "MachineSays",
}


def fault(message: Any) -> str:
    """What is over its bound, in words; "" where nothing is."""
    if isinstance(message, coordination_messages.LeaseRequest):
        said = message.sessions
        if said is not None and not _said(said):
            return "sessions: more than can be kept, a name too long or a figure out of range"
        if message.turns is not None and not _turns_said(message.turns):
            return "turns: more than there can be, or a number out of range"
        if message.regions is not None and not _region_said(message.regions):
            return "regions: a name too long, or a figure out of range"
    elif isinstance(message, coordination_messages.LeaseGrant):
        if message.sessions is not None and not _told(message.sessions):
            return (
                "sessions: more ends than go with a grant, a name too long or a figure out of range"
            )
        if message.turns is not None and not _turns_told(message.turns):
            return "turns: more than there can be, a name too long or a number out of range"
        if message.regions is not None and not (
            len(message.regions) <= MAX_REGIONS and all(map(_region_told, message.regions))
        ):
            return "regions: more than there can be, a name too long or a figure out of range"
    elif isinstance(message, FORWARDING_MESSAGES):
        return (
            ""
            if _handing(message)
            else f"{_NAMES_IN_FAULTS[type(message)]}: a text too long, or a figure out of range"
        )
    elif isinstance(message, session_messages.ReplicateRequest):
        if not (_figures(message.number) and _session(message.session) and _uids(message.gone)):
            return "keep: more uids than go with a letter, a name too long or a figure out of range"
        if len(message.records) > MAX_RECORDS or not all(map(_record, message.records)):
            return f"keep: more than {MAX_RECORDS} records, or one with something out of its bounds"
    elif isinstance(message, SESSION_MESSAGES) and not _leasing(message):
        return (
            f"{_NAMES_IN_FAULTS[type(message)]}: a name or list too long, or a figure out of range"
        )
    return ""


def _figures(*values: int) -> bool:
    return all(0 <= value < MAX_FIGURE for value in values)


def _names(*values: str, most: int = MAX_NAME_CHARS) -> bool:
    return all(len(value) <= most for value in values)


def _session(session: Session) -> bool:
    return 0 < len(session.placer) <= MAX_NAME_CHARS and _figures(session.life, session.serial)


def _uids(uids: Iterable[str]) -> bool:
    uids = tuple(uids)
    return len(uids) <= MAX_UIDS and all(uids) and _names(*uids)


def _said(said: SessionsReport) -> bool:
    return (
        _names(said.region)
        and _figures(said.serial, said.leased, said.heard)
        and len(said.keeping) <= MAX_HELD_SESSIONS
        and len({each.session for each in said.keeping}) == len(said.keeping)
        and all(
            _session(each.session) and _figures(each.jobs, each.after_us) for each in said.keeping
        )
    )


def _ended(ended: EndedSession) -> bool:
    return (
        _figures(ended.epoch, ended.changed)
        and _session(ended.session)
        and _names(ended.region, *ended.gone)
        and len(ended.batches) <= MAX_BATCHES_PER_END
        and len(ended.gone) <= MAX_BATCHES_PER_END * MAX_SUCCESSORS_PER_BATCH
        and all(
            len(batch) <= MAX_SUCCESSORS_PER_BATCH and _names(*batch) for batch in ended.batches
        )
    )


def _told(told: SessionsResponse) -> bool:
    return (
        _figures(told.serial, told.epoch, told.life)
        and 0 < told.lease_us < MAX_FIGURE
        and len(told.ended) <= MAX_ENDED_PER_RESPONSE
        and all(map(_ended, told.ended))
    )


def _turns_said(said: MaintenanceReport) -> bool:
    numbers = (
        said.clear,
        said.empty,
        said.tried,
        said.bad,
        said.open,
        said.gone,
        tuple(number for number, _ in said.tasks),
        tuple(count for _, count in said.tasks),
    )
    return (
        all(len(each) <= MAX_LIVE_SLOTS and _figures(*each) for each in numbers)
        and _figures(said.at_us)
        and len(said.places) <= MAX_LIVE_SLOTS
        and all(_figures(number) and _names(zone, cell) for number, zone, cell in said.places)
        and _names(said.region)
        and (said.view is None or _view(said.view))
        and len(said.wants) <= MAX_REPORTED_REQUESTS
        and all(
            _names(each.ident, most=MAX_IDENT_CHARACTERS)
            and _names(each.machine, each.zone, each.cell, each.why, each.unsafe)
            and _figures(each.urgency, each.latest_us, each.lasts_us, each.ends_us, each.from_us)
            for each in said.wants
        )
    )


def _view(view: RegionView) -> bool:
    return (
        len(view.cells) <= MAX_REPORTED_CELLS
        and len(view.lost) <= MAX_REPORTED_LOSSES
        and 0 <= view.used < 1e9
        and all(_names(zone, cell) and 0 <= count < 1 << 31 for zone, cell, count in view.cells)
        and all(_names(*each) for each in view.lost)
    )


def _turns_told(told: MaintenanceResponse) -> bool:
    return (
        _figures(told.version, *told.silent)
        and len(told.turns) <= MAX_LIVE_SLOTS
        and len(told.silent) <= MAX_LIVE_SLOTS
        and all(
            _figures(number) and _names(machine, state, who)
            for number, machine, state, who in told.turns
        )
    )


def _region_said(said: RegionReport) -> bool:
    return (
        0 < len(said.region) <= MAX_NAME_CHARS
        and _figures(said.came, said.refused, said.machines)
        and len(said.leased) <= MAX_LEASED_SPECS
        and all(
            _names(spec) and 0 <= cores < 1e12 and 0 <= memory < 1e12
            for spec, cores, memory in said.leased
        )
        and all(
            0 <= figure < 1e12
            for figure in (said.cores, said.memory, said.free_cores, said.free_memory)
        )
    )


def _region_told(told: RegionSummary) -> bool:
    return (
        _names(told.region, *told.placers)
        and len(told.placers) <= MAX_REGIONS
        and _figures(told.age_us, told.refusing_us, told.stable_us)
        and all(
            -1e12 < figure < 1e12
            for figure in (told.load, told.cores, told.memory, told.held_cores, told.held_memory)
        )
    )


def _handing(message: forwarding.Message) -> bool:
    if not 0 < len(message.ident) <= MAX_KEY_CHARS:
        return False
    if isinstance(message, forwarding.ForwardStatus):
        return _names(message.state, message.where) and len(message.words) <= MAX_REASON_CHARS
    if isinstance(message, forwarding.ForwardCancel):
        return _figures(message.life)
    return (
        _figures(message.life, message.hops, message.left_us)
        and _names(message.spec)
        and len(message.manifest) <= forwarding.MAX_MANIFEST_CHARS
    )


def _record(record: LeasedJobRecord) -> bool:
    return (
        _figures(
            record.form,
            record.epoch,
            record.version,
            record.window_us,
            record.after_us,
            record.count,
            record.born_age_us,
        )
        and 0 < len(record.uid) <= MAX_NAME_CHARS
        and 0 < len(record.key) <= MAX_KEY_CHARS
        and _session(record.session)
        and _names(record.region, record.spec, record.group, record.answered, *record.keepers)
        and len(record.keepers) <= MAX_REPLICAS
        and record.effect in EFFECTS
        and abs(record.priority) < MAX_FIGURE
        and 0 <= record.cores < 1e9
        and 0 <= record.memory < 1e9
        and len(record.manifest) <= MAX_RECORD_BYTES
        and len(record.manifest.encode()) <= MAX_RECORD_BYTES
        and len(record.tasks) <= MAX_TASKS_PER_JOB
        and all(
            _figures(each.index, each.age_us)
            and each.phase in TASK_PHASES
            and _names(each.machine, each.attempt)
            for each in record.tasks
        )
    )


def _leasing(message: Any) -> bool:
    """All but `Keep`."""
    if isinstance(message, session_messages.ReplicateResponse):
        return (
            _figures(message.number)
            and _session(message.session)
            and _names(message.why, most=MAX_REASON_CHARS)
        )
    if isinstance(message, session_messages.ResolveRequest):
        return _figures(message.number) and _session(message.session) and _uids(message.uids)
    if isinstance(message, session_messages.ResolveResponse):
        return (
            _figures(message.number)
            and _session(message.session)
            and _uids(each[0] for each in message.fates)
            and all(_figures(epoch) and _names(fate) for _, epoch, fate in message.fates)
        )
    if isinstance(message, session_messages.MachineQuery):
        return _figures(message.number, message.epoch) and _names(message.machine, message.uid)
    return _figures(message.number, message.boot_age_us) and _names(message.machine, message.uid)
