"""Owners: they submit Jobs to placers over REST, watch for answers, and ask again as real owners do."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from wingbarrow.http.client import CallFailed, Pool, PoolLimits
from wingbarrow.http.watching import call, list_all, watch
from wingbarrow.kube import names
from wingbarrow.kube.status import ApiError
from wingbarrow.lab.record import Recorder
from wingbarrow.lab.wants import PATIENCE_US, SECOND, Mix, Want, draw, job_value
from wingbarrow.transport import Domain, Hub, Nursery

__all__ = ["PATIENCE_US", "Mix", "Owners", "PlacerAddress", "Want", "draw", "job_value"]

AGAIN_US = 1_500_000
TRIES = 4
MAX_REASON_CHARS = 200  # characters of a refusal's words that are recorded


@dataclass(slots=True)
class _Asked:
    want: Want
    name: str
    tries: int
    answered: bool = False
    until_us: int = 0  # once it was accepted
    early: dict[str, Any] | None = None  # what a watch told of it before that


@dataclass(slots=True)
class PlacerAddress:
    """Where a placer's front listens."""

    name: str
    port: int


class Owners:
    """All owners of a day; each placer is watched by one of them."""

    def __init__(self, hub: Hub, placers: list[PlacerAddress], seed: int, record: Recorder) -> None:
        self.hub = hub
        self._placers = placers
        self._random = random.Random(seed)
        self._record = record
        self._pools = [
            Pool(
                hub,
                "127.0.0.1",
                each.port,
                PoolLimits(connections=64, waiting=4096, first_byte_us=5 * SECOND),
                "owner",
            )
            for each in placers
        ]
        self._asked: list[dict[str, _Asked]] = [{} for _ in placers]
        self.waiting: deque[Want] = deque()
        self.submitted = self.open = 0
        self.domain = Domain(hub, "owners")
        self._nursery: Nursery | None = None
        self.watch_cuts = 0
        self.relists = 0
        self.cut_watch_at_us: list[int] = []
        self.delete_share = 0.0  # of accepted Jobs that their owners delete within four seconds
        self._deletes = random.Random(seed + 1)
        self._surges = 0
        self.skip: set[int] = set()  # placers that nobody asks for now
        self.on_answer: Callable[[str, str], None] = lambda _job, _answer: None

    def run(self, wants: list[Want], until_us: int) -> None:
        """Submit every want in its time; return when all is answered, or at the time given."""
        begin = self.hub.now_us()
        with Nursery(self.hub) as nursery:
            self._nursery = nursery
            for index in range(len(self._placers)):
                nursery.spawn(lambda index=index: self._watch(index), "owner watches")  # type: ignore[misc]
            for want in wants:
                self.hub.sleep_until(begin + want.at_us)
                nursery.spawn(lambda want=want: self._ask(want, 0), "owner asks")  # type: ignore[misc]
            while self.open and self.hub.now_us() < until_us:
                self.hub.sleep(SECOND // 4)
            nursery.cancel()

    def _ask(self, want: Want, tries: int) -> None:
        self.open += 1
        try:
            for _ in range(3):
                index = self._random.choice(
                    [i for i in range(len(self._placers)) if i not in self.skip]
                )
                if self._submit(index, want, tries):
                    return
                self.hub.sleep(200_000 + self._random.randrange(200_000))
        finally:
            self.open -= 1

    def _submit(self, index: int, want: Want, tries: int) -> bool:
        """True where no other placer may be asked: it was accepted, or may have been."""
        placer, patience = self._placers[index], PATIENCE_US[want.task_class]
        self.submitted += 1
        name = f"{want.ident}-{tries}-{self.submitted}"
        asked = _Asked(want, name, tries)
        self._asked[index][name] = asked
        body = names.encode(job_value(want, name, patience))
        sent_us = self.hub.now_us()
        try:
            value = call(
                self._pools[index],
                "POST",
                "/apis/batch/v1/namespaces/default/jobs",
                body,
                sent_us + 2 * SECOND,
            )
        except ApiError as error:
            del self._asked[index][name]
            self._record(
                "owner",
                "turned-away",
                placer=placer.name,
                job=name,
                code=error.code,
                why=str(error)[:MAX_REASON_CHARS],
            )
            return error.code == 422
        except CallFailed as error:
            self._record(
                "owner", "submit-failed", placer=placer.name, job=name, why=error.reason.name
            )
            # In doubt: what must not start twice is not handed to another placer.
            unsent = type(error).__name__ == "NotSent"
            del self._asked[index][name]
            return not unsent and want.task_class == "settlement"
        asked.until_us = sent_us + patience
        self.open += 1
        self._record(
            "owner",
            "accepted",
            placer=placer.name,
            job=name,
            uid=value["metadata"]["uid"],
            task=want.ident,
            task_class=want.task_class,
            patience_us=patience,
            sent_us=sent_us,
            federation=want.federation,
        )
        self._see(index, asked.early or value)
        self._spawn(lambda: self._give_up(index, asked))
        if self.delete_share and self._deletes.random() < self.delete_share:
            uid, after = value["metadata"]["uid"], int(self._deletes.expovariate(2.0) * SECOND)
            self._spawn(lambda: self._delete(index, name, uid, min(after, 4 * SECOND)))
        return True

    def _delete(self, index: int, name: str, uid: str, after_us: int) -> None:
        """An owner wants its Job no longer; it asks until it is told so, or the Job is not there."""
        self.hub.sleep(after_us)
        for _ in range(20):
            try:
                call(
                    self._pools[index],
                    "DELETE",
                    f"/apis/batch/v1/namespaces/default/jobs/{name}",
                    None,
                    self.hub.now_us() + 2 * SECOND,
                )
            except ApiError as error:
                if error.code == 404:
                    return
            except CallFailed:
                pass
            else:
                self._record(
                    "owner", "deleted", placer=self._placers[index].name, job=name, uid=uid
                )
                asked = self._asked[index].pop(name, None)
                if asked is not None and not asked.answered:
                    asked.answered = True
                    self.open -= 1
                return
            self.hub.sleep(300_000)

    def surge(self, count: int, over_s: float, seed: int) -> None:
        """Ask for so many more tasks within a while, half of them of four services."""
        self._surges += 1
        rng = random.Random(seed)
        for want in draw(
            Mix(rate=count / max(0.1, over_s), services=60), over_s, seed, f"s{self._surges}-"
        ):
            few = rng.random() < 0.5 and want.task_class == "web"
            want = replace(want, service=f"web-{rng.randrange(4)}") if few else want
            self._spawn_at(self.hub.now_us() + want.at_us, want)

    def _spawn_at(self, at_us: int, want: Want) -> None:
        def later() -> None:
            self.hub.sleep_until(at_us)
            self._ask(want, 0)

        self._spawn(later)

    def _spawn(self, what: Callable[[], None]) -> None:
        if self._nursery is not None and not self._nursery.scope.cancelled:
            self._nursery.spawn(what, "owner")

    def _give_up(self, index: int, asked: _Asked) -> None:
        """The owner's patience, and a little: who hears nothing by then stops waiting."""
        self.hub.sleep_until(asked.until_us + SECOND)
        if not asked.answered:
            asked.answered = True
            self.open -= 1
            self._record("owner", "gave-up", placer=self._placers[index].name, job=asked.name)
            self._asked[index].pop(asked.name, None)
            if asked.want.task_class != "settlement":
                self._again(asked)

    def _watch(self, index: int) -> None:
        pool, version = self._pools[index], ""
        path = "/apis/batch/v1/jobs"
        while True:
            try:
                if not version:
                    self.relists += 1
                    items, version = list_all(pool, path, "", 500, self.hub.now_us() + 5 * SECOND)
                    for item in items:
                        self._see(index, item)
                target = f"{path}?watch=true&resourceVersion={version}&allowWatchBookmarks=true"
                for kind, value in watch(pool, target, self.hub.now_us() + 5 * SECOND):
                    version = value["metadata"]["resourceVersion"]
                    if kind in ("ADDED", "MODIFIED"):
                        self._see(index, value)
                    if self.cut_watch_at_us and self.hub.now_us() >= self.cut_watch_at_us[0]:
                        self.cut_watch_at_us.pop(0)
                        self.watch_cuts += 1
                        break
            except (CallFailed, ValueError):
                self.hub.sleep(200_000)
            except ApiError as error:
                if error.code == 410:
                    version = ""
                self.hub.sleep(200_000)

    def _see(self, index: int, value: dict[str, Any]) -> None:
        """What one watch event, or answer, says of a Job."""
        name = value["metadata"]["name"]
        asked = self._asked[index].get(name)
        if asked is not None and not asked.until_us:
            asked.early = value
            return
        status = value.get("status", {})
        conditions = {each["type"]: each for each in status.get("conditions", [])}
        failed = conditions.get("Failed", {}).get("reason", "")
        answer = (
            "placed"
            if "Placed" in conditions
            else {"Refused": "refused", "Failed": "failed", "LeaseLost": "failed"}.get(failed, "")
        )
        if not answer:
            return
        self._record(
            "owner",
            "answer",
            placer=self._placers[index].name,
            job=name,
            uid=value["metadata"]["uid"],
            answer=answer,
            failed=failed,
        )
        if asked is None:
            return
        over = "Complete" in conditions or failed
        if not asked.answered:
            asked.answered = True
            self.open -= 1
            self.on_answer(name, answer)
            if answer == "refused" or (
                answer == "failed" and asked.want.task_class != "settlement"
            ):
                self._again(asked)
        if over:
            del self._asked[index][name]

    def _again(self, asked: _Asked) -> None:
        if asked.tries + 1 < TRIES:

            def later() -> None:
                self.hub.sleep(AGAIN_US + self._random.randrange(SECOND))
                self._ask(asked.want, asked.tries + 1)

            self._spawn(later)
