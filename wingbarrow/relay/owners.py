"""The side of owners: listener, connections, what unreadable clients get, and releases until they can be sent."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable

from wingbarrow.core.life import Life
from wingbarrow.decide.crowd import Crowd, Guest
from wingbarrow.relay.message import BadMessage, Cause, Framer, Kind, Message, encode, with_cause
from wingbarrow.relay.tasks import OwnerConnection, Task
from wingbarrow.relay.trace import Trace
from wingbarrow.transport import Listener, Outbox, PeerGone, Stream

MAX_UNSENT_BYTES = 256 * 1024  # bytes that may wait for an owner that reads slowly
SWEEP_US = 250_000
MAX_ACCEPTED = 8  # connections accepted before each of them has had its turn, and is counted
MAX_FOREIGN = 64  # remembered for one connection
BURST = 32  # messages of one connection before others get a turn
HEARD_US = 2_000_000  # a release is sent again where its connection ends so soon without a word that it was heard
PENDING_US, MAX_PENDING = (
    8_500_000,
    8192,
)  # releases that wait for a connection: how long, how many
# Danger: a client that has closed or given up is gone, though its word lies unread here after a stall or behind other
# work. The platform bears sends for it up to 100 ms later; half of that may pass before this side looks once more.
UNREAD_US = 50_000
RETIRE_US = 500_000  # for a client to end its side of a connection that is closed here
CROWDED_TRIES = 8  # connections looked at for one that is empty, where room is wanted


class Owner:
    """One connection from an owner, the front, or anybody."""

    __slots__ = (
        "_waiting",
        "foreign",
        "framer",
        "guest",
        "number",
        "outbox",
        "retired",
        "stream",
        "tasks",
    )

    def __init__(self, stream: Stream, outbox: Outbox, guest: Guest, number: int) -> None:
        self.stream, self.outbox, self.guest, self.number = stream, outbox, guest, number
        self.framer = Framer()
        self.tasks: dict[int, Task] = {}  # open set-ups, by id
        self.foreign: deque[int] = deque(maxlen=MAX_FOREIGN)  # ids it asked for that were another's
        self.retired = (
            False  # closed here; what its client still says is read, and set-ups go elsewhere
        )
        self._waiting: list[Callable[[], None]] = []  # one for each attempt that is put off

    def write(self, data: bytes) -> bool:
        """Send; False where the connection is of no use any more."""
        self.guest.told = True
        return self.stream.open and not self.retired and self.outbox.write(data) == len(data)

    def is_behind(self, now_us: int) -> bool:
        """Whether something that came over UNREAD_US ago may not have been read, the client's end among it."""
        if not self.stream.open:
            return True  # closed here: what was open on it is taken back as soon as its reader runs
        return self.stream.has_unread(now_us, UNREAD_US) or (
            self.framer.ready and now_us - self.stream.silent_us > UNREAD_US
        )

    def when_read(self, call: Callable[[], None]) -> None:
        """Call once what has come is read."""
        self._waiting.append(call)

    def go_on(self, now_us: int) -> None:
        """All that was read has been taken: what waited for that goes on, unless more has come."""
        if self._waiting and not self.is_behind(now_us):
            waiting, self._waiting = self._waiting, []
            for call in waiting:
                call()


