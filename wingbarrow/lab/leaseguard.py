"""Leases as a stand-in machine holds them, in its own clock: what is not renewed it stops by itself.

`GET /leases` tells the clock, "BOOT:MICROSECONDS"; `POST /leases` renews all tasks of one session; `POST /fence`
refuses a Job's tasks of earlier epochs from now on, and tells what of the Job is or was here. BOOT is another after
each start, so that what was said of one start's clock means nothing to the next.
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
MAX_FINISHED = 65_536  # leased tasks that began here, remembered until the machine's next start
LAPSED, FENCED = "LeaseLapsed", "Fenced"


class LeaseGuard:
    """One start of a machine; `pods` are those that it holds or looks at, `end` ends one for a lapsed lease."""

    def __init__(
        self,
        hub: Hub,
        name: str,
        boot: str,
        ppm: int,
        domain: Domain,
        record: Recorder,
        pods: Callable[[], Iterable[Pod]],
        end: Callable[[Pod], None],
    ) -> None:
        self._hub, self._name, self._boot, self._ppm, self._domain = hub, name, boot, ppm, domain
        self._record, self._pods, self._end = record, pods, end
        self._born_us = hub.now_us()
        self._until: dict[str, int] = {}  # by session, in this machine's clock; never shortened
        self._timed: set[str] = set()
        self._fences: dict[
            str, int
        ] = {}  # by Job's uid: the epoch from which on its tasks are taken
        self._ran: dict[tuple[str, str], None] = {}  # (uid, pod) of leased tasks that were accepted
        self._forgot = False

    # -- its clock

    def clock_us(self) -> int:
        """Microseconds since the start, by a clock that goes `ppm` fast."""
        return round((self._hub.now_us() - self._born_us) * (1 + self._ppm / 1e6))

    def clock(self) -> str:
        """As placers are told it."""
        return f"{self._boot}:{self.clock_us()}"

    def _hub_us(self, clock_us: int) -> int:
        """The hub's time at which this machine's clock stands so, or a little later."""
        return self._born_us + int(clock_us / (1 + self._ppm / 1e6)) + 1

    def _read(self, text: str) -> int:
        """A time of this start's clock; ApiError 409 for another's."""
        boot, _, figure = text.rpartition(":")
        if not figure.isdecimal() or len(figure) > 18:
            raise ApiError(400, f"no time of a machine's clock: {text[:80]!r}", "BadRequest")
        if boot != self._boot:
            raise ApiError(409, "the machine has started anew since", LAPSED)
        return int(figure)

    # -- what is asked over the socket

    def answer(self, method: str, path: str, request: Request) -> Answer | None:
        """None for what is not about leases."""
        if path == "/leases" and method == "GET":
            return self._say({})
        if path == "/leases" and method == "POST":
            return self._renew(names.decode(request.body))
        if path == "/fence" and method == "POST":
            return self._fence(names.decode(request.body))
        return None

    def _say(self, more: dict[str, Any]) -> Answer:
        return Answer(200, names.encode({"clock": self.clock(), **more}))

    def _renew(self, said: dict[str, Any]) -> Answer:
        session, until = said.get("session"), said.get("until")
        if not isinstance(session, str) or not isinstance(until, str):
            raise ApiError(400, "session and until are wanted", "BadRequest")
        self._hold(session, self._read(until))
        for pod in self._pods():
            if pod.session == session:  # shown with its next news
                pod.value["metadata"]["annotations"][names.LEASE_UNTIL] = (
                    f"{self._boot}:{self._until[session]}"
                )
        return self._say({})

    def _fence(self, said: dict[str, Any]) -> Answer:
        uid, epoch = said.get("uid"), said.get("epoch")
        if not isinstance(uid, str) or not isinstance(epoch, int) or not 0 < len(uid) <= 64:
            raise ApiError(400, "uid and epoch are wanted", "BadRequest")
        if uid not in self._fences and len(self._fences) >= MAX_FENCES:
            raise ApiError(429, f"{MAX_FENCES} Jobs are fenced here already", "TooManyRequests")
        self._fences[uid] = max(epoch, self._fences.get(uid, 0))
        # Danger: a task that ran and is over had its effect too; that it is not here now proves nothing. One that is
        # still looked at is refused by this very fence.
        holds = sorted(
            {
                pod.name
                for pod in self._pods()
                if pod.uid == uid
                and pod.phase in ("Pending", "Running")
                and (pod.epoch >= epoch or not pod.lease)
            }
            | {pod for owner, pod in self._ran if owner == uid}
        )
        self._record(self._name, "fence", uid=uid, epoch=epoch, holds=holds)
        return self._say({"holds": holds, "sure": not self._forgot})

    # -- what the machine asks

    def refusal(self, pod: Pod) -> ApiError | None:
        """Why a task may not start, or not any more; None where nothing of leases speaks against it."""
        if pod.epoch < self._fences.get(pod.uid, 0):
            return ApiError(
                409, f"Job {pod.uid} is fenced at epoch {self._fences[pod.uid]}", FENCED
            )
        if not pod.lease:
            return None
        try:
            until = self._read(pod.lease)
            if pod.session not in self._until and len(self._until) >= MAX_SESSIONS:
                self._forget()
                if len(self._until) >= MAX_SESSIONS:
                    return ApiError(
                        429, f"{MAX_SESSIONS} sessions are known here", "TooManyRequests"
                    )
        except ApiError as error:
            return error
        self._hold(pod.session, until)
        if self._until[pod.session] <= self.clock_us():
            return ApiError(409, "its lease has passed", LAPSED)
        return None

    def began(self, pod: Pod) -> None:
        """A task is taken: it may have its effect from now on."""
        if pod.lease:
            self._ran[pod.uid, pod.name] = None
            if len(self._ran) > MAX_FINISHED:
                del self._ran[next(iter(self._ran))]
                self._forgot = True

    def told(self, pod: Pod) -> dict[str, Any]:
        """What a record says of a task's lease; `until_us` in the hub's time."""
        if not pod.lease:
            return {"uid": pod.uid, "session": "", "epoch": 0, "until_us": 0}
        boot, _, figure = pod.lease.rpartition(":")
        known = self._until.get(pod.session, 0)
        if boot == self._boot and figure.isdecimal():
            known = max(known, int(figure))
        return {
            "uid": pod.uid,
            "session": pod.session,
            "epoch": pod.epoch,
            "until_us": self._hub_us(known),
        }

    # -- inside

    def _hold(self, session: str, until: int) -> None:
        """One timer for each session, whatever the number of its tasks."""
        self._until[session] = max(until, self._until.get(session, 0))
        if session not in self._timed:
            self._timed.add(session)
            self._hub._at(
                self._hub_us(self._until[session]), lambda: self._look(session), self._domain
            )

    def _look(self, session: str) -> None:
        self._timed.discard(session)
        until = self._until.get(session, 0)
        if until > self.clock_us():
            self._hold(session, until)
            return
        for pod in list(self._pods()):
            if pod.session == session and pod.phase in ("Pending", "Running"):
                self._end(pod)

    def _forget(self) -> None:
        held = {pod.session for pod in self._pods()}
        now = self.clock_us()
        self._until = {
            session: until
            for session, until in self._until.items()
            if until > now or session in held
        }
