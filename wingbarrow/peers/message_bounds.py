"""Bounds on the content of messages between placers, checked after decoding.

A decoder checks only the structure of a message. `_CHECKS` has one check per type for lengths, counts and ranges.
A type without an entry has no bounds beyond those of its envelope (`peers.message`).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import Any, get_args

from wingbarrow.decide.consensus import messages as consensus
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
from wingbarrow.decide.membership import messages as membership_messages
from wingbarrow.decide.outliers.ejections import MAX_EJECTIONS_PER_GRANT
from wingbarrow.decide.outliers.health import MAX_REPORTS_PER_REQUEST, HealthReport
from wingbarrow.decide.quotas.limits import MAX_LIMITS
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
MAX_ADDRESS_CHARS = 300
MAX_MEMBER_UPDATES = 64  # per message
MAX_LOG_ENTRIES = 64  # per message
MAX_INCARNATION = 1 << 62
MAX_KEY_CHARS = 2 * MAX_NAME_CHARS + 1  # namespace/name
MAX_REASON_CHARS = 500
MAX_RECORDS = 64  # per message
MAX_UIDS = 256  # per message
MAX_TASKS_PER_JOB = 1_000
MAX_INTEGER = 1 << 62  # exclusive
SESSION_MESSAGES = get_args(session_messages.Message)
FORWARDING_MESSAGES = get_args(forwarding.Message)


def check_message(message: Any) -> str:
    """The bound that a message exceeds, as a text for its sender; "" if it is within all bounds."""
    check = _CHECKS.get(type(message))
    return check(message) if check is not None else ""


def _check_relayed(
    message: coordination_messages.RelayedRequest | coordination_messages.RelayedGrant,
) -> str:
    if not 0 < len(message.ident) <= MAX_NAME_CHARS:
        return "an ask, or a grant, for nobody"
    if isinstance(message, coordination_messages.RelayedRequest):
        return _check_request(message.ask)
    return _check_grant(message.grant)


def _check_request(request: coordination_messages.LeaseRequest) -> str:
    keys = {each.key for each in request.stated}
    if len(request.stated) > MAX_LIMITS or len(keys) < len(request.stated) or request.up_us < 0:
        return "more limits than there can be, one twice, or a life of no length"
    if len(request.evidence) > MAX_REPORTS_PER_REQUEST:
        return "evidence that cannot be"
    if not all(map(_is_health_report, request.evidence)):
        return "evidence that cannot be"
    if request.sessions is not None and not _is_sessions_report(request.sessions):
        return "sessions: more than can be kept, a name too long or a figure out of range"
    if request.turns is not None and not _is_maintenance_report(request.turns):
        return "turns: more than there can be, or a number out of range"
    if request.regions is not None and not _is_region_report(request.regions):
        return "regions: a name too long, or a figure out of range"
    return ""


def _check_grant(grant: coordination_messages.LeaseGrant) -> str:
    if len(grant.closed) > MAX_EJECTIONS_PER_GRANT:
        return f"{len(grant.closed)} verdicts; {MAX_EJECTIONS_PER_GRANT} are the most"
    if grant.sessions is not None and not _is_sessions_response(grant.sessions):
        return "sessions: more ends than go with a grant, a name too long or a figure out of range"
    if grant.turns is not None and not _is_maintenance_response(grant.turns):
        return "turns: more than there can be, a name too long or a number out of range"
    if grant.regions is not None and not _are_region_summaries(grant.regions):
        return "regions: more than there can be, a name too long or a figure out of range"
    return ""


def _check_gossip(
    message: membership_messages.Ping
    | membership_messages.PingRequest
    | membership_messages.Ack
    | membership_messages.Nack
    | membership_messages.Sync,
) -> str:
    if len(message.news) > MAX_MEMBER_UPDATES:
        return f"{len(message.news)} words; {MAX_MEMBER_UPDATES} are the most"
    return next(filter(None, map(_check_member_update, message.news)), "")


def _check_member_update(update: membership_messages.MemberUpdate) -> str:
    if not 0 < len(update.ident) <= MAX_NAME_CHARS or not _are_names(update.by, update.region):
        return "a member's name that is empty or too long"
    if not 0 < len(update.address) <= MAX_ADDRESS_CHARS:
        return "a member's address that is empty or too long"
    if not 0 <= update.incarnation < MAX_INCARNATION or not 0 <= update.life < MAX_INCARNATION:
        return "an incarnation out of range"
    return ""


def _check_ping_request(request: membership_messages.PingRequest) -> str:
    error = _check_gossip(request)
    if error:
        return error
    if 0 < len(request.ident) <= MAX_NAME_CHARS and 0 < len(request.address) <= MAX_ADDRESS_CHARS:
        return ""
    return "a probe for nobody"


def _check_append(request: consensus.AppendRequest) -> str:
    if len(request.entries) > MAX_LOG_ENTRIES:
        return f"{len(request.entries)} entries; {MAX_LOG_ENTRIES} are the most"
    return ""


def _check_replicate_request(request: session_messages.ReplicateRequest) -> str:
    is_addressed = _are_in_range(request.number) and _is_session(request.session)
    if not is_addressed or not _are_uids(request.gone):
        return "keep: more uids than go with a letter, a name too long or a figure out of range"
    if len(request.records) > MAX_RECORDS or not all(map(_is_record, request.records)):
        return f"keep: more than {MAX_RECORDS} records, or one with something out of its bounds"
    return ""


def _check_by(is_within: Callable[[Any], bool], name: str, error: str) -> Callable[[Any], str]:
    """Make a check of a predicate; `name` is the message's name in error texts."""
    return lambda message: "" if is_within(message) else f"{name}: {error}"


