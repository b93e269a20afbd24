"""Forwarding a new Job to a placer of another region: started at most once, one hop, within a budget. No I/O.

The placer that accepted a Job answers its owner by itself, within the owner's patience. What it forwards has an ident
and is addressed to one incarnation of one placer:

- It is sent again, under its ident, to that incarnation until that answers, which it does each time in the same way.
- It is sent to another placer only after a rejection, which states that nothing of it was started or will be.
- A later incarnation of the receiver answers as a `stranger`. Danger: it cannot know what the earlier one did, so the
  Job may run. It is sent to another placer only where a second start does no harm.
- Past its time the sender answers without the receiver, and cancels the Job. The cancel is repeated until it is
  confirmed, or until the receiver's session must have ended.

Times in microseconds. Patience is sent as what is left of it: no clock crosses regions.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from wingbarrow.decide.effects import Effect, Notify, Send, SetTimer

MAX_HOPS = 1
RETRY_US = 300_000  # until a message without an answer is sent again
POLL_US = 8 * RETRY_US  # until an accepted Job is asked for again: changes are sent unasked
MAX_OPEN = 2048  # forwarded Jobs under way, at either side
MAX_FINISHED = 8192  # idents that the receiver remembers after their end
CANCEL_US = 60_000_000  # for how long a cancel is repeated
MAX_MANIFEST_CHARS = 16 * 1024
MAX_REASON_CHARS = 300
BUDGET_SHARE = 0.2  # of first attempts
BUDGET_BURST = 20.0

# States of a forwarded Job, as they are sent.
ACCEPTED = "taken"
REJECTED = "refused"
PLACED = "placed"
FAILED = "failed"
DONE = "done"
LOST = "lost"
RAN = (DONE, LOST)  # it was placed, and has ended well or otherwise
FINAL = (REJECTED, FAILED, *RAN)
UNPLACED = ("", ACCEPTED)  # as the sender knows it: not answered, or not placed yet


# -- messages; field names are wire names


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """Run this Job for me.

    life: incarnation of the placer that it is addressed to.
    hops: how often it was forwarded.
    left_us: of its owner's patience, when this was sent.
    """

    ident: str
    life: int
    hops: int
    spec: str
    left_us: int
    manifest: str


@dataclass(frozen=True, slots=True)
class ForwardCancel:
    """Nobody wants the Job any more; answered by a `ForwardStatus`."""

    ident: str
    life: int


@dataclass(frozen=True, slots=True)
class ForwardStatus:
    """The state of a forwarded Job.

    where: machine. words: reason, or last outcome.
    stranger: another incarnation of the receiver answers, which knows nothing of the Job.
    """

    ident: str
    state: str
    where: str = ""
    words: str = ""
    stranger: bool = False


Message = ForwardRequest | ForwardCancel | ForwardStatus


# -- sender


class ForwardBudget:
    """Forwarded Jobs as a share of first attempts, so that full regions do not pass Jobs round in circles."""

    def __init__(self, share: float = BUDGET_SHARE, burst: float = BUDGET_BURST) -> None:
        self._share = share
        self._burst = burst
        self._left = burst

    def on_first_attempt(self) -> None:
        """Count a Job that arrived for the first time."""
        self._left = min(self._burst, self._left + self._share)

    def try_acquire(self) -> bool:
        """Whether one more may be forwarded, which then counts."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True


@dataclass(frozen=True, slots=True)
class ForwardTarget:
    """A placer of the chosen region, in the incarnation that membership knows."""

    name: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class ForwardedJob:
    """What is forwarded.

    is_idempotent: a second start does no harm.
    deadline_us: when the sender answers without it: its owner's patience, less what the answer needs.
    """

    manifest: str
    spec: str
    is_idempotent: bool
    deadline_us: int


@dataclass(slots=True)
class _Sent:
    """A Job under way at its sender.

    targets: still to be asked; the first one has been.
    state: as last received, "" before any answer.
    may_run: an incarnation that is over may have started it.
    cancel_until_us: until when a cancel is repeated; None where it is not cancelled.
    """

    job: ForwardedJob
    targets: list[ForwardTarget]
    state: str = ""
    sent_us: int = 0
    may_run: bool = False
    cancel_until_us: int | None = None


