"""The REST API of maintenance slots, at any placer: /apis/wingbarrow.io/v1/turns.

GET lists slots, GET .../N shows one; POST requests one; POST .../N/renew renews an operator's lease, .../N/out-done and
.../N/back return the machine, .../N/give-back cancels the slot. Placers other than the leader answer 307 with the
leader's address. Only the answer to `renew` permits an operator to work: the leader sends it once a majority has
confirmed its leadership since the request arrived.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import asdict
from typing import Any

from wingbarrow.config import parse_duration
from wingbarrow.decide.coordination.coordinator import Coordinator
from wingbarrow.decide.maintenance.entries import (
    MAX_IDENT_CHARACTERS,
    MAX_LABEL_CHARACTERS,
    MAX_NOTE_CHARACTERS,
    MachineReturned,
    SlotGivenBack,
    SlotRequested,
    SlotTransition,
)
from wingbarrow.decide.maintenance.slots import ENDED_STATES, Slot, SlotState, queue_rank
from wingbarrow.http.message import Request
from wingbarrow.http.server import Answer
from wingbarrow.kube import names
from wingbarrow.kube.status import ApiError
from wingbarrow.peers.host import Peering
from wingbarrow.peers.rulesets_api import RuleSetsApi
from wingbarrow.transport import Hub

API_VERSION = "wingbarrow.io/v1"
DECISION_TIMEOUT_US = 5_000_000  # for an entry of the log to be applied
CONFIRMATION_TIMEOUT_US = 3_000_000  # for a majority to confirm the leader
POLL_INTERVAL_US = 10_000
MAX_NUMBER_DIGITS = 15  # of a slot's number in a path
FULL_RETRY_S = 60  # Retry-After while the queue is full
GIVE_BACK = "give-back"
ACTIONS = ("renew", "out-done", "back", GIVE_BACK)
RETURNED_STATES = (SlotState.RETURNED, SlotState.DONE, SlotState.GIVEN_BACK)
BLOCKABLE_STATES = (SlotState.REQUESTED, SlotState.QUEUED, SlotState.EMPTY)
SLOT_FIELDS = (
    "number",
    "machine",
    "region",
    "zone",
    "cell",
    "why",
    "urgency",
    "worker",
    "state",
    "tasks",
    "note",
    "ident",
)


class MaintenanceApi:
    """Routes below /apis/wingbarrow.io/v1/turns."""

    def __init__(self, hub: Hub, peering: Peering, rules: RuleSetsApi) -> None:
        self._hub = hub
        self._peering = peering
        self._rules = rules
        self._requests = 0

    def handle(self, request: Request, parts: list[str]) -> Answer:
        """Answer a request to the path `parts` below the API's root; raises ApiError if it is rejected."""
        agreement = self._peering.agreement
        if agreement is None:
            raise ApiError(
                404, "this placer agrees on turns with nobody: `agree` in its settings", "NotFound"
            )
        number = _route(request, parts)
        redirect = self._rules.redirect(request)
        if redirect is not None:
            return redirect
        if request.method == "GET":
            return self._list(agreement) if number is None else self._answer(self._slot(number))
        body = _body(request)
        if number is None:
            return self._request_slot(agreement, body)
        return self._act(agreement, number, parts[1], body)

    # Reading

    def _slot(self, number: int) -> Slot:
        slot = self._peering.maintenance_scheduler.queue.slots.get(number)
        if slot is None:
            raise ApiError(404, f"no turn {number}, or it ended long ago", "NotFound")
        return slot

    def _answer(self, slot: Slot, status: int = 200) -> Answer:
        return Answer(status, names.encode(self._to_json(slot)))

    def _to_json(self, slot: Slot) -> dict[str, Any]:
        scheduler = self._peering.maintenance_scheduler
        now_us = self._hub.now_us()
        value = {key: field for key, field in asdict(slot).items() if key in SLOT_FIELDS}
        value |= {
            "state": slot.state.value,
            "kind": "Turn",
            "apiVersion": API_VERSION,
            "askedUs": slot.requested_us,
            "latestUs": slot.latest_us,
            "lastsUs": slot.lasts_us,
            "sinceUs": slot.since_us,
            "leaseUs": scheduler.timing.lease_us,
        }
        reason = scheduler.blocked.get(slot.number)
        if reason and slot.state in BLOCKABLE_STATES:
            value["blocked"] = reason
        if slot.state == SlotState.CLOSING:
            value["unproved"] = scheduler.missing_proof(now_us, slot)
        if slot.state == SlotState.OUT:
            value["silent"] = slot.number in list(scheduler.lapsed_operator_slots(now_us))
            renewed_us = scheduler.renewed_us(slot.number)
            value["renewedAgeUs"] = now_us - renewed_us if renewed_us else None
        return value

    def _list(self, agreement: Coordinator) -> Answer:
        """List active slots, then queued ones in their order, then ended ones."""
        slots = sorted(self._peering.maintenance_scheduler.queue.slots.values(), key=_list_rank)
        value = {
            "kind": "TurnList",
            "apiVersion": API_VERSION,
            "leader": agreement.name,
            "items": [self._to_json(each) for each in slots],
        }
        return Answer(200, names.encode(value))

    # Requests

    def _request_slot(self, agreement: Coordinator, body: dict[str, Any]) -> Answer:
        queue = self._peering.maintenance_scheduler.queue
        value = self._request_value(agreement, body, self._hub.clock.wall_us())
        ident = value["ident"]
        if ident not in queue.outcomes:
            request = SlotRequested.from_json(value)
            refusal = queue.refusal(request)
            if refusal:
                raise _refused(refusal)
            self._peering.propose(f"turns/{request.kind}", request.to_json())
            self._wait(lambda: ident in queue.outcomes)
        number, refusal = queue.outcomes[ident]
        if refusal:
            raise ApiError(409, refusal, "Conflict")
        return self._answer(self._slot(number), 201)

    def _request_value(
        self, agreement: Coordinator, body: dict[str, Any], wall_us: int
    ) -> dict[str, Any]:
        """The request in the JSON form of a log entry; names and numbers are as the client sent them, unchecked."""
        try:
            latest = str(body.get("latest", ""))
            latest_us = _wall_us(latest, wall_us) if latest else 0
            lasts_us = parse_duration(str(body.get("lasts", "0s")))
        except ValueError as error:
            raise ApiError(422, f"latest, lasts: {error}", "Invalid") from error
        self._requests += 1
        ident = body.get("ident") or f"{agreement.name}-{self._hub.now_us()}-{self._requests}"
        return {
            "ident": str(ident)[:MAX_IDENT_CHARACTERS],
            "machine": body.get("machine"),
            "region": "",
            "zone": "",
            "cell": "",
            "why": body.get("why", "operator"),
            "urgency": body.get("urgency", 5),
            "latest_us": latest_us,
            "lasts_us": lasts_us,
            "worker": str(body.get("worker", ""))[:MAX_LABEL_CHARACTERS],
            "at_us": wall_us,
        }

    # Actions

    def _act(
        self, agreement: Coordinator, number: int, action: str, body: dict[str, Any]
    ) -> Answer:
        slot = self._slot(number)
        worker = body.get("worker")
        is_other = worker is not None and slot.worker and worker != slot.worker
        if is_other and action != GIVE_BACK:
            raise ApiError(409, f"turn {number} is {slot.worker}'s", "Conflict")
        if action == "renew":
            return self._renew(agreement, number)
        if action == GIVE_BACK:
            return self._give_back(slot, body)
        return self._return_machine(slot, body)

    def _return_machine(self, slot: Slot, body: dict[str, Any]) -> Answer:
        if slot.state == SlotState.OUT:
            return self._transition(MachineReturned, slot, body)
        if slot.state in (SlotState.RETURNED, SlotState.DONE):
            return self._answer(slot)  # the answer to an earlier request may have been lost
        raise ApiError(409, f"turn {slot.number} is {slot.state}, not out", "Conflict")

    def _give_back(self, slot: Slot, body: dict[str, Any]) -> Answer:
        if slot.is_given_back:
            return self._answer(slot)
        if slot.state in RETURNED_STATES:
            raise ApiError(409, f"turn {slot.number} is {slot.state} already", "Conflict")
        if self._is_held_by_other(slot, body.get("worker")) and not body.get("force"):
            # Danger: its operator may still work until the lease expires, at the same time as the next one.
            raise ApiError(
                409,
                f"turn {slot.number} is held by {slot.worker}, who is heard of: its word, or force, is "
                "wanted",
                "Conflict",
            )
        return self._transition(SlotGivenBack, slot, body)

    def _is_held_by_other(self, slot: Slot, worker: object) -> bool:
        """Whether an operator other than the sender holds the slot under a lease that has not expired."""
        if slot.state != SlotState.OUT or not slot.worker or worker == slot.worker:
            return False
        return slot.number not in list(
            self._peering.maintenance_scheduler.lapsed_operator_slots(self._hub.now_us())
        )

    def _transition(
        self, entry_type: type[SlotTransition], slot: Slot, body: dict[str, Any]
    ) -> Answer:
        """Propose a transition and wait until the slot's state changes."""
        entry = entry_type(
            number=slot.number,
            at_us=self._hub.clock.wall_us(),
            note=str(body.get("note", ""))[:MAX_NOTE_CHARACTERS],
        )
        self._peering.propose(f"turns/{entry.kind}", entry.to_json())
        self._wait(lambda: self._slot(slot.number).state != slot.state)
        return self._answer(self._slot(slot.number))

    def _renew(self, agreement: Coordinator, number: int) -> Answer:
        """Renew the operator's lease and wait until a majority has confirmed this leader since the request."""
        scheduler = self._peering.maintenance_scheduler
        asked_us = self._hub.now_us()
        slot = self._slot(number)
        if slot.state == SlotState.OUT:
            scheduler.renew(asked_us, number)

            def is_settled() -> bool:
                is_renewed = scheduler.renewed_us(number) >= asked_us
                is_out = self._slot(number).state == SlotState.OUT
                return is_renewed or not is_out or not agreement.is_leader

            self._wait(is_settled, CONFIRMATION_TIMEOUT_US)
            if not agreement.is_leader:
                raise ApiError(
                    503, "this placer leads no more", "ServiceUnavailable", retry_after_s=1
                )
            slot = self._slot(number)
        if slot.state in RETURNED_STATES:
            note = f": {slot.note}" if slot.note else ""
            raise ApiError(
                409,
                f"turn {number} is {slot.state}{note}; its machine is not to be worked on",
                "Conflict",
            )
        return self._answer(slot)

    def _wait(self, is_done: Callable[[], bool], timeout_us: int = DECISION_TIMEOUT_US) -> None:
        end_us = self._hub.now_us() + timeout_us
        while not is_done():
            if self._hub.now_us() >= end_us:
                raise ApiError(
                    504, "not decided yet: send it again, a request under the same ident", "Timeout"
                )
            self._hub.sleep(POLL_INTERVAL_US)


