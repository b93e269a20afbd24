"""Hollow placers that are metered: what each sends, receives, computes and holds, on the virtual clock.

Placers share one process; their state machines are the real ones (`wingbarrow.decide`), and every message is
written and read by the real forms of mail (`wingbarrow.peers.message`), each in a mail of its own. What is not there:
sockets, HTTP heads (some 160 bytes of each request and 70 of each answer), the voters' disk, and what the host packs
into one mail or into the answer of another. So messages are letters, and bytes are those of mails.

On the virtual clock deciding takes no time: times until something is in force are those of waiting alone, and hold
only while nobody needs more than its core. A leader whose processor time nears 1,000,000 us/s is at its end.

Processor time is that of this process while a machine decides, or mail is written or read, in microseconds of each
second of the virtual clock. The garbage collector is off meanwhile: it would look through all placers at once.
"""

from __future__ import annotations

import gc
import sys
import time
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

from wingbarrow.decide.consensus.messages import AppendResponse, VoteResponse
from wingbarrow.decide.coordination.messages import NotLeader
from wingbarrow.decide.effects import Persist, Send
from wingbarrow.decide.membership.messages import Ack, Nack, Sync
from wingbarrow.http.server import ServerLimits
from wingbarrow.lab.fleet.simulation import SECOND, Simulation, StateMachineT
from wingbarrow.peers.message import MessageError, decode_envelope, encode_envelope, encode_message
from wingbarrow.peers.outbox import MAX_ADDRESSES, MAX_MESSAGE_BYTES

CLUSTER = "main"
ANSWERS = (
    Ack,
    Nack,
    AppendResponse,
    VoteResponse,
    NotLeader,
)  # sent at once to whom the mail came from
DECISIONS, LIMITS, WRITTEN, READ = "decisions", "limits", "mail written", "mail read"
STATE_MODULES = ("wingbarrow.", "collections", "random", "enum")  # whose objects count as state
SHARED_TYPES = (type, type(sys), type(lambda: 0), type(print), type(SECOND.to_bytes))


@dataclass(slots=True)
class Account:
    """What one placer did while it was metered."""

    sent: int = 0  # messages
    received: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
    persists: int = 0  # writes to disk that must be there before what follows
    persisted_chars: int = 0
    used_ns: Counter[str] = field(default_factory=Counter)  # processor time by part


class Meter:
    """Accounts by placer; counts only while it is `on`."""

    def __init__(self) -> None:
        self.on = False
        self.accounts: dict[str, Account] = defaultdict(Account)
        self.largest: Counter[type[Any]] = Counter()  # bytes of the largest letter of each type
        self.refused: Counter[str] = (
            Counter()
        )  # letters that the host would drop, or the receiver not read, by why
        self.called: dict[str, dict[str, int]] = defaultdict(
            dict
        )  # by sender whom it mailed; counted always
        self.callers: dict[str, dict[str, int]] = defaultdict(
            dict
        )  # by receiver who mailed it, and when last
        self._inner_ns: list[int] = []

    def timed(self, name: str, part: str, call: Callable[..., Any]) -> Callable[..., Any]:
        """The same call, whose processor time is charged to a part; a timed call within it to its own part alone."""

        def run(*arguments: Any) -> Any:
            if not self.on:
                return call(*arguments)
            self._inner_ns.append(0)
            begun = time.process_time_ns()
            try:
                return call(*arguments)
            finally:
                took = time.process_time_ns() - begun
                inner = self._inner_ns.pop()
                if self._inner_ns:
                    self._inner_ns[-1] += took
                self.accounts[name].used_ns[part] += took - inner

        return run

    def mail(self, sender: str, receiver: str, message: Any) -> None:
        """Write and read a message as its sender and receiver would, and count it for both."""
        out, into = self.accounts[sender], self.accounts[receiver]
        begun = time.process_time_ns()
        letter = encode_message(message)
        mail = encode_envelope(CLUSTER, sender, f"{sender}.example:7400", [letter])
        written = time.process_time_ns()
        try:
            decode_envelope(mail, CLUSTER)
        except MessageError as error:
            self.refused[f"not read: {error}"] += 1
        out.used_ns[WRITTEN] += written - begun
        into.used_ns[READ] += time.process_time_ns() - written
        if len(letter) > MAX_MESSAGE_BYTES:
            self.refused["longer than a mail may be"] += 1
        kind = type(message)
        self.largest[kind] = max(self.largest[kind], len(letter))
        out.sent, out.sent_bytes = out.sent + 1, out.sent_bytes + len(mail)
        into.received, into.received_bytes = into.received + 1, into.received_bytes + len(mail)

    def persist(self, name: str, what: Persist) -> None:
        """Count what a voter must have on disk."""
        if self.on:
            account = self.accounts[name]
            account.persists += 1
            account.persisted_chars += sum(len(each.kind) + len(each.body) for each in what.entries)
            account.persisted_chars += len(what.snapshot.state) if what.snapshot is not None else 0

    def connection(self, now_us: int, sender: str, receiver: str, message: Any) -> None:
        """Remember who calls whom; what answers a mail goes back in its answer."""
        if not isinstance(message, ANSWERS) and not (isinstance(message, Sync) and not message.ask):
            self.called[sender][receiver] = now_us
            self.callers[receiver][sender] = now_us

    def descriptors(self, name: str, now_us: int) -> int:
        """Of one placer's connections to others, as the host would hold them.

        A call's connection stays in its pool until that is used again, however long the other end has closed it; one
        that others opened is closed after a while without a request.
        """
        since = now_us - ServerLimits().idle_us
        return min(MAX_ADDRESSES, len(self.called[name])) + sum(
            at >= since for at in self.callers[name].values()
        )

    @contextmanager
    def metering(self) -> Iterator[None]:
        """Count anew, and only within the block."""
        self.accounts.clear()
        self.largest.clear()
        self.refused.clear()
        gc.collect()
        gc.disable()
        self.on = True
        try:
            yield
        finally:
            self.on = False
            gc.enable()


class Metered(Simulation[StateMachineT]):
    """Comes before a class of placers; `meter` is to be there before their constructor runs."""

    meter: Meter

    def make(self, name: str, now_us: int) -> StateMachineT:
        """The machine of a new life, its calls timed."""
        made = super().make(name, now_us)
        for method in ("on_message", "on_timer", "propose"):
            if hasattr(made, method):
                setattr(made, method, self.meter.timed(name, DECISIONS, getattr(made, method)))
        return made

    def _send(self, name: str, send: Send) -> None:
        receiver = send.ident or send.address.removeprefix("at ")
        self.meter.connection(self.now_us, name, receiver, send.message)
        if self.meter.on:
            self.meter.mail(name, receiver, send.message)
        super()._send(name, send)


def held_bytes(root: object) -> int:
    """What a placer's state takes in memory if nothing of it is shared with other placers: bytes of all objects.

    Functions, classes and modules, and objects of other modules than those of state, are passed over.
    """
    seen: set[int] = set()
    waiting: deque[object] = deque([root])
    total = 0
    while waiting:
        each = waiting.popleft()
        if id(each) in seen or isinstance(each, SHARED_TYPES):
            continue
        seen.add(id(each))
        total += sys.getsizeof(each)
        if isinstance(each, str | bytes | int | float | None):
            continue
        if isinstance(each, dict):
            waiting += [*each.keys(), *each.values()]
        elif isinstance(each, list | tuple | set | frozenset | deque):
            waiting += each
        if type(each).__module__.startswith(STATE_MODULES):
            waiting += gc.get_referents(each)
    return total