class ForwardSender:
    """The sender's side. Notifies `handed` (ident, state, machine, words), once for each change."""

    def __init__(self, me: str, incarnation: int) -> None:
        self._prefix = f"{me}/{incarnation}"
        self._number = 0
        self._open: dict[str, _Sent] = {}
        self.counts: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._open)

    def begin(
        self, now_us: int, job: ForwardedJob, targets: list[ForwardTarget]
    ) -> tuple[str, list[Effect]]:
        """Forward a Job to the first of some placers that accepts it.

        Returns its ident, "" where none can be asked, and effects.
        """
        if (
            not targets
            or len(self._open) >= MAX_OPEN
            or len(job.manifest) > MAX_MANIFEST_CHARS
            or now_us >= job.deadline_us
        ):
            self.counts["handing:not begun"] += 1
            return "", []
        self._number += 1
        ident = f"{self._prefix}/{self._number}"
        self._open[ident] = _Sent(job, list(targets))
        self.counts["handing:begun"] += 1
        return ident, self._send(now_us, ident)

    def cancel(self, now_us: int, ident: str) -> list[Effect]:
        """Cancel a Job that its owner does not want any more, or that was answered without the receiver."""
        sent = self._open.get(ident)
        if sent is None or sent.cancel_until_us is not None:
            return []
        sent.cancel_until_us = now_us + CANCEL_US
        return self._send(now_us, ident)

    def on_message(
        self, now_us: int, ident: str, address: str, message: ForwardStatus
    ) -> list[Effect]:
        """A receiver reports a state."""
        sent = self._open.get(message.ident)
        if sent is None or not sent.targets or sent.targets[0].name != ident:
            return []
        if message.stranger:
            return self._on_stranger(now_us, message.ident, sent)
        if sent.cancel_until_us is not None:
            if message.state in FINAL:
                del self._open[message.ident]
            return []
        if message.state == REJECTED and sent.state in UNPLACED:
            return self._try_next(now_us, message.ident, sent, message.words)
        return self._on_state(sent, message)

    def _on_state(self, sent: _Sent, message: ForwardStatus) -> list[Effect]:
        """Notify a state that is a new one, with the placement before it where that message was lost."""
        late = sent.state == PLACED and message.state == ACCEPTED
        known = message.state in (ACCEPTED, PLACED, FAILED, *RAN)
        if message.state == sent.state or late or not known:
            return []
        effects: list[Effect] = []
        if message.state in RAN and sent.state != PLACED:
            effects.append(_handed(message.ident, PLACED, message.where))
        sent.state = message.state
        if message.state in FINAL:
            del self._open[message.ident]
        effects.append(_handed(message.ident, message.state, message.where, message.words))
        return effects

    def on_timer(self, now_us: int, key: str) -> list[Effect]:
        """Send again what is not answered; give up what is past its time."""
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

    def _give_up(self, now_us: int, ident: str, sent: _Sent) -> list[Effect]:
        words = "not placed in time by the region that it was handed to"
        failed = _handed(ident, FAILED, words=words)
        if not sent.sent_us:
            del self._open[ident]
            return [failed]
        sent.cancel_until_us = now_us + CANCEL_US
        return [failed, *self._send(now_us, ident)]

    def _send(self, now_us: int, ident: str) -> list[Effect]:
        """Send the request, or its cancel, to the present target, and set the timer for the next time."""
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

    def _try_next(self, now_us: int, ident: str, sent: _Sent, words: str) -> list[Effect]:
        """Ask the next target: the first one has started nothing, and never will."""
        sent.targets.pop(0)
        sent.state = ""
        if sent.targets and now_us < sent.job.deadline_us:
            return self._send(now_us, ident)
        del self._open[ident]
        return [_handed(ident, FAILED if sent.may_run else REJECTED, words=words)]

    def _on_stranger(self, now_us: int, ident: str, sent: _Sent) -> list[Effect]:
        """The incarnation that had the Job is over."""
        if sent.cancel_until_us is not None:
            del self._open[ident]  # so will be its session
            return []
        if sent.state in UNPLACED and sent.job.is_idempotent:
            self.counts["handing:given anew"] += 1
            sent.may_run = True
            return self._try_next(now_us, ident, sent, "the placer that had it is gone")
        del self._open[ident]
        self.counts["handing:lost with their receiver"] += 1
        if sent.state == PLACED:
            words = "the placer that ran it is gone; its session decides"
            return [_handed(ident, LOST, words=words)]
        words = "the placer that had it is gone, and it may have been started"
        return [_handed(ident, FAILED, words=words)]


