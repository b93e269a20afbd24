"""Handing a new Job over to a placer of another region: exactly once, one hop, within a budget, answered by the first.

The placer that took a Job answers its owner, in its owner's patience, by itself. What it hands over is named by an
ident, and meant for one life of one placer:

- it is sent again, under its ident, to that same life until that answers; who has it answers the same again;
- it goes to another placer only after a refusal, which says that nothing of it was started and never will be;
- a later life of the receiver refuses it as a stranger. Danger: it cannot know what its last life did, so what was once
  sent to that one may run: it goes to nobody else unless a second start does no harm;
- past its time the first placer answers without it, and has it stopped; that too is said until it is heard, or until
  the receiver's session must be over.

No I/O. Times in microseconds, patience as what is left of it: no clock crosses regions.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from wingbarrow.decide.effects import Effect, Notify, Send, SetTimer

MAX_HOPS = 1
RETRY_US = 300_000  # until a letter without an answer is sent again
MAX_OPEN = 2048  # hand-overs under way, at either side
MAX_FINISHED = 8192  # idents remembered after their end, at the receiver
CANCEL_US = 60_000_000  # for so long a stop is said
MAX_MANIFEST_CHARS = 16 * 1024
BUDGET_SHARE = 0.2  # of first tries that may be handed over
BUDGET_BURST = 20.0

TAKEN, REFUSED, PLACED, FAILED, DONE, LOST = "taken", "refused", "placed", "failed", "done", "lost"
RAN = (DONE, LOST)  # it was placed, and has ended well or otherwise
FINAL = (REFUSED, FAILED, *RAN)


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """Run this for me. `life`: of the placer that it is meant for; `hops` it has gone."""

    ident: str
    life: int
    hops: int
    spec: str
    left_us: int  # of its owner's patience, when this was sent
    manifest: str


@dataclass(frozen=True, slots=True)
class ForwardCancel:
    """Nobody wants it any longer; answered by a `HandSays`."""

    ident: str
    life: int


@dataclass(frozen=True, slots=True)
class ForwardStatus:
    """What became of it so far; `stranger`: another life of the receiver speaks, which knows nothing of it."""

    ident: str
    state: str
    where: str = ""  # machine
    words: str = ""
    stranger: bool = False


Message = ForwardRequest | ForwardCancel | ForwardStatus


class ForwardBudget:
    """Hand-overs as a share of first tries, so that regions that are all full do not pass work round in circles."""

    def __init__(self, share: float = BUDGET_SHARE, burst: float = BUDGET_BURST) -> None:
        self._share, self._burst, self._left = share, burst, burst

    def on_first_attempt(self) -> None:
        """A Job came for the first time."""
        self._left = min(self._burst, self._left + self._share)

    def try_take(self) -> bool:
        """Whether one more may be handed over; it counts."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True


@dataclass(frozen=True, slots=True)
class Target:
    """A placer of the chosen region, in the life in which membership knows it."""

    name: str
    life: int


@dataclass(slots=True)
class _Out:
    manifest: str
    spec: str
    harmless: bool  # a second start does no harm
    due_us: int  # its owner's patience, less what the answer needs
    targets: list[Target]  # still to be asked; the first is the one that has been
    state: str = ""  # as told last; "" before any answer
    said_us: int = 0
    doubtful: bool = False  # a life that is over may have started it
    stopping_us: int | None = None  # until when a stop is said


