"""Leases on a simulated machine, measured by its own clock: it ends a task whose lease is not renewed.

`GET /leases` returns the clock, "BOOT:MICROSECONDS"; `POST /leases` renews the lease of all tasks of one session;
`POST /fence` refuses a Job's tasks of earlier epochs from then on, and returns which tasks of the Job are or were on
this machine. BOOT differs after each launch, so that a time of one launch's clock is not valid in the next.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from wingbarrow.http.message import Request
from wingbarrow.http.server import Answer
from wingbarrow.kube import names
from wingbarrow.kube.status import ApiError
from wingbarrow.lab.build import Pod
from wingbarrow.lab.record import Recorder
from wingbarrow.transport import Domain, Hub

MAX_FENCES = 4096
MAX_SESSIONS = 4096
MAX_REMEMBERED_TASKS = 65_536  # leased tasks accepted here, remembered until the next launch
LAPSED, FENCED = "LeaseLapsed", "Fenced"


class LeaseGuard:
    """Leases of one launch; `pods` returns accepted and queued tasks, `end` ends one whose lease has lapsed."""

    def __init__(
        self,
        hub: Hub,
        name: str,
        boot: str,
        clock_drift_ppm: int,
        domain: Domain,
        record: Recorder,
        pods: Callable[[], Iterable[Pod]],
        end: Callable[[Pod], None],
    ) -> None:
        self._hub, self._name, self._boot, self._clock_drift_ppm, self._domain = (
            hub,
            name,
            boot,
            clock_drift_ppm,
            domain,
        )
        self._record, self._pods, self._end = record, pods, end
        self._launched_us = hub.now_us()
        # By session: when its lease ends, in this machine's clock; never moved back.
        self._lease_ends_us: dict[str, int] = {}
        self._timer_sessions: set[str] = set()
        self._fences: dict[str, int] = {}  # by Job's uid: the lowest epoch whose tasks are accepted
        # (uid, pod) of leased tasks that were accepted, in order.
        self._accepted: dict[tuple[str, str], None] = {}
        self._history_truncated = False

    # -- the machine's clock

    def clock_us(self) -> int:
        """Microseconds since the launch, by a clock that runs fast by `clock_drift_ppm`."""
        return round((self._hub.now_us() - self._launched_us) * (1 + self._clock_drift_ppm / 1e6))

    def clock(self) -> str:
        """The clock in the form sent to placers, "BOOT:MICROSECONDS"."""
        return f"{self._boot}:{self.clock_us()}"

    def _to_hub_us(self, clock_us: int) -> int:
        """The hub's time at which this machine's clock reads `clock_us`, rounded up."""
        return self._launched_us + int(clock_us / (1 + self._clock_drift_ppm / 1e6)) + 1

    def _parse_clock(self, text: str) -> int:
        """Parse "BOOT:MICROSECONDS" into microseconds; ApiError 400 if malformed, 409 for a clock of another launch."""
        boot, _, figure = text.rpartition(":")
        if not figure.isdecimal() or len(figure) > 18:
            raise ApiError(400, f"no time of a machine's clock: {text[:80]!r}", "BadRequest")
        if boot != self._boot:
            raise ApiError(409, "the machine has started anew since", LAPSED)
        return int(figure)

    # -- HTTP requests

    def answer(self, method: str, path: str, request: Request) -> Answer | None:
        """Serve `/leases` and `/fence`; None for any other call."""
        if path == "/leases" and method == "GET":
            return self._answer({})
        if path == "/leases" and method == "POST":
            return self._renew(names.decode(request.body))
        if path == "/fence" and method == "POST":
            return self._fence(names.decode(request.body))
        return None

    def _answer(self, more: dict[str, Any]) -> Answer:
        return Answer(200, names.encode({"clock": self.clock(), **more}))

    def _renew(self, body: dict[str, Any]) -> Answer:
        session, until = body.get("session"), body.get("until")
        if not isinstance(session, str) or not isinstance(until, str):
            raise ApiError(400, "session and until are wanted", "BadRequest")
        self._extend(session, self._parse_clock(until))
        for pod in self._pods():
            if pod.session == session:  # published with the task's next change
                pod.value["metadata"]["annotations"][names.LEASE_UNTIL] = (
                    f"{self._boot}:{self._lease_ends_us[session]}"
                )
        return self._answer({})

    def _fence(self, body: dict[str, Any]) -> Answer:
        uid, epoch = body.get("uid"), body.get("epoch")
        if not isinstance(uid, str) or not isinstance(epoch, int) or not 0 < len(uid) <= 64:
            raise ApiError(400, "uid and epoch are wanted", "BadRequest")
        if uid not in self._fences and len(self._fences) >= MAX_FENCES:
            raise ApiError(429, f"{MAX_FENCES} Jobs are fenced here already", "TooManyRequests")
        self._fences[uid] = max(epoch, self._fences.get(uid, 0))
        # Danger: a task that ran and ended has had its effect too; its absence now proves nothing. A task still in the
        # admission queue is refused by this fence.
        holds = sorted(
            {
                pod.name
                for pod in self._pods()
                if pod.uid == uid
                and pod.phase in ("Pending", "Running")
                and (pod.epoch >= epoch or not pod.lease)
            }
            | {pod for owner, pod in self._accepted if owner == uid}
        )
        self._record(self._name, "fence", uid=uid, epoch=epoch, holds=holds)
        return self._answer({"holds": holds, "sure": not self._history_truncated})

    # -- calls by the machine

    def refusal(self, pod: Pod) -> ApiError | None:
        """Why its lease or a fence forbids a task to start; None if neither does. Extends its session's lease."""
        if pod.epoch < self._fences.get(pod.uid, 0):
            return ApiError(
                409, f"Job {pod.uid} is fenced at epoch {self._fences[pod.uid]}", FENCED
            )
        if not pod.lease:
            return None
        try:
            until = self._parse_clock(pod.lease)
            if pod.session not in self._lease_ends_us and len(self._lease_ends_us) >= MAX_SESSIONS:
                self._forget_expired()
                if len(self._lease_ends_us) >= MAX_SESSIONS:
                    return ApiError(
                        429, f"{MAX_SESSIONS} sessions are known here", "TooManyRequests"
                    )
        except ApiError as error:
            return error
        self._extend(pod.session, until)
        if self._lease_ends_us[pod.session] <= self.clock_us():
            return ApiError(409, "its lease has passed", LAPSED)
        return None

    def record_accepted(self, pod: Pod) -> None:
        """Remember an accepted task: it may have its effect from now on."""
        if pod.lease:
            self._accepted[pod.uid, pod.name] = None
            if len(self._accepted) > MAX_REMEMBERED_TASKS:
                del self._accepted[next(iter(self._accepted))]
                self._history_truncated = True

    def record_fields(self, pod: Pod) -> dict[str, Any]:
        """The fields of a record that describe a task's lease; `until_us` is in the hub's time."""
        if not pod.lease:
            return {"uid": pod.uid, "session": "", "epoch": 0, "until_us": 0}
        boot, _, figure = pod.lease.rpartition(":")
        until_us = self._lease_ends_us.get(pod.session, 0)
        if boot == self._boot and figure.isdecimal():
            until_us = max(until_us, int(figure))
        return {
            "uid": pod.uid,
            "session": pod.session,
            "epoch": pod.epoch,
            "until_us": self._to_hub_us(until_us),
        }

    # -- inside

    def _extend(self, session: str, until: int) -> None:
        """Extend a session's lease; there is one timer for each session, whatever the number of its tasks."""
        self._lease_ends_us[session] = max(until, self._lease_ends_us.get(session, 0))
        if session not in self._timer_sessions:
            self._timer_sessions.add(session)
            self._hub._at(
                self._to_hub_us(self._lease_ends_us[session]),
                lambda: self._check_expiry(session),
                self._domain,
            )

    def _check_expiry(self, session: str) -> None:
        self._timer_sessions.discard(session)
        until = self._lease_ends_us.get(session, 0)
        if until > self.clock_us():
            self._extend(session, until)
            return
        for pod in list(self._pods()):
            if pod.session == session and pod.phase in ("Pending", "Running"):
                self._end(pod)

    def _forget_expired(self) -> None:
        held = {pod.session for pod in self._pods()}
        now = self.clock_us()
        self._lease_ends_us = {
            session: until
            for session, until in self._lease_ends_us.items()
            if until > now or session in held
        }