def _handed(ident: str, state: str, machine: str = "", words: str = "") -> Effect:
    fields = {"ident": ident, "state": state, "machine": machine, "words": words[:MAX_REASON_CHARS]}
    return Notify("handed", fields)


# -- receiver


@dataclass(slots=True)
class _Received:
    """A Job under way at its receiver."""

    sender: str
    state: str = ACCEPTED
    machine: str = ""
    reason: str = ""


@dataclass(frozen=True, slots=True)
class _Ident:
    """The parts of an ident, `SENDER/INCARNATION/NUMBER`; the empty sender's where it cannot be read."""

    sender: str
    position: tuple[int, int]

    @classmethod
    def parse(cls, text: str) -> _Ident:
        sender, life, number = [*text.rsplit("/", 2), "", ""][:3]
        if not (life.isdecimal() and number.isdecimal()):
            return cls("", (0, 0))
        return cls(sender, (int(life), int(number)))


@dataclass(slots=True)
class ForwardReceiver:
    """The receiver's side. Notifies `take` (ident, spec, manifest, left_us) once for each ident, and `stop` (ident)."""

    incarnation: int
    counts: Counter[str] = field(default_factory=Counter)
    _open: dict[str, _Received] = field(default_factory=dict)
    _finished: dict[str, ForwardStatus] = field(default_factory=dict)
    # By sender, up to which position all idents are finished, and not remembered any more.
    _floor: dict[str, tuple[int, int]] = field(default_factory=dict)

    def on_message(
        self, now_us: int, ident: str, address: str, message: ForwardRequest | ForwardCancel
    ) -> list[Effect]:
        """A sender forwards a Job, or cancels it."""
        if message.life != self.incarnation:
            return [Send(ident, address, ForwardStatus(message.ident, REJECTED, stranger=True))]
        if _Ident.parse(message.ident).sender != ident:
            return []  # idents carry their sender's name: nobody else speaks for it
        status = self._known_status(message)
        if status is not None:
            return [Send(ident, address, status)]
        if isinstance(message, ForwardCancel):
            return self._cancel(ident, address, message)
        return self._accept(ident, address, message)

    def _known_status(self, message: ForwardRequest | ForwardCancel) -> ForwardStatus | None:
        """Return the status of a Job for which there is nothing to do; None otherwise."""
        finished = self._finished.get(message.ident)
        if finished is not None:
            return finished
        received = self._open.get(message.ident)
        if received is not None:
            if isinstance(message, ForwardCancel):
                return None
            return self._status(message.ident, received)
        parsed = _Ident.parse(message.ident)
        if parsed.position <= self._floor.get(parsed.sender, (0, 0)):
            # Danger: its end is not remembered; a message that was held up would start it once more.
            return ForwardStatus(message.ident, FAILED, words="it was over long ago")
        return None

    def _cancel(self, ident: str, address: str, message: ForwardCancel) -> list[Effect]:
        received = self._open.get(message.ident)
        if received is None:
            # Danger: the request may arrive after its cancel; it is rejected then.
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
        self._open[message.ident] = _Received(ident)
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
        """Return why a request is rejected; "" where it is not."""
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
        """Report a state: placed, rejected (nothing was started, nor will be), failed, done or lost."""
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

    def _status(self, ident: str, received: _Received) -> ForwardStatus:
        return ForwardStatus(ident, received.state, received.machine, received.reason)

    def _finish(self, status: ForwardStatus) -> ForwardStatus:
        self._finished[status.ident] = status
        while len(self._finished) > MAX_FINISHED:
            oldest = next(iter(self._finished))
            del self._finished[oldest]
            parsed = _Ident.parse(oldest)
            floor = self._floor.get(parsed.sender, (0, 0))
            self._floor[parsed.sender] = max(floor, parsed.position)
        return status
