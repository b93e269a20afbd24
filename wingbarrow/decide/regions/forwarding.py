"""Forwarding a new Job to a placer of another region: started at most once, one hop, within a budget. No I/O.

The placer that accepted a Job responds to its owner itself, before the owner's deadline. A forwarded Job has an ident
and is addressed to one incarnation of one placer:

- The request is sent again, with the same ident, to that incarnation until it responds. A duplicate starts nothing: the
  receiver responds with the state that the Job has there.
- The Job is sent to another placer only after a rejection, which states that no task of it was or will be started.
- A later incarnation of the receiver responds with `stranger` set. Danger: it cannot know what the earlier incarnation
  did, so the Job may run. It is sent to another placer only where a second start does no harm.
- After the deadline the sender responds to the owner without the receiver, and cancels the Job. The cancel is sent
  again until it is confirmed, or until the receiver's session must have ended.

Times in microseconds. Messages have the time left until a deadline, not its timestamp: regions share no clock.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from wingbarrow.decide.effects import Effect, Notify, Send, SetTimer

MAX_HOPS = 1
RETRY_US = 300_000  # interval at which an unanswered message is sent again
POLL_US = 8 * RETRY_US  # interval of status polls for an accepted Job, besides pushed changes
MAX_OPEN = 2048  # forwarded Jobs in progress, at each of sender and receiver
MAX_FINISHED = 8192  # finished Jobs whose final status the receiver keeps
CANCEL_US = 60_000_000  # for how long an unconfirmed cancel is sent again
MAX_MANIFEST_CHARS = 16 * 1024
MAX_REASON_CHARS = 300
BUDGET_SHARE = 0.2  # forwarded Jobs per first attempt
BUDGET_BURST = 20.0  # forwarded Jobs

# States of a forwarded Job; the values are sent.
ACCEPTED = "taken"
REJECTED = "refused"
PLACED = "placed"
FAILED = "failed"
DONE = "done"
LOST = "lost"
RAN = (DONE, LOST)  # final states of a Job that was placed
FINAL = (REJECTED, FAILED, *RAN)
UNPLACED = ("", ACCEPTED)  # before a placement, as the sender knows it; "" before any response


# -- messages; field names are wire names


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """Request to run a Job.

    life: incarnation of the placer that it is addressed to.
    hops: how often the Job was forwarded.
    left_us: time until the owner's deadline when this was sent.
    """

    ident: str
    life: int
    hops: int
    spec: str
    left_us: int
    manifest: str


@dataclass(frozen=True, slots=True)
class ForwardCancel:
    """Cancel a forwarded Job; the response is a `ForwardStatus`."""

    ident: str
    life: int


@dataclass(frozen=True, slots=True)
class ForwardStatus:
    """The state of a forwarded Job.

    where: machine. words: reason, or the last outcome.
    stranger: sent by another incarnation than the addressed one, which has no state of the Job.
    """

    ident: str
    state: str
    where: str = ""
    words: str = ""
    stranger: bool = False


Message = ForwardRequest | ForwardCancel | ForwardStatus


# -- sender


class ForwardBudget:
    """Token bucket: limits forwarding to a share of first attempts, so that full regions do not forward in cycles."""

    def __init__(self, share: float = BUDGET_SHARE, burst: float = BUDGET_BURST) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst

    def on_first_attempt(self) -> None:
        """Add tokens for a Job that arrived for the first time."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def try_acquire(self) -> bool:
        """Take one token; return whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@dataclass(frozen=True, slots=True)
class ForwardTarget:
    """A placer of the chosen region, with the incarnation that membership reports."""

    name: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class ForwardedJob:
    """A Job to be forwarded.

    is_idempotent: a second start does no harm.
    deadline_us: when the sender responds to the owner without the receiver: the owner's deadline less a margin for it.
    """

    manifest: str
    spec: str
    is_idempotent: bool
    deadline_us: int


@dataclass(slots=True)
class _SentJob:
    """A Job in progress at its sender.

    targets: the placer that the request was sent to, then those to try after it.
    state: as last received, "" before any response.
    may_run: an earlier incarnation of a receiver may have started it.
    cancel_until_us: until when the cancel is sent again; None if the Job is not cancelled.
    """

    job: ForwardedJob
    targets: list[ForwardTarget]
    state: str = ""
    sent_us: int = 0
    may_run: bool = False
    cancel_until_us: int | None = None


class ForwardSender:
    """The sender's side. Notifies `handed` (ident, state, machine, words) once for each change of state."""

    def __init__(self, me: str, incarnation: int) -> None:
        self._prefix = f"{me}/{incarnation}"
        self._last_number = 0
        self._open: dict[str, _SentJob] = {}
        self.counts: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._open)

    def begin(
        self, now_us: int, job: ForwardedJob, targets: list[ForwardTarget]
    ) -> tuple[str, list[Effect]]:
        """Forward a Job to the targets, in order, until one accepts it.

        Returns its ident and effects; the ident is "" if the Job cannot be forwarded (no target, too many in progress,
        manifest too large, or past its deadline).
        """
        if (
            not targets
            or len(self._open) >= MAX_OPEN
            or len(job.manifest) > MAX_MANIFEST_CHARS
            or now_us >= job.deadline_us
        ):
            self.counts["handing:not begun"] += 1
            return "", []
        self._last_number += 1
        ident = f"{self._prefix}/{self._last_number}"
        self._open[ident] = _SentJob(job, list(targets))
        self.counts["handing:begun"] += 1
        return ident, self._send(now_us, ident)

    def cancel(self, now_us: int, ident: str) -> list[Effect]:
        """Cancel a Job that its owner withdrew, or whose owner was sent a response without the receiver."""
        sent = self._open.get(ident)
        if sent is None or sent.cancel_until_us is not None:
            return []
        sent.cancel_until_us = now_us + CANCEL_US
        return self._send(now_us, ident)

    def on_message(
        self, now_us: int, ident: str, address: str, message: ForwardStatus
    ) -> list[Effect]:
        """Handle a status from a receiver; one from any other placer than the current target is ignored."""
        sent = self._open.get(message.ident)
        if sent is None or not sent.targets or sent.targets[0].name != ident:
            return []
        if message.stranger:
            return self._on_receiver_restarted(now_us, message.ident, sent)
        if sent.cancel_until_us is not None:
            if message.state in FINAL:
                del self._open[message.ident]
            return []
        if message.state == REJECTED and sent.state in UNPLACED:
            return self._try_next(now_us, message.ident, sent, message.words)
        return self._on_state(sent, message)

    def _on_state(self, sent: _SentJob, message: ForwardStatus) -> list[Effect]:
        """Notify a changed state; if the `placed` status before it was lost, notify that first."""
        late = sent.state == PLACED and message.state == ACCEPTED
        known = message.state in (ACCEPTED, PLACED, FAILED, *RAN)
        if message.state == sent.state or late or not known:
            return []
        effects: list[Effect] = []
        if message.state in RAN and sent.state != PLACED:
            effects.append(_notify_state(message.ident, PLACED, message.where))
        sent.state = message.state
        if message.state in FINAL:
            del self._open[message.ident]
        effects.append(_notify_state(message.ident, message.state, message.where, message.words))
        return effects

    def on_timer(self, now_us: int, key: str) -> list[Effect]:
        """Send the request or cancel again; fail a Job that is past its deadline and not placed."""
        sent = self._open.get(key)
        if sent is None:
            return []
        if sent.cancel_until_us is not None and now_us >= sent.cancel_until_us:
            del self._open[key]
            self.counts["handing:stops never heard"] += 1
            return []
        is_overdue = sent.state in UNPLACED and now_us >= sent.job.deadline_us
        if sent.cancel_until_us is None and is_overdue:
            return self._give_up(now_us, key, sent)
        return self._send(now_us, key)

    def _give_up(self, now_us: int, ident: str, sent: _SentJob) -> list[Effect]:
        reason = "not placed in time by the region that it was handed to"
        failed = _notify_state(ident, FAILED, reason=reason)
        if not sent.sent_us:
            del self._open[ident]
            return [failed]
        sent.cancel_until_us = now_us + CANCEL_US
        return [failed, *self._send(now_us, ident)]

    def _send(self, now_us: int, ident: str) -> list[Effect]:
        """Send the request, or its cancel, to the current target, and set the timer for the next attempt."""
        sent = self._open[ident]
        job, target = sent.job, sent.targets[0]
        sent.sent_us = now_us
        is_cancelled = sent.cancel_until_us is not None
        next_us = now_us + (RETRY_US if sent.state == "" or is_cancelled else POLL_US)
        if now_us < job.deadline_us and sent.state in UNPLACED:
            next_us = min(next_us, job.deadline_us)
        message: Message
        if is_cancelled:
            message = ForwardCancel(ident, target.incarnation)
        else:
            left_us = max(0, job.deadline_us - now_us)
            message = ForwardRequest(ident, target.incarnation, 1, job.spec, left_us, job.manifest)
        return [Send(target.name, "", message), SetTimer(ident, next_us)]

    def _try_next(self, now_us: int, ident: str, sent: _SentJob, reason: str) -> list[Effect]:
        """Send the request to the next target: the current one has not started the Job, and never will."""
        sent.targets.pop(0)
        sent.state = ""
        if sent.targets and now_us < sent.job.deadline_us:
            return self._send(now_us, ident)
        del self._open[ident]
        return [_notify_state(ident, FAILED if sent.may_run else REJECTED, reason=reason)]

    def _on_receiver_restarted(self, now_us: int, ident: str, sent: _SentJob) -> list[Effect]:
        """Handle a status of another incarnation: the one that had the Job has ended."""
        if sent.cancel_until_us is not None:
            del self._open[ident]  # its session has ended, or will
            return []
        if sent.state in UNPLACED and sent.job.is_idempotent:
            self.counts["handing:given anew"] += 1
            sent.may_run = True
            return self._try_next(now_us, ident, sent, "the placer that had it is gone")
        del self._open[ident]
        self.counts["handing:lost with their receiver"] += 1
        if sent.state == PLACED:
            reason = "the placer that ran it is gone; its session decides"
            return [_notify_state(ident, LOST, reason=reason)]
        reason = "the placer that had it is gone, and it may have been started"
        return [_notify_state(ident, FAILED, reason=reason)]


