"""Handles the offers that a simulated machine receives: records each, injects a planned fault, answers once."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from typing import Any

from wingbarrow.http.listwatch import error_answer
from wingbarrow.http.message import Request
from wingbarrow.http.server import Answer
from wingbarrow.http.write import write_response
from wingbarrow.kube import names
from wingbarrow.kube.status import ApiError
from wingbarrow.lab.build import Pod
from wingbarrow.lab.faults import Fault, FaultPlan
from wingbarrow.lab.record import Recorder
from wingbarrow.transport import Domain, Hub, PeerGone, Signal

# How often an offer that is deliberately left unanswered checks whether its client has closed.
CLIENT_CHECK_INTERVAL_US = 1_000_000


class Offering:
    """Serves offers for one launch of a machine.

    `decide` admits a task (None) or returns why it is refused; `changed` is notified when any task changes;
    `lease_fields` gives the fields of a record that describe a task's lease.
    """

    def __init__(
        self,
        hub: Hub,
        name: str,
        seed: random.Random,
        record: Recorder,
        faults: FaultPlan,
        domain: Domain,
        changed: Signal,
        decide: Callable[[Pod, dict[str, Any]], ApiError | None],
        lease_fields: Callable[[Pod], Mapping[str, Any]],
    ) -> None:
        self._hub, self._name, self._random, self._record, self._faults = (
            hub,
            name,
            seed,
            record,
            faults,
        )
        self._domain, self._changed, self._decide = domain, changed, decide
        self._lease_fields = lease_fields
        self.on_offer: Callable[[], None] = lambda: None  # called for each offer received

    def offer(self, request: Request) -> Answer:
        """Admit a task as the kubelet does; answers when the task runs or is refused."""
        value = names.decode(request.body)
        pod = Pod(value, (self._random.uniform(0.4, 0.9), self._random.uniform(0.6, 0.95)))
        placer = (request.get("user-agent") or "").rpartition("/")[2]
        gone = request.connection.reader_gone()
        self._record(
            self._name,
            "offer",
            placer=placer,
            pod=pod.name,
            task=pod.task,
            task_class=pod.task_class,
            service=pod.service,
            late=gone,
            rules=value["metadata"].get("labels", {}).get(names.RULES, ""),
            **self._lease_fields(pod),
        )
        self.on_offer()
        watcher = self._hub.spawn(
            lambda: self._watch_client(request, pod), f"{self._name} watches a client", self._domain
        )
        try:
            return self._process(pod, request, value)
        finally:
            watcher.cancel()

    def _watch_client(self, request: Request, pod: Pod) -> None:
        """Mark the offer as closed as soon as its client closes: from then on it is no longer open."""
        request.connection.stream.wait_input()
        if request.connection.reader_gone():
            pod.gone = True
            self._record_closed(pod, "nobody waits")
            self._changed.notify()

    def _record_closed(self, pod: Pod, why: str) -> None:
        if not pod.answered:
            pod.answered = True
            self._record(self._name, "closed", pod=pod.name, why=why)

    def _process(self, pod: Pod, request: Request, value: dict[str, Any]) -> Answer:
        rule = self._faults.draw(self._hub.now_us(), pod.task_class)
        fault = rule.fault if rule else None
        if fault is Fault.RESET_BEFORE:
            self._close(request, pod, "reset")
        if fault is Fault.SILENT_BEFORE:
            self._wait_for_close(request, pod)
        if fault is Fault.REFUSE:
            return self._answer(pod, ApiError(403, "not here", "Forbidden"))
        verdict = self._decide(pod, value)
        if rule is not None and fault is Fault.DELAY:
            self._hub.sleep(rule.delay_us)
        if verdict is None and fault is Fault.RESET_AFTER:
            self._close(request, pod, "reset")
        if verdict is None and fault is Fault.SILENT_AFTER:
            self._wait_for_close(request, pod)
        if verdict is None and fault in (Fault.HALF, Fault.GARBAGE):
            data = write_response(
                201, [("Content-Type", "application/json")], names.encode(pod.value), True
            )
            request.connection.send(
                data[: len(data) // 2] if fault is Fault.HALF else b"\x00\x01 no answer\r\n\r\n"
            )
            self._close(request, pod, "broken answer")
        return self._answer(pod, verdict)

    def _answer(self, pod: Pod, verdict: ApiError | None) -> Answer:
        answered, pod.answered = pod.answered, True
        if verdict is not None:
            if not answered:
                self._record(
                    self._name, "answer", pod=pod.name, status=verdict.code, reason=verdict.reason
                )
            return error_answer(verdict)
        if not answered:
            self._record(self._name, "answer", pod=pod.name, status=201, reason="")
        return Answer(201, names.encode(pod.value))

    def _close(self, request: Request, pod: Pod, why: str) -> None:
        self._record_closed(pod, why)
        request.connection.stream.abort()
        raise PeerGone(why)

    def _wait_for_close(self, request: Request, pod: Pod) -> None:
        while not pod.gone and not request.connection.reader_gone():
            with self._hub.limit(CLIENT_CHECK_INTERVAL_US):
                self._changed.wait()
        self._close(request, pod, "nobody waits")