class ForwardSender:
    """The first placer's side. Tells `handed` with ident, state, machine and words, each change once."""

    def __init__(self, me: str, life: int) -> None:
        self._prefix = f"{me}/{life}"
        self._number = 0
        self._open: dict[str, _Out] = {}
        self.counts: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._open)

    def begin(
        self,
        now_us: int,
        manifest: str,
        spec: str,
        harmless: bool,
        due_us: int,
        targets: list[Target],
    ) -> tuple[str, list[Effect]]:
        """Hand one over to the first of some placers that takes it: its ident, "" where none can be asked."""
        if (
            not targets
            or len(self._open) >= MAX_OPEN
            or len(manifest) > MAX_MANIFEST_CHARS
            or now_us >= due_us
        ):
            self.counts["handing:not begun"] += 1
            return "", []
        self._number += 1
        ident = f"{self._prefix}/{self._number}"
        self._open[ident] = _Out(manifest, spec, harmless, due_us, list(targets))
        self.counts["handing:begun"] += 1
        return ident, self._say(now_us, ident)

    def withdraw(self, now_us: int, ident: str) -> list[Effect]:
        """Its owner wants it no longer, or has been answered without it."""
        out = self._open.get(ident)
        if out is None or out.stopping_us is not None:
            return []
        out.stopping_us = now_us + CANCEL_US
        return self._say(now_us, ident)

    def on_message(
        self, now_us: int, ident: str, address: str, message: ForwardStatus
    ) -> list[Effect]:
        """What a receiver says."""
        out = self._open.get(message.ident)
        if out is None or not out.targets or out.targets[0].name != ident:
            return []
        if message.stranger:
            return self._strange(now_us, message.ident, out)
        if out.stopping_us is not None:
            if message.state in FINAL:
                del self._open[message.ident]
            return []
        if message.state == REFUSED and out.state in ("", TAKEN):
            return self._next(now_us, message.ident, out, message.words)
        if (
            message.state == out.state
            or message.state not in (TAKEN, PLACED, FAILED, *RAN)
            or (out.state == PLACED and message.state == TAKEN)
        ):
            return []
        missed = (
            message.state in RAN and out.state != PLACED
        )  # it was placed and has ended; that word was lost
        out.state = message.state
        if message.state in FINAL:
            del self._open[message.ident]
        told = _told(message.ident, message.state, message.where, message.words)
        return [_told(message.ident, PLACED, message.where, ""), told] if missed else [told]

    def on_timer(self, now_us: int, key: str) -> list[Effect]:
        """Say again what is not answered; give up what is past its time."""
        out = self._open.get(key)
        if out is None:
            return []
        if out.stopping_us is not None and now_us >= out.stopping_us:
            del self._open[key]
            self.counts["handing:stops never heard"] += 1
            return []
        if out.stopping_us is None and out.state in ("", TAKEN) and now_us >= out.due_us:
            sent = out.said_us > 0
            told = _told(key, FAILED, "", "not placed in time by the region that it was handed to")
            if not sent:
                del self._open[key]
                return [told]
            out.stopping_us = now_us + CANCEL_US
            return [told, *self._say(now_us, key)]
        return self._say(now_us, key)

    def _say(self, now_us: int, ident: str) -> list[Effect]:
        out = self._open[ident]
        target = out.targets[0]
        out.said_us = now_us
        # What was taken or placed is asked after at a slower pace: each change is told unasked.
        wait = RETRY_US if out.state == "" or out.stopping_us is not None else 8 * RETRY_US
        timer = SetTimer(
            ident,
            min(now_us + wait, out.due_us)
            if now_us < out.due_us and out.state in ("", TAKEN)
            else now_us + wait,
        )
        letter = (
            ForwardCancel(ident, target.life)
            if out.stopping_us is not None
            else ForwardRequest(
                ident, target.life, 1, out.spec, max(0, out.due_us - now_us), out.manifest
            )
        )
        return [Send(target.name, "", letter), timer]

    def _next(self, now_us: int, ident: str, out: _Out, words: str) -> list[Effect]:
        """The first target has nothing of it, and never will: the next one may have it."""
        out.targets.pop(0)
        out.state = ""
        if out.targets and now_us < out.due_us:
            return self._say(now_us, ident)
        del self._open[ident]
        return [_told(ident, FAILED if out.doubtful else REFUSED, "", words)]

    def _strange(self, now_us: int, ident: str, out: _Out) -> list[Effect]:
        if out.stopping_us is not None:
            del self._open[ident]  # the life that had it is over, and its session will be
            return []
        if out.state in ("", TAKEN) and out.harmless:
            self.counts["handing:given anew"] += 1
            out.doubtful = True
            return self._next(now_us, ident, out, "the placer that had it is gone")
        del self._open[ident]
        self.counts["handing:lost with their receiver"] += 1
        if out.state == PLACED:
            return [_told(ident, LOST, "", "the placer that ran it is gone; its session decides")]
        return [
            _told(ident, FAILED, "", "the placer that had it is gone, and it may have been started")
        ]


def _told(ident: str, state: str, where: str, words: str) -> Effect:
    return Notify(
        "handed", {"ident": ident, "state": state, "machine": where, "words": words[:300]}
    )


