"""The room of custody: this placer as a holder of leased Jobs, and as a keeper of other regions' records.

What is decided stands in `decide.peers.custody` and `keeping`; this carries it out: letters by the host of what placers
say to each other, tokens as waits that end by themselves, who lives by membership, ends by the voters' log.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from typing import Any

from wingbarrow.config.settings import PlacerSettings
from wingbarrow.decide.peers.custody import Custody
from wingbarrow.decide.peers.effects import Effect, Tell
from wingbarrow.decide.peers.keeping import Keeping, Taking
from wingbarrow.decide.peers.leasing import (
    AskMachine, Ended, Keep, KeepAnswer, Known, MachineSays, Record, Session, Settle, Settled)
from wingbarrow.peers.host import Peering
from wingbarrow.transport import Hub, Signal

NAME = "custody"
KINDS = (Keep, KeepAnswer, Settle, Settled, AskMachine, MachineSays)
LOOK_US = 200_000  # between two looks at who lives
OVERDUE_US = 2_000_000  # after its deadline a token counts as not good, whatever holds its word up
Then = Callable[[str], None]


class CustodyRoom:
    """`kept` words are "" where a record is where it must be, else why it is not."""

    def __init__(self, hub: Hub, settings: PlacerSettings, life: int, peering: Peering) -> None:
        self._hub, self._peering = hub, peering
        self.custody = Custody(settings.name, life, settings.region, settings.seed * 31 + life)
        self.keeping = Keeping(settings.name, life)
        self._then: dict[int, Then] = {}
        self._alive: dict[str, tuple[str, int]] = {}
        self.on_begin: Callable[[Session], None] = lambda session: None  # this placer has a session, and holds nothing
        self.on_over: Callable[[], None] = lambda: None  # all that it held is somebody else's, or nobody's
        self.on_taken: Callable[[str, str], None] = lambda uid, by: None  # a Job is another's by a later word
        self.on_later: Callable[[Record], None] = lambda record: None
        self.on_superseded: Callable[[dict[str, Any]], None] = lambda fields: None
        self.on_takings: Callable[[Ended, list[Taking]], None] = lambda ended, takings: None
        self.on_ended: Callable[[Ended], None] = lambda ended: None
        self.on_letter: Callable[[int, str, Any], list[Effect]] = lambda now_us, ident, message: []
        self.on_key: Callable[[int, str], list[Effect]] = lambda now_us, key: []
        self.on_look: Callable[[int], None] = lambda now_us: None  # with each look at who lives
        peering.host(NAME, self, KINDS)
        peering.lease.leased = lambda: len(self.custody.jobs)
        peering.lease.keeping = self.keeping.kept
        peering.on_session, peering.on_ended = self._session, self._ended

    def run(self) -> None:
        """Follow who lives, until cancelled."""
        while True:
            self.look()
            self._hub.sleep(LOOK_US)

    def look(self) -> None:
        """Take in who lives now."""
        now = self._hub.now_us()
        alive = {each.word.ident: (each.word.region, each.word.life)
                 for each in self._peering.membership.table.living() if each.word.region}
        if alive != self._alive:
            self._alive = alive
            self.give(self.custody.members(now, alive))
        self.on_look(now)

    def living(self, region: str) -> list[str]:
        """Placers of a region that live, as far as is known here."""
        return sorted(name for name, (where, _) in self._alive.items() if where == region)

    # -- what the core asks of its keepers

    def hold(self, record: Record, allowed: Collection[str], copies: int, deadline_us: int, then: Then,
             must: Collection[str] = (), alone: bool = False) -> None:
        """Have a Job's record at its keepers; where it is not, `drop` it."""
        self._ask(self.custody.hold(self._hub.now_us(), record, allowed, copies, deadline_us, must, alone), then)

    def about(self, uid: str, known: Known, deadline_us: int, then: Then) -> None:
        """An attempt is about to be sent."""
        self._ask(self.custody.about(self._hub.now_us(), uid, known, deadline_us), then)

    def placed(self, uid: str, known: Known, deadline_us: int, then: Then) -> None:
        """A task stands on a machine."""
        self._ask(self.custody.placed(self._hub.now_us(), uid, known, deadline_us), then)

    def back(self, uid: str, index: int) -> None:
        """An attempt is proven not to run."""
        if uid in self.custody.jobs:
            self.give(self.custody.back(self._hub.now_us(), uid, index, self._hub.now_us())[1])

    def ended(self, uid: str, index: int) -> None:
        """A task is over."""
        if uid in self.custody.jobs:
            self.give(self.custody.ended(self._hub.now_us(), uid, index, self._hub.now_us())[1])

    def answered(self, uid: str, answer: str) -> None:
        """What the owner was told."""
        if uid in self.custody.jobs:
            self.give(self.custody.answered(self._hub.now_us(), uid, answer, self._hub.now_us())[1])

    def drop(self, uid: str) -> None:
        """A Job needs no keeping any more."""
        self.give(self.custody.drop(self._hub.now_us(), uid))

    def wait(self, ask: Callable[[Then], None], until_us: int) -> str:
        """Ask for something, and wait for its word: for a bounded time, whatever goes wrong."""
        words: list[str] = []
        done = Signal(self._hub)

        def then(why: str) -> None:
            words.append(why)
            done.notify()
        ask(then)
        if not words:
            with self._hub.limit(max(0, until_us - self._hub.now_us()) + OVERDUE_US):
                done.wait()
        return words[0] if words else "no word of custody itself"

    def _ask(self, asked: tuple[int, list[Effect]], then: Then) -> None:
        number, effects = asked
        self._then[number] = then
        self.give(effects)

    # -- what the host of peers calls

    def on_message(self, now_us: int, ident: str, address: str, message: Any) -> list[Effect]:
        """A letter."""
        if isinstance(message, Keep):
            return self._sift(self.keeping.on_keep(now_us, ident, message))
        if isinstance(message, KeepAnswer):
            return self._sift(self.custody.on_message(now_us, ident, message))
        if isinstance(message, Settle):
            return self._sift(self.keeping.settle(ident, message))
        return self.on_letter(now_us, ident, message)

    def on_timer(self, now_us: int, key: str) -> list[Effect]:
        """A timer."""
        if key == "custody":
            return self._sift(self.custody.on_timer(now_us))
        return self.on_key(now_us, key)

    def give(self, effects: Iterable[Effect]) -> None:
        """Carry out what one of the machines here asked for."""
        self._peering.act(NAME, self._sift(effects))

    def _sift(self, effects: Iterable[Effect]) -> list[Effect]:
        """What is left for the host once what concerns this placer's own rooms is done."""
        out: list[Effect] = []
        for each in effects:
            if not isinstance(each, Tell):
                out.append(each)
                continue
            fields = each.fields
            if each.what == "kept":
                then = self._then.pop(fields["token"], None)
                if then is not None:
                    then(str(fields["why"]))
                elif fields["why"]:
                    self._peering.counts["custody:" + fields["why"].partition(" from ")[0][:60]] += 1
            elif each.what == "later":
                self.on_later(fields["record"])
            elif each.what == "superseded":
                self.on_superseded(fields)
            elif each.what == "taken":
                self.on_taken(fields["uid"], fields["by"])
            elif each.what == "session-over":
                self.on_over()
            else:
                out.append(each)
        return out

    # -- sessions

    def _session(self, session: Session, may: bool, epoch: int) -> None:
        if not may or session == self.custody.session:
            return
        self.keeping.own_end(session)
        self.give(self.custody.begin(self._hub.now_us(), session))
        self.on_begin(session)

    def _ended(self, ended: Ended) -> None:
        now = self._hub.now_us()
        self.give(self.custody.buried(now, ended.session, ended.epoch))
        self.on_ended(ended)
        takings = self.keeping.ended(now, ended)
        if takings:
            self.on_takings(ended, takings)