def _notify_state(ident: str, state: str, machine: str = "", reason: str = "") -> Effect:
    fields = {
        "ident": ident,
        "state": state,
        "machine": machine,
        "words": reason[:MAX_REASON_CHARS],
    }
    return Notify("handed", fields)


# -- receiver


@dataclass(slots=True)
class _ReceivedJob:
    """A Job in progress at its receiver."""

    sender: str
    state: str = ACCEPTED
    machine: str = ""
    reason: str = ""


@dataclass(frozen=True, slots=True)
class _JobIdent:
    """The parts of an ident, `SENDER/INCARNATION/NUMBER`; an invalid ident has the sender ""."""

    sender: str
    position: tuple[int, int]

    @classmethod
    def parse(cls, text: str) -> _JobIdent:
        sender, incarnation, number = [*text.rsplit("/", 2), "", ""][:3]
        if not (incarnation.isdecimal() and number.isdecimal()):
            return cls("", (0, 0))
        return cls(sender, (int(incarnation), int(number)))


@dataclass(slots=True)
class ForwardReceiver:
    """The receiver's side.

    Notifies `take` (ident, spec, manifest, left_us) once for each accepted Job, and `stop` (ident) for each cancel of a
    Job in progress.
    """

    incarnation: int
    counts: Counter[str] = field(default_factory=Counter)
    _open: dict[str, _ReceivedJob] = field(default_factory=dict)
    _finished: dict[str, ForwardStatus] = field(default_factory=dict)
    # By sender, the highest (incarnation, number) whose status was dropped from `_finished`.
    _dropped_up_to: dict[str, tuple[int, int]] = field(default_factory=dict)

    def on_message(
        self, now_us: int, ident: str, address: str, message: ForwardRequest | ForwardCancel
    ) -> list[Effect]:
        """Handle a request or a cancel from a sender."""
        if message.life != self.incarnation:
            return [Send(ident, address, ForwardStatus(message.ident, REJECTED, stranger=True))]
        if _JobIdent.parse(message.ident).sender != ident:
            return []  # an ident starts with its sender's name: only that placer may use it
        status = self._known_status(message)
        if status is not None:
            return [Send(ident, address, status)]
        if isinstance(message, ForwardCancel):
            return self._cancel(ident, address, message)
        return self._accept(ident, address, message)

    def _known_status(self, message: ForwardRequest | ForwardCancel) -> ForwardStatus | None:
        """Return the status of a Job for which the message is a duplicate, or came after its end; else None."""
        finished = self._finished.get(message.ident)
        if finished is not None:
            return finished
        received = self._open.get(message.ident)
        if received is not None:
            if isinstance(message, ForwardCancel):
                return None
            return self._status(message.ident, received)
        parsed = _JobIdent.parse(message.ident)
        if parsed.position <= self._dropped_up_to.get(parsed.sender, (0, 0)):
            # Danger: its final status was dropped; accepting a delayed request would start the Job a second time.
            return ForwardStatus(message.ident, FAILED, words="it was over long ago")
        return None

    def _cancel(self, ident: str, address: str, message: ForwardCancel) -> list[Effect]:
        received = self._open.get(message.ident)
        if received is None:
            # Danger: the request may arrive after its cancel; the stored status rejects it then.
            status = ForwardStatus(message.ident, REJECTED, words="stopped before")
            return [Send(ident, address, self._finish(status))]
        stop = Notify("stop", {"ident": message.ident})
        return [stop, Send(ident, address, self._status(message.ident, received))]

    def _accept(self, ident: str, address: str, message: ForwardRequest) -> list[Effect]:
        reason = self._rejection(message)
        if reason:
            self.counts["handing:refused, " + reason] += 1
            status = ForwardStatus(message.ident, REJECTED, words=reason)
            return [Send(ident, address, self._finish(status))]
        self._open[message.ident] = _ReceivedJob(ident)
        fields = {
            "ident": message.ident,
            "spec": message.spec,
            "manifest": message.manifest,
            "left_us": message.left_us,
        }
        return [
            Notify("take", fields),
            Send(ident, address, ForwardStatus(message.ident, ACCEPTED)),
        ]

    def _rejection(self, message: ForwardRequest) -> str:
        """Return why a request is rejected, "" if it is accepted."""
        if message.hops > MAX_HOPS:
            return "too many hops"
        if message.left_us <= 0:
            return "no patience is left"
        if len(self._open) >= MAX_OPEN:
            return "too many hand-overs are under way"
        return ""

    def report_status(
        self, now_us: int, ident: str, state: str, machine: str = "", reason: str = ""
    ) -> list[Effect]:
        """Send a Job's new state to its sender; its final state is kept for later duplicates.

        state: PLACED, REJECTED (no task was or will be started), FAILED, DONE or LOST. REJECTED or FAILED after PLACED
            counts as LOST.
        """
        received = self._open.get(ident)
        if received is None:
            return []
        if received.state == PLACED and state in (REJECTED, FAILED):
            state = LOST
        received.state = state
        received.machine = machine
        received.reason = reason[:MAX_REASON_CHARS]
        status = self._status(ident, received)
        if state in FINAL:
            del self._open[ident]
            self._finish(status)
        return [Send(received.sender, "", status)]

    def _status(self, ident: str, received: _ReceivedJob) -> ForwardStatus:
        return ForwardStatus(ident, received.state, received.machine, received.reason)

    def _finish(self, status: ForwardStatus) -> ForwardStatus:
        self._finished[status.ident] = status
        while len(self._finished) > MAX_FINISHED:
            oldest = next(iter(self._finished))
            del self._finished[oldest]
            parsed = _JobIdent.parse(oldest)
            floor = self._dropped_up_to.get(parsed.sender, (0, 0))
            self._dropped_up_to[parsed.sender] = max(floor, parsed.position)
        return status