@dataclass(slots=True)
class _In:
    giver: str
    state: str = TAKEN
    where: str = ""
    words: str = ""
    untold: bool = True


@dataclass(slots=True)
class ForwardReceiver:
    """The receiver's side. Tells `take` (ident, spec, manifest, left_us) once for each ident, and `stop` (ident)."""

    life: int
    _open: dict[str, _In] = field(default_factory=dict)
    _done: dict[str, ForwardStatus] = field(default_factory=dict)
    _floor: dict[str, tuple[int, int]] = field(
        default_factory=dict
    )  # by giver: all up to it is over, and forgotten
    counts: Counter[str] = field(default_factory=Counter)

    def on_message(
        self, now_us: int, ident: str, address: str, message: ForwardRequest | ForwardCancel
    ) -> list[Effect]:
        """A hand-over, or its stop."""
        if message.life != self.life:
            return [Send(ident, address, ForwardStatus(message.ident, REFUSED, stranger=True))]
        done, held = self._done.get(message.ident), self._open.get(message.ident)
        giver, life, number = _parts(message.ident)
        if giver != ident:
            return []  # idents carry their giver's name: nobody else speaks for it
        if done is None and held is None and (life, number) <= self._floor.get(giver, (0, 0)):
            # Danger: its end is forgotten; a letter that was held up would start it once more.
            return [
                Send(
                    ident,
                    address,
                    ForwardStatus(message.ident, FAILED, words="it was over long ago"),
                )
            ]
        if done is not None:
            return [Send(ident, address, done)]
        if isinstance(message, ForwardCancel):
            if held is None:
                # Danger: the hand-over may come after its stop; it is refused then.
                return [
                    Send(
                        ident,
                        address,
                        self._finish(ForwardStatus(message.ident, REFUSED, words="stopped before")),
                    )
                ]
            return [
                Notify("stop", {"ident": message.ident}),
                Send(ident, address, self._says(message.ident, held)),
            ]
        if held is not None:
            return [Send(ident, address, self._says(message.ident, held))]
        why = (
            "too many hops"
            if message.hops > MAX_HOPS
            else "no patience is left"
            if message.left_us <= 0
            else "too many hand-overs are under way"
            if len(self._open) >= MAX_OPEN
            else ""
        )
        if why:
            self.counts["handing:refused, " + why] += 1
            return [
                Send(ident, address, self._finish(ForwardStatus(message.ident, REFUSED, words=why)))
            ]
        self._open[message.ident] = _In(ident)
        return [
            Notify(
                "take",
                {
                    "ident": message.ident,
                    "spec": message.spec,
                    "manifest": message.manifest,
                    "left_us": message.left_us,
                },
            ),
            Send(ident, address, ForwardStatus(message.ident, TAKEN)),
        ]

    def report_status(
        self, now_us: int, ident: str, state: str, machine: str = "", reason: str = ""
    ) -> list[Effect]:
        """What this placer made of one: placed, refused (nothing was started, nor will be), failed, done, lost."""
        held = self._open.get(ident)
        if held is None:
            return []
        if held.state == PLACED and state in (REFUSED, FAILED):
            state = LOST
        held.state, held.where, held.words = state, machine, reason[:300]
        says = self._says(ident, held)
        if state in FINAL:
            del self._open[ident]
            self._finish(says)
        return [Send(held.giver, "", says)]

    def _says(self, ident: str, held: _In) -> ForwardStatus:
        return ForwardStatus(ident, held.state, held.where, held.words)

    def _finish(self, says: ForwardStatus) -> ForwardStatus:
        self._done[says.ident] = says
        while len(self._done) > MAX_FINISHED:
            oldest = next(iter(self._done))
            del self._done[oldest]
            giver, life, number = _parts(oldest)
            self._floor[giver] = max(self._floor.get(giver, (0, 0)), (life, number))
        return says


def _parts(ident: str) -> tuple[str, int, int]:
    """Giver, its life, a number; nobody's where it cannot be read."""
    giver, life, number = (ident.rsplit("/", 2) + ["", ""])[:3]
    return (
        (giver, int(life), int(number)) if life.isdecimal() and number.isdecimal() else ("", 0, 0)
    )