def _are_in_range(*values: int) -> bool:
    return all(0 <= value < MAX_INTEGER for value in values)


def _are_names(*values: str, max_chars: int = MAX_NAME_CHARS) -> bool:
    return all(len(value) <= max_chars for value in values)


def _is_health_report(report: HealthReport) -> bool:
    is_counted = 0 <= report.failed <= report.tried
    return is_counted and 0 < len(report.machine) <= MAX_NAME_CHARS


def _are_region_summaries(summaries: Sequence[RegionSummary]) -> bool:
    return len(summaries) <= MAX_REGIONS and all(map(_is_region_summary, summaries))


def _is_session(session: Session) -> bool:
    return 0 < len(session.placer) <= MAX_NAME_CHARS and _are_in_range(session.life, session.serial)


def _are_uids(uids: Iterable[str]) -> bool:
    uids = tuple(uids)
    return len(uids) <= MAX_UIDS and all(uids) and _are_names(*uids)


def _is_sessions_report(report: SessionsReport) -> bool:
    return (
        _are_names(report.region)
        and _are_in_range(report.serial, report.leased, report.heard)
        and len(report.keeping) <= MAX_HELD_SESSIONS
        and len({each.session for each in report.keeping}) == len(report.keeping)
        and all(
            _is_session(each.session) and _are_in_range(each.jobs, each.after_us)
            for each in report.keeping
        )
    )


def _is_ended_session(ended: EndedSession) -> bool:
    return (
        _are_in_range(ended.epoch, ended.changed)
        and _is_session(ended.session)
        and _are_names(ended.region, *ended.gone)
        and len(ended.batches) <= MAX_BATCHES_PER_END
        and len(ended.gone) <= MAX_BATCHES_PER_END * MAX_SUCCESSORS_PER_BATCH
        and all(
            len(batch) <= MAX_SUCCESSORS_PER_BATCH and _are_names(*batch) for batch in ended.batches
        )
    )


def _is_sessions_response(response: SessionsResponse) -> bool:
    return (
        _are_in_range(response.serial, response.epoch, response.life)
        and 0 < response.lease_us < MAX_INTEGER
        and len(response.ended) <= MAX_ENDED_PER_RESPONSE
        and all(map(_is_ended_session, response.ended))
    )


def _is_maintenance_report(report: MaintenanceReport) -> bool:
    numbers = (
        report.clear,
        report.empty,
        report.tried,
        report.bad,
        report.open,
        report.gone,
        tuple(number for number, _ in report.tasks),
        tuple(count for _, count in report.tasks),
    )
    return (
        all(len(each) <= MAX_LIVE_SLOTS and _are_in_range(*each) for each in numbers)
        and _are_in_range(report.at_us)
        and len(report.places) <= MAX_LIVE_SLOTS
        and all(
            _are_in_range(number) and _are_names(zone, cell) for number, zone, cell in report.places
        )
        and _are_names(report.region)
        and (report.view is None or _is_region_view(report.view))
        and len(report.wants) <= MAX_REPORTED_REQUESTS
        and all(
            _are_names(each.ident, max_chars=MAX_IDENT_CHARACTERS)
            and _are_names(each.machine, each.zone, each.cell, each.why, each.unsafe)
            and _are_in_range(
                each.urgency, each.latest_us, each.lasts_us, each.ends_us, each.from_us
            )
            for each in report.wants
        )
    )


def _is_region_view(view: RegionView) -> bool:
    return (
        len(view.cells) <= MAX_REPORTED_CELLS
        and len(view.lost) <= MAX_REPORTED_LOSSES
        and 0 <= view.used < 1e9
        and all(_are_names(zone, cell) and 0 <= count < 1 << 31 for zone, cell, count in view.cells)
        and all(_are_names(*each) for each in view.lost)
    )


def _is_maintenance_response(response: MaintenanceResponse) -> bool:
    return (
        _are_in_range(response.version, *response.silent)
        and len(response.turns) <= MAX_LIVE_SLOTS
        and len(response.silent) <= MAX_LIVE_SLOTS
        and all(
            _are_in_range(number) and _are_names(machine, state, who)
            for number, machine, state, who in response.turns
        )
    )


def _is_region_report(report: RegionReport) -> bool:
    return (
        0 < len(report.region) <= MAX_NAME_CHARS
        and _are_in_range(report.came, report.refused, report.machines)
        and len(report.leased) <= MAX_LEASED_SPECS
        and all(
            _are_names(spec) and 0 <= cores < 1e12 and 0 <= memory < 1e12
            for spec, cores, memory in report.leased
        )
        and all(
            0 <= value < 1e12
            for value in (report.cores, report.memory, report.free_cores, report.free_memory)
        )
    )


