"""What operators and workers ask about turns, of any placer: /apis/wingbarrow.io/v1/turns.

GET lists them, GET .../N tells one; POST asks for one; POST .../N/renew holds it for a worker, .../N/out-done and
.../N/back give the machine back, .../N/give-back takes the turn back. What only the leader knows is answered elsewhere
with 307 and its address. Only the answer to `renew` lets a worker work: it is given by a leader that a majority has
followed since it was asked.
"""

from __future__ import annotations

from dataclasses import asdict
from typing import Any

from wingbarrow.config import parse_duration
from wingbarrow.decide.coordination.coordinator import Coordinator
from wingbarrow.decide.maintenance.slots import IDENT_MOST, LABEL_MOST, OVER, WORDS_MOST, Slot, rank
from wingbarrow.http.message import Request
from wingbarrow.http.server import Answer
from wingbarrow.kube import names
from wingbarrow.kube.status import ApiError
from wingbarrow.peers.host import Peering
from wingbarrow.peers.rulesets_api import RulesFront
from wingbarrow.transport import Hub

API = "wingbarrow.io/v1"
DECIDED_US, CONFIRMED_US, LOOK_US = 5_000_000, 3_000_000, 10_000
ACTIONS = ("renew", "out-done", "back", "give-back")
SHOWN = (
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


class TurnsFront:
    """Routes below /apis/wingbarrow.io/v1/turns."""

    def __init__(self, hub: Hub, peering: Peering, rules: RulesFront) -> None:
        self._hub, self._peering, self._rules = hub, peering, rules
        self._asked = 0

    def handle(self, request: Request, parts: list[str]) -> Answer:
        """Answer one request; ApiError for what is refused."""
        agreement = self._peering.agreement
        if agreement is None:
            raise ApiError(
                404, "this placer agrees on turns with nobody: `agree` in its settings", "NotFound"
            )
        number = int(parts[0]) if parts and parts[0].isdecimal() and len(parts[0]) < 16 else None
        if (
            (parts and number is None)
            or len(parts) > 2
            or (len(parts) == 2 and parts[1] not in ACTIONS)
        ):
            raise ApiError(
                404, f"turns, turns/NUMBER, turns/NUMBER/{'|'.join(ACTIONS)}", "NotFound"
            )
        method = "GET" if len(parts) == 1 else "POST"
        if request.method != method and not (request.method == "GET" and not parts):
            raise ApiError(405, f"{method} is allowed here")
        away = self._rules.away(request)
        if away is not None:
            return away
        if request.method == "GET":
            return (
                self._list(agreement)
                if number is None
                else Answer(200, names.encode(self._one(self._turn(number))))
            )
        body = self._body(request)
        return (
            self._ask(agreement, body)
            if number is None
            else self._act(agreement, number, parts[1], body)
        )

    def _body(self, request: Request) -> dict[str, Any]:
        try:
            return names.decode(request.body) if request.body else {}
        except ValueError as error:
            raise ApiError(400, f"the body is no JSON object: {error}", "BadRequest") from None

    # -- to be read

    def _turn(self, number: int) -> Slot:
        turn = self._peering.turns.queue.turns.get(number)
        if turn is None:
            raise ApiError(404, f"no turn {number}, or it ended long ago", "NotFound")
        return turn

    def _one(self, turn: Slot) -> dict[str, Any]:
        turns, now = self._peering.turns, self._hub.now_us()
        told = {key: value for key, value in asdict(turn).items() if key in SHOWN}
        told |= {
            "kind": "Turn",
            "apiVersion": API,
            "askedUs": turn.asked_us,
            "latestUs": turn.latest_us,
            "lastsUs": turn.lasts_us,
            "sinceUs": turn.since_us,
            "leaseUs": turns.times.lease_us,
        }
        if turns.blocked.get(turn.number) and turn.state in ("asked", "queued", "empty"):
            told["blocked"] = turns.blocked[turn.number]
        if turn.state == "closing":
            told["unproved"] = turns.unproved(now, turn)
        if turn.state == "out":
            told["silent"] = turn.number in list(turns.silent(now))
            renewed = turns.renewed_us(turn.number)
            told["renewedAgeUs"] = now - renewed if renewed else None
        return told

    def _list(self, agreement: Coordinator) -> Answer:
        queue = self._peering.turns.queue
        every = sorted(
            queue.turns.values(),
            key=lambda each: (each.state in OVER, each.state == "queued", rank(each)),
        )
        return Answer(
            200,
            names.encode(
                {
                    "kind": "TurnList",
                    "apiVersion": API,
                    "leader": agreement.name,
                    "items": [self._one(each) for each in every],
                }
            ),
        )

    # -- to be done

    def _ask(self, agreement: Coordinator, body: dict[str, Any]) -> Answer:
        queue, wall = self._peering.turns.queue, self._hub.clock.wall_us()
        value = self._wanted(agreement, body, wall)
        if value["ident"] not in queue.outcomes:
            refused = queue.refusal(value)
            if refused:
                raise ApiError(
                    429
                    if "more are not taken" in refused
                    else 409
                    if "already" in refused
                    else 422,
                    refused,
                    retry_after_s=60 if "more are not taken" in refused else None,
                )
            self._peering.propose("turns/ask", value)
            self._wait(lambda: value["ident"] in queue.outcomes)
        number, why_not = queue.outcomes[value["ident"]]
        if why_not:
            raise ApiError(409, why_not, "Conflict")
        return Answer(201, names.encode(self._one(self._turn(number))))

    def _wanted(self, agreement: Coordinator, body: dict[str, Any], wall: int) -> dict[str, Any]:
        try:
            latest, lasts = str(body.get("latest", "")), str(body.get("lasts", "0s"))
            latest_us = _wall_us(latest, wall) if latest else 0
            lasts_us = parse_duration(lasts)
        except ValueError as error:
            raise ApiError(422, f"latest, lasts: {error}", "Invalid") from None
        self._asked += 1
        ident = body.get("ident") or f"{agreement.name}-{self._hub.now_us()}-{self._asked}"
        return {
            "ident": str(ident)[:IDENT_MOST],
            "machine": body.get("machine"),
            "region": "",
            "zone": "",
            "cell": "",
            "why": body.get("why", "operator"),
            "urgency": body.get("urgency", 5),
            "latest_us": latest_us,
            "lasts_us": lasts_us,
            "worker": str(body.get("worker", ""))[:LABEL_MOST],
            "at_us": wall,
        }

    def _wait(self, done: Any, most_us: int = DECIDED_US) -> None:
        end = self._hub.now_us() + most_us
        while not done():
            if self._hub.now_us() >= end:
                raise ApiError(
                    504, "not decided yet: send it again, a request under the same ident", "Timeout"
                )
            self._hub.sleep(LOOK_US)

    def _act(
        self, agreement: Coordinator, number: int, action: str, body: dict[str, Any]
    ) -> Answer:
        turn, worker = self._turn(number), body.get("worker")
        if worker is not None and turn.worker and worker != turn.worker and action != "give-back":
            raise ApiError(409, f"turn {number} is {turn.worker}'s", "Conflict")
        if action == "renew":
            return self._renew(agreement, number)
        kind = "give-back" if action == "give-back" else "back"
        if kind == "back" and turn.state != "out":
            if turn.state in ("back", "done"):
                return Answer(200, names.encode(self._one(turn)))  # its answer may have been lost
            raise ApiError(409, f"turn {number} is {turn.state}, not out", "Conflict")
        if kind == "give-back" and (turn.given or turn.state in ("back", "done", "given-back")):
            if turn.given:
                return Answer(200, names.encode(self._one(turn)))
            raise ApiError(409, f"turn {number} is {turn.state} already", "Conflict")
        held = (
            kind == "give-back"
            and turn.state == "out"
            and turn.worker
            and worker != turn.worker
            and turn.number not in list(self._peering.turns.silent(self._hub.now_us()))
        )
        if held and not body.get("force"):
            # Danger: its worker may work for as long as its lease goes on, beside whoever comes next.
            raise ApiError(
                409,
                f"turn {number} is held by {turn.worker}, who is heard of: its word, or force, is "
                "wanted",
                "Conflict",
            )
        words = str(body.get("note", ""))[:WORDS_MOST]
        self._peering.propose(
            f"turns/{kind}", {"number": number, "at_us": self._hub.clock.wall_us(), "note": words}
        )
        state = turn.state
        self._wait(lambda: self._turn(number).state != state)
        return Answer(200, names.encode(self._one(self._turn(number))))

    def _renew(self, agreement: Coordinator, number: int) -> Answer:
        turns, asked = self._peering.turns, self._hub.now_us()
        turn = self._turn(number)
        if turn.state == "out":
            turns.renew(asked, number)
            self._wait(
                lambda: turns.renewed_us(number) >= asked
                or self._turn(number).state != "out"
                or not agreement.is_leader,
                CONFIRMED_US,
            )
            if not agreement.is_leader:
                raise ApiError(
                    503, "this placer leads no more", "ServiceUnavailable", retry_after_s=1
                )
            turn = self._turn(number)
        if turn.state in ("back", *OVER):
            raise ApiError(
                409,
                f"turn {number} is {turn.state}"
                + (f": {turn.note}" if turn.note else "")
                + "; its machine is not to be worked on",
                "Conflict",
            )
        return Answer(200, names.encode(self._one(turn)))


def _wall_us(text: str, wall_us: int) -> int:
    """A time (RFC 3339), or a duration from now on; ValueError for anything else."""
    return names.read_time(text) if "T" in text else wall_us + parse_duration(text)