class Owners:
    """All connections of owners; `take` gets each message and when it had surely not come yet."""

    def __init__(
        self,
        life: Life,
        crowd: Crowd,
        take: Callable[[Owner, Message, int], None],
        left: Callable[[Owner], None],
        fits: Callable[[], bool],
        trace: Trace,
    ) -> None:
        self._life, self._crowd, self._take, self._left = life, crowd, take, left
        self._trace, self._accepted = trace, 0
        self._fits = fits  # makes room for one that has come; whether there is
        self._owners: OrderedDict[Owner, None] = OrderedDict()  # least lately heard of first
        self._pending: deque[tuple[int, bytes]] = (
            deque()
        )  # releases without a connection, with their end
        self._unheard: OrderedDict[int, tuple[int, Owner, bytes]] = (
            OrderedDict()
        )  # sent, with their end, by id

    def __len__(self) -> int:
        return len(self._owners)

    def serve(self, listener: Listener) -> None:
        """Accept until cancelled."""
        listener.serve(self._serve, MAX_ACCEPTED)

    def _serve(self, stream: Stream) -> None:
        hub = self._life.hub
        self._accepted += 1
        owner = Owner(
            stream, Outbox(hub, stream, MAX_UNSENT_BYTES), Guest(hub.now_us()), self._accepted
        )
        self._owners[owner] = None
        self._make_room()
        try:
            taken = 0
            while True:
                owner.go_on(hub.now_us())
                data = stream.receive()
                if not data:
                    return
                owner.framer.feed(data)
                while stream.open:
                    message = owner.framer.next()
                    if message is None:
                        break
                    now = hub.now_us()
                    owner.guest.heard_us = now
                    self._owners.move_to_end(owner)
                    if message.kind == Kind.RELEASE_HEARD:
                        self._unheard.pop(message.task, None)
                        self._trace(message.task, "release heard", owner=owner.number)
                    self._take(owner, message, min(now, stream.silent_us))
                    taken += 1
                    if taken % BURST == 0:
                        hub.checkpoint()
        except BadMessage as error:
            self._life.counts["owners:unreadable"] += 1
            self._life.log("unreadable-owner", level="warning", why=str(error))
        except PeerGone:
            pass
        finally:
            self._owners.pop(owner, None)
            stream.close()
            self._left(owner)
            self._send_again(owner)

    def close(self, owner: Owner, why: str) -> None:
        """End a connection that cannot go on."""
        self._tell_closed(why)
        owner.stream.close()

    def _tell_closed(self, why: str) -> None:
        self._life.counts["owners:" + why] += 1
        self._life.log("owner-closed", why=why)

    def retire(self, owner: Owner, why: str) -> None:
        """Close an empty connection: its client reads the end; what it says until it has ended its side is read.

        Danger: closed outright, a release that crosses the close is lost and its task stands on; the reset that
        answers it also throws away what is on its way to the client.
        """
        self._tell_closed(why)
        owner.retired = True
        owner.stream.end_writing()
        self._life.hub.call_at(self._life.hub.now_us() + RETIRE_US, owner.stream.close)

    def say_farewell(self) -> None:
        """The placer ends: each connection is closed once what was written on it has left and its client has ended."""
        for owner in list(self._owners):
            if owner.stream.open and not owner.retired and not owner.outbox.waiting:
                self.retire(owner, "farewell")

    def _make_room(self) -> None:
        if len(self._owners) <= self._crowd.most and self._fits():
            return
        guests = {owner.guest: owner for owner in self._owners if owner.stream.open}
        first: Owner | None = None
        for _ in range(CROWDED_TRIES):
            chosen = self._crowd.whom_to_close(
                [(each.guest, len(each.tasks)) for each in guests.values()]
            )
            if chosen is None:
                break
            owner = guests.pop(chosen)
            if owner.stream.is_quiet() and not owner.framer.ready:
                self.close(owner, "crowded")
                return
            first = first or owner
        if (
            first is not None
        ):  # each that was looked at has something unread: its client hears of a reset
            self.close(first, "crowded")

    def sweep(self) -> None:
        """Close those that say nothing; send what is pending where there is a connection. Goes on for ever."""
        hub = self._life.hub
        while True:
            hub.sleep(SWEEP_US)
            now = hub.now_us()
            for owner in list(self._owners):
                if (
                    owner.stream.open
                    and not owner.retired
                    and self._crowd.is_idle(now, owner.guest, len(owner.tasks))
                    and owner.stream.is_quiet()
                    and not owner.framer.ready
                ):
                    self.retire(owner, "idle" if owner.guest.proven else "silent")
            self._send_pending()

    def release(self, ident: int, cause: int) -> None:
        """Tell that a task that stood is over, on any owner's connection, now or as soon as there is one."""
        self._tell_or_defer(with_cause(Kind.RELEASE, ident, cause))

    def _tell_or_defer(self, data: bytes) -> None:
        if not self.tell(data):
            self._defer(data)

    def _send_again(self, gone: Owner) -> None:
        """Releases that crossed the end of their connection go on another; an owner that heard one passes it over."""
        now = self._life.hub.now_us()
        while self._unheard and next(iter(self._unheard.values()))[0] <= now:
            self._unheard.popitem(last=False)
        if gone.guest.proven:
            for ident in [ident for ident, (_, owner, _) in self._unheard.items() if owner is gone]:
                until_us, _, data = self._unheard.pop(ident)
                self._life.counts["releases_again"] += 1
                self._trace(ident, "release again", gone=gone.number)
                if not self.tell(data, until_us):
                    self._defer(data)

    def told_to_move(self, ident: int) -> None:
        """Tell that a task was stopped and is to come again."""
        self._tell_or_defer(encode(Kind.MOVE, ident, {}))

    def _defer(self, data: bytes) -> None:
        if len(self._pending) >= MAX_PENDING:
            _, lost = self._pending.popleft()
            self._trace(int.from_bytes(lost[3:11], "big"), "release dropped")
            self._life.counts["releases_dropped"] += 1
        self._pending.append((self._life.hub.now_us() + PENDING_US, data))
        self._life.counts["releases_waited"] += 1
        self._trace(int.from_bytes(data[3:11], "big"), "release pending")

    def tell(self, data: bytes, until_us: int | None = None) -> bool:
        """Send the end of a task on any connection that has proven to be an owner's; False without one.

        Until then, else for HEARD_US, it goes again where that connection ends before it was heard.
        """
        # Those with an open set-up first: their owner does not close them now. Then the latest heard of.
        known = [
            each
            for each in reversed(self._owners)
            if each.guest.proven and each.stream.open and not each.retired
        ]
        known.sort(key=lambda each: not each.tasks)
        owner = next((each for each in known if each.write(data)), None)
        if owner is None:
            return False
        ident = int.from_bytes(data[3:11], "big")
        self._trace(ident, "release told", owner=owner.number)
        self._unheard[ident] = until_us or self._life.hub.now_us() + HEARD_US, owner, data
        if len(self._unheard) > MAX_PENDING:
            self._unheard.popitem(last=False)
        return True

    def proven(self, owner: OwnerConnection) -> None:
        """A task of this connection was answered: it is a usual owner's."""
        if not owner.guest.proven:
            owner.guest.proven = True
            self._send_pending()

    def _send_pending(self) -> None:
        now = self._life.hub.now_us()
        for _ in range(len(self._pending)):
            until_us, data = self._pending.popleft()
            if now >= until_us:
                self._trace(int.from_bytes(data[3:11], "big"), "release expired")
            elif not self.tell(data):
                self._pending.append((until_us, data))


def refusal(ident: int, cause: int = Cause.BUSY, more: dict[int, bytes] | None = None) -> bytes:
    """The final answer to a set-up that does not stand."""
    return with_cause(Kind.RELEASE, ident, cause, more)