def _is_region_summary(summary: RegionSummary) -> bool:
    return (
        _are_names(summary.region, *summary.placers)
        and len(summary.placers) <= MAX_REGIONS
        and _are_in_range(summary.age_us, summary.refusing_us, summary.stable_us)
        and all(
            -1e12 < value < 1e12
            for value in (
                summary.load,
                summary.cores,
                summary.memory,
                summary.held_cores,
                summary.held_memory,
            )
        )
    )


def _is_forward_request(request: forwarding.ForwardRequest) -> bool:
    return (
        _is_key(request.ident)
        and _are_in_range(request.life, request.hops, request.left_us)
        and _are_names(request.spec)
        and len(request.manifest) <= forwarding.MAX_MANIFEST_CHARS
    )


def _is_forward_cancel(cancel: forwarding.ForwardCancel) -> bool:
    return _is_key(cancel.ident) and _are_in_range(cancel.life)


def _is_forward_status(status: forwarding.ForwardStatus) -> bool:
    return (
        _is_key(status.ident)
        and _are_names(status.state, status.where)
        and len(status.words) <= MAX_REASON_CHARS
    )


def _is_key(key: str) -> bool:
    return 0 < len(key) <= MAX_KEY_CHARS


def _is_record(record: LeasedJobRecord) -> bool:
    return (
        _are_in_range(
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
        and _is_session(record.session)
        and _are_names(record.region, record.spec, record.group, record.answered, *record.keepers)
        and len(record.keepers) <= MAX_REPLICAS
        and record.effect in EFFECTS
        and abs(record.priority) < MAX_INTEGER
        and 0 <= record.cores < 1e9
        and 0 <= record.memory < 1e9
        and len(record.manifest) <= MAX_RECORD_BYTES
        and len(record.manifest.encode()) <= MAX_RECORD_BYTES
        and len(record.tasks) <= MAX_TASKS_PER_JOB
        and all(
            _are_in_range(each.index, each.age_us)
            and each.phase in TASK_PHASES
            and _are_names(each.machine, each.attempt)
            for each in record.tasks
        )
    )


def _is_replicate_response(response: session_messages.ReplicateResponse) -> bool:
    return (
        _are_in_range(response.number)
        and _is_session(response.session)
        and _are_names(response.why, max_chars=MAX_REASON_CHARS)
    )


def _is_resolve_request(request: session_messages.ResolveRequest) -> bool:
    return (
        _are_in_range(request.number) and _is_session(request.session) and _are_uids(request.uids)
    )


def _is_resolve_response(response: session_messages.ResolveResponse) -> bool:
    return (
        _are_in_range(response.number)
        and _is_session(response.session)
        and _are_uids(each[0] for each in response.fates)
        and all(_are_in_range(epoch) and _are_names(fate) for _, epoch, fate in response.fates)
    )


def _is_machine_query(query: session_messages.MachineQuery) -> bool:
    return _are_in_range(query.number, query.epoch) and _are_names(query.machine, query.uid)


def _is_machine_report(report: session_messages.MachineReport) -> bool:
    return _are_in_range(report.number, report.boot_age_us) and _are_names(
        report.machine, report.uid
    )


_FORWARD_ERROR = "a text too long, or a figure out of range"
_SESSION_ERROR = "a name or list too long, or a figure out of range"

# Error texts are returned to the sender and logged; they use the message names of the first protocol version.
_CHECKS: dict[type[Any], Callable[[Any], str]] = {
    membership_messages.Ping: _check_gossip,
    membership_messages.PingRequest: _check_ping_request,
    membership_messages.Ack: _check_gossip,
    membership_messages.Nack: _check_gossip,
    membership_messages.Sync: _check_gossip,
    consensus.AppendRequest: _check_append,
    coordination_messages.LeaseRequest: _check_request,
    coordination_messages.LeaseGrant: _check_grant,
    coordination_messages.RelayedRequest: _check_relayed,
    coordination_messages.RelayedGrant: _check_relayed,
    session_messages.ReplicateRequest: _check_replicate_request,
    session_messages.ReplicateResponse: _check_by(
        _is_replicate_response, "KeepAnswer", _SESSION_ERROR
    ),
    session_messages.ResolveRequest: _check_by(_is_resolve_request, "Settle", _SESSION_ERROR),
    session_messages.ResolveResponse: _check_by(_is_resolve_response, "Settled", _SESSION_ERROR),
    session_messages.MachineQuery: _check_by(_is_machine_query, "AskMachine", _SESSION_ERROR),
    session_messages.MachineReport: _check_by(_is_machine_report, "MachineSays", _SESSION_ERROR),
    forwarding.ForwardRequest: _check_by(_is_forward_request, "Hand", _FORWARD_ERROR),
    forwarding.ForwardCancel: _check_by(_is_forward_cancel, "HandStop", _FORWARD_ERROR),
    forwarding.ForwardStatus: _check_by(_is_forward_status, "HandSays", _FORWARD_ERROR),
}