def _route(request: Request, parts: list[str]) -> int | None:
    """The slot's number in a path, None for all slots; raises ApiError for unknown paths and methods."""
    number = None
    if parts and parts[0].isdecimal() and len(parts[0]) <= MAX_NUMBER_DIGITS:
        number = int(parts[0])
    has_action = len(parts) == len(("number", "action"))
    is_known = (number is not None or not parts) and (
        len(parts) <= 1 or (has_action and parts[1] in ACTIONS)
    )
    if not is_known:
        raise ApiError(404, f"turns, turns/NUMBER, turns/NUMBER/{'|'.join(ACTIONS)}", "NotFound")
    method = "GET" if len(parts) == 1 else "POST"
    if request.method != method and not (request.method == "GET" and not parts):
        raise ApiError(405, f"{method} is allowed here")
    return number


def _body(request: Request) -> dict[str, Any]:
    try:
        return names.decode(request.body) if request.body else {}
    except ValueError as error:
        raise ApiError(400, f"the body is no JSON object: {error}", "BadRequest") from error


def _list_rank(slot: Slot) -> tuple[bool, bool, tuple[int, int, int, int, str, int]]:
    return slot.state in ENDED_STATES, slot.state == SlotState.QUEUED, queue_rank(slot)


def _refused(refusal: str) -> ApiError:
    """The error for a refusal: 429 if the queue is full, 409 if the machine has a slot, 422 for an invalid request."""
    if "more are not taken" in refusal:
        return ApiError(429, refusal, retry_after_s=FULL_RETRY_S)
    return ApiError(409 if "already" in refusal else 422, refusal)


def _wall_us(text: str, wall_us: int) -> int:
    """A time (RFC 3339), or a duration from now, as wall-clock microseconds; raises ValueError for anything else."""
    return names.read_time(text) if "T" in text else wall_us + parse_duration(text)
