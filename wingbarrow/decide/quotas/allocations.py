"""Blocks: how much of each limit of the fleet a placer may hold, decided in the voters' log; no I/O.

A holder's *block* has a size, up to which any leader lets it use the limit, and a count, which is what it may still
hold or have in use: the size, or more while it was lowered and that is not done yet. A *debt* is what a former life of
a placer may have left in use. The state is in the log, so that a change of leader loses nothing: whoever is unheard
counts as its block and no more, and whoever comes back has its own block with the first answer. Why the sum of what is
in use never passes the whole, whatever is lost, doubled, late, stopped or killed:

- a leader gives a life of a placer at most the size that is decided for that very life, and answers only after a
  majority has confirmed it since the ask came, with all decided before applied; a purse takes only the answer to its
  latest ask, and none that comes after that ask's own grant would be over;
- all counts and debts together are at most the whole: a size goes up only by what is left of it. A move to another is
  two entries: the one that lowers the size of the one, and, once the lower count is proven, the one that takes the
  count down and raises the other;
- a count goes down by one of two proofs. *By word*: an ask of the same life that names this leader's reign, the term of
  the grant that it took last. It was sent after this leader was elected, so that no earlier leader can answer it or a
  later one any more, and answers to those before it are void; what it states (the larger of share and uses) and what it
  is given is all that its sender holds. *By time*: `drifted(grant)` after this leader's last answer to it, or its
  election, no grant of it lasts, and after the limit's lag on top (`stranded`, or the window) nothing of it stands;
- a new life of the same name proves that the one before has ended. Its count becomes a debt, which goes once the new
  life is as old as the lag, or this leader has known of it for so long. A life that is older by its number, as after a
  wall clock was set back, is taken only once nothing of the one that is known can stand;
- each entry names the serial of the state that it was worked out on, and changes nothing on another: one proposed by a
  leader that was deposed is either the next or void;
- where voters were lost and one went on alone, moves may be lost with them: all blocks are in doubt, nobody gets
  anything until every grant and lag is over, then all begins anew.

A limit that is lowered, or that appears over what stands: what is in use beyond the whole is taken off all sizes, so
that nobody spends until enough has ended. One that the rules lack keeps its blocks until nothing of it can be in use.
Rates are told by use within their window, by the holder's clock and 0.2% longer; the same proofs hold for them.
Times in microseconds, by this voter's clock.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any

from wingbarrow.decide.coordination.leases import lease_expiry_us
from wingbarrow.decide.coordination.subsystem import Proposal
from wingbarrow.decide.quotas.escrow import STEADY, QuotaGrant, QuotaReport, Requester, fair
from wingbarrow.decide.quotas.limits import HOUR_US, FleetLimit, drifted_us
from wingbarrow.decide.rulesets.ruleset import RuleSet

MOVE_US = 100_000  # between entries: at most ten a second, each for all limits and holders
PARTS_MOST = 8192  # blocks in all, so that a snapshot fits into a mail: about 50 bytes each
DEBTS_MOST = 1024  # of one limit; over it the new life waits until one has gone


@dataclass(slots=True)
class Allocation:
    """One limit's, replicated: by holder its size and its count (never less); debts as (holder, former life, count)."""

    parts: dict[str, tuple[int, int]] = field(default_factory=dict)
    debts: list[tuple[str, int, int]] = field(default_factory=list)

    @property
    def total(self) -> int:
        """All that may be in use."""
        return sum(count for _, count in self.parts.values()) + sum(
            count for _, _, count in self.debts
        )


@dataclass(slots=True)
class _Heard:
    """A placer's latest ask, of the life that counts."""

    life: int
    number: int
    up_us: int
    at_us: int
    until_us: int  # when the latest grant to it has lapsed, at the latest
    proves: bool  # it names this leader's reign


@dataclass(slots=True)
class _Said:
    """What it stated of one limit and was given in the answer."""

    stated: int
    uses: int
    wants: int
    given: int = 0

    @property
    def held(self) -> int:
        """What it may use or have in use since."""
        return max(self.stated, self.given)


class AllocationLedger:
    """The chapter `blocks`: replicated state, and the leader's account of who holds what."""

    name = "blocks"

    def __init__(self, grant_us: int) -> None:
        self._grant_us = grant_us
        self.serial, self.doubt = 0, False
        self.lives: dict[str, int] = {}
        self.blocks: dict[str, Allocation] = {}
        self.on_leadership_change(0, False)

    # -- replicated

    def apply(self, kind: str, value: dict[str, Any]) -> None:
        """`move`: the state that it brings about, in place of the one that it names."""
        if kind != "move":
            raise ValueError(f"no such entry: {kind}")
        if value["base"] != self.serial:
            return
        lives = {str(name): int(life) for name, life in value["lives"].items()}
        blocks = {} if value["fresh"] else dict(self.blocks)
        for key, (parts, debts) in value["set"].items():
            made = Allocation(
                {str(name): (int(size), int(count)) for name, (size, count) in parts.items()},
                [(str(name), int(life), int(count)) for name, life, count in debts],
            )
            if any(not 0 <= size <= count for size, count in made.parts.values()):
                raise ValueError("a block that cannot be")
            blocks[str(key)] = made
        gone = [str(key) for key in value["drop"]]
        self.serial += 1
        self.lives, self.doubt = lives, self.doubt and not value["fresh"]
        self.blocks = {key: each for key, each in blocks.items() if key not in gone}

    def recovered(self) -> None:
        """One voter went on alone: entries may be lost."""
        self.serial, self.doubt = self.serial + 1_000_000, True

    def snapshot(self) -> str:
        """All of the replicated state."""
        return json.dumps(
            {
                "serial": self.serial,
                "doubt": self.doubt,
                "lives": self.lives,
                "blocks": {key: [each.parts, each.debts] for key, each in self.blocks.items()},
            },
            sort_keys=True,
            separators=(",", ":"),
        )

    def restore(self, text: str) -> None:
        """What `text` gave."""
        value = (
            json.loads(text) if text else {"serial": 0, "doubt": False, "lives": {}, "blocks": {}}
        )
        self.serial, self.doubt, self.lives = (
            int(value["serial"]),
            bool(value["doubt"]),
            dict(value["lives"]),
        )
        self.blocks = {
            key: Allocation(
                {name: (size, count) for name, (size, count) in parts.items()},
                [(name, life, count) for name, life, count in debts],
            )
            for key, (parts, debts) in value["blocks"].items()
        }

    # -- the leader's

    def on_leadership_change(self, now_us: int, on: bool, reign: int = 0) -> None:
        """`reign`: its term, which no other leader has."""
        self.reign, self._began_us, self._moved_us = reign if on else 0, now_us, now_us - MOVE_US
        self._heard: dict[str, _Heard] = {}
        self._said: dict[str, dict[str, _Said]] = {}
        self._debts_us: dict[
            tuple[str, str, int], int
        ] = {}  # key, holder and life of a debt: known since when
        self._ended_us: dict[
            tuple[str, int], int
        ] = {}  # holder and former life: when it, or its grant, was over
        self._lacking_us: dict[str, int] = {}  # limits that the rules lack: since when
        self.refused = 0  # blocks that there was no place for

    def on_report(self, now_us: int, asker: Requester, said: Any) -> None:
        """Nothing: `answers` hears all that ask together."""

    def response_for(self, now_us: int, asker: Requester) -> Any:
        """Nothing: rights ride in a grant's own field."""

    def answers(
        self,
        now_us: int,
        asks: Sequence[tuple[Requester, Iterable[QuotaReport]]],
        limits: Iterable[FleetLimit],
    ) -> list[tuple[QuotaGrant, ...]]:
        """What each asker may use from now on; asks that a majority has confirmed since they came."""
        limits, out = tuple(limits), [list[QuotaGrant]() for _ in asks]
        lag = max((each.lag_us for each in limits), default=0)
        for key in self._said.keys() - {each.key for each in limits}:
            del self._said[key]
        counts = [self._hear(now_us, asker, lag) for asker, _ in asks]
        said = [{each.key: each for each in stated} for _, stated in asks]
        for limit in limits:
            sayings = self._said.setdefault(limit.key, {})
            block = self.blocks.get(limit.key, Allocation())
            for index, (asker, _) in enumerate(asks):
                if counts[index] and (asker.ident in limit.among or asker.ident in block.parts):
                    mine = said[index].get(limit.key, QuotaReport(limit.key, 0, 0, 0))
                    sayings[asker.ident] = _Said(
                        max(0, mine.share, mine.uses),
                        max(0, mine.uses),
                        min(max(0, mine.wants), limit.most),
                    )
            for index, share in self._shares(now_us, asks, counts, limit, block):
                out[index].append(QuotaGrant(limit.key, share))
        return [tuple(each) for each in out]

    def _hear(self, now_us: int, asker: Requester, lag_us: int) -> bool:
        """Whether what an ask states counts: it is no late or doubled one."""
        until = lease_expiry_us(now_us, self._grant_us)
        held = self._heard.get(asker.ident)
        known = max(
            self.lives.get(asker.ident, asker.life), held.life if held is not None else asker.life
        )
        if asker.life < known and now_us < self._lapses_us(asker.ident) + lag_us:
            return False  # of a former life, or of one after a wall clock was set back: that waits
        if held is not None and held.life == asker.life:
            held.until_us = until  # Danger: a grant rides on the answer to a doubled ask too
            if asker.number <= held.number:
                return False
        if held is not None and held.life != asker.life:
            self._ended_us[asker.ident, held.life] = min(now_us, held.until_us)
        if held is None or held.life != asker.life:
            for each in self._said.values():
                each.pop(asker.ident, None)
        self._heard[asker.ident] = _Heard(
            asker.life, asker.number, asker.up_us, now_us, until, asker.reign == self.reign
        )
        return True

    def _shares(
        self,
        now_us: int,
        asks: Sequence[tuple[Requester, Any]],
        counts: list[bool],
        limit: FleetLimit,
        block: Allocation,
    ) -> Iterator[tuple[int, int]]:
        sayings = self._said[limit.key]
        beyond = sum(
            max(0, said.uses - block.parts.get(name, (0, 0))[1]) for name, said in sayings.items()
        )
        # What stands beyond the whole, under a limit that was lowered or is new: all are held to the plan at once.
        plan = (
            self._plan(now_us, limit, block, self._reborn())[0]
            if block.total + beyond > limit.most
            else None
        )
        for index, (asker, _) in enumerate(asks):
            said = sayings.get(asker.ident)
            if not counts[index] or said is None:
                continue
            size = block.parts.get(asker.ident, (0, 0))[0]
            if self.lives.get(asker.ident) != asker.life or self.doubt:
                size = 0  # Danger: the size is a former life's, or moves were lost
            said.given = min(size, limit.most if plan is None else plan.get(asker.ident, (0, 0))[0])
            yield index, said.given

    # -- moves

    def next_proposals(self, now_us: int, rules: RuleSet) -> tuple[list[Proposal], int | None]:
        """One entry for all that is to be moved."""
        if now_us < self._moved_us + MOVE_US:
            return [], self._moved_us + MOVE_US
        if self.doubt:
            at = self._lapses_us("") + max(
                [
                    drifted_us(HOUR_US) if not rules.limits else 0,
                    *(each.lag_us for each in rules.limits),
                ]
            )
            if now_us < at:
                return [], at
            return [self._proposal(now_us, {}, {}, [], True)], now_us + MOVE_US
        changed: dict[str, Any] = {}
        names = {name for limit in rules.limits for name in limit.among}
        names |= {
            name
            for block in self.blocks.values()
            for name in (*block.parts, *(each[0] for each in block.debts))
        }
        lives = {name: life for name, life in self.lives.items() if name in names}
        reborn = {name: life for name, life in self._reborn().items() if name in names}
        left = PARTS_MOST - sum(len(each.parts) for each in self.blocks.values())
        for limit in rules.limits:
            block = self.blocks.get(limit.key, Allocation())
            parts, debts = self._plan(now_us, limit, block, reborn)
            new = [name for name in parts if name not in block.parts]
            for name in new[max(0, left) :]:
                del parts[name]
                self.refused += 1
            left -= min(max(0, left), len(new))
            if (parts, debts) != (block.parts, block.debts):
                changed[limit.key] = [parts, debts]
        drop = self._lacking(now_us, rules, reborn, changed)
        lives |= reborn
        if not changed and not drop and lives == self.lives:
            return [], None
        return [self._proposal(now_us, lives, changed, drop, False)], now_us + MOVE_US

    def _reborn(self) -> dict[str, int]:
        """Lives that are heard, and not the decided ones."""
        return {
            name: each.life
            for name, each in self._heard.items()
            if each.life != self.lives.get(name)
        }

    def _proposal(
        self,
        now_us: int,
        lives: dict[str, int],
        changed: dict[str, Any],
        drop: list[str],
        fresh: bool,
    ) -> Proposal:
        self._moved_us = now_us
        return Proposal(
            "move",
            {"base": self.serial, "lives": lives, "set": changed, "drop": drop, "fresh": fresh},
        )

    def _lacking(
        self, now_us: int, rules: RuleSet, reborn: dict[str, int], changed: dict[str, Any]
    ) -> list[str]:
        """Limits that the rules lack: forgotten once nothing of them can be in use, whatever their lag was."""
        here = {each.key for each in rules.limits}
        self._lacking_us = {
            key: self._lacking_us.get(key, now_us) for key in self.blocks if key not in here
        }
        drop = [
            key
            for key, at in self._lacking_us.items()
            if now_us >= lease_expiry_us(at, self._grant_us) + drifted_us(HOUR_US)
        ]
        for key in self._lacking_us.keys() - set(drop):
            block = self.blocks[key]
            gone = [name for name in reborn if name in block.parts]
            if gone:
                changed[key] = [
                    {name: each for name, each in block.parts.items() if name not in gone},
                    [
                        *block.debts,
                        *((name, self.lives.get(name, 0), block.parts[name][1]) for name in gone),
                    ][-DEBTS_MOST:],
                ]
        return drop

    def _lapses_us(self, name: str) -> int:
        """When no grant that this or an earlier leader gave to the life that is known can last."""
        held = self._heard.get(name)
        known = held is not None and held.life == self.lives.get(name)
        return (
            held.until_us
            if held is not None and known
            else lease_expiry_us(self._began_us, self._grant_us)
        )

    def _plan(
        self, now_us: int, limit: FleetLimit, block: Allocation, reborn: dict[str, int]
    ) -> tuple[dict[str, tuple[int, int]], list[tuple[str, int, int]]]:
        """Blocks and debts as they are to be next."""
        debts = [each for each in block.debts if not self._settled(now_us, limit, each)]
        sayings = self._said.get(limit.key, {})
        held: dict[str, tuple[int, int]] = {}  # size, and the count as far as it is proven
        live: dict[str, _Said] = {}
        for name in sorted({*limit.among, *block.parts}):
            size, count = block.parts.get(name, (0, 0))
            said, heard = sayings.get(name), self._heard.get(name)
            if name in reborn and name in block.parts:
                if len(debts) >= DEBTS_MOST:
                    continue
                debts.append((name, self.lives.get(name, 0), count))
                size = count = 0
            if said is not None and heard is not None:
                if heard.proves:
                    count = max(size, said.held)
                if now_us < heard.until_us:
                    live[name] = said
                    count = max(count, said.uses)
            if (
                name not in live
                and name not in reborn
                and now_us >= self._lapses_us(name) + limit.lag_us
            ):
                size = count = 0
            held[name] = size, count
        targets = self._targets(limit, sum(each[2] for each in debts), held, live)
        room = (
            limit.most - sum(each[2] for each in debts) - sum(count for _, count in held.values())
        )
        near = {
            name
            for name, (size, _) in held.items()
            if name in limit.among
            and abs(targets.get(name, size) - size) * STEADY <= max(size, targets.get(name, size))
        }
        short = {name for name, said in live.items() if said.wants > held[name][0]}
        # Danger: where each of many has a little too much, one could be left with far too little.
        tight = room < sum(
            max(0, target - held[name][0]) for name, target in targets.items() if name not in near
        )
        out: dict[str, tuple[int, int]] = {}
        for name, (size, count) in sorted(held.items(), key=lambda each: each[1][0]):
            target = targets.get(name, size)
            if name in near and not (name in short if target > size else tight):
                target = size
            if target > size:
                more = min(target - size, count - size + max(0, room))
                room -= max(0, size + more - count)
                size, count = size + more, max(count, size + more)
            else:
                size = target
            if size or count or (name in limit.among and name in block.parts):
                out[name] = size, count
        return dict(sorted(out.items())), debts

    def _targets(
        self, limit: FleetLimit, owed: int, held: dict[str, tuple[int, int]], live: dict[str, _Said]
    ) -> dict[str, int]:
        """Fair parts of what the others cannot hold, for those that are heard."""
        pool = max(
            0,
            limit.most - owed - sum(count for name, (_, count) in held.items() if name not in live),
        )
        wants = {name: said.wants for name, said in live.items() if name in limit.among}
        targets = fair(pool, wants) if wants else {}
        uses = {name: said.uses for name, said in live.items()}
        spend = {name: max(0, target - uses[name]) for name, target in targets.items()}
        room = max(0, pool - sum(uses.values()))
        if sum(spend.values()) > room:
            for name, each in spend.items():
                if each:
                    targets[name] = uses[name] + each * room // sum(spend.values())
        return {**{name: 0 for name in live}, **targets}

    def _settled(self, now_us: int, limit: FleetLimit, debt: tuple[str, int, int]) -> bool:
        name, life, _ = debt
        since = self._debts_us.setdefault(
            (limit.key, name, life), self._ended_us.get((name, life), now_us)
        )
        heard = self._heard.get(name)
        if (
            heard is not None
            and heard.life > life
            and heard.up_us + now_us - heard.at_us >= limit.lag_us
        ):
            return True  # that life has lasted for so long, and the other ended before
        return now_us >= since + limit.lag_us

    # -- for people

    def accounts(self, now_us: int, limits: Iterable[FleetLimit]) -> list[dict[str, object]]:
        """Each limit with who holds what, how old that news is, and what nobody can use now."""
        out: list[dict[str, object]] = []
        for limit in limits:
            block, sayings = self.blocks.get(limit.key, Allocation()), self._said.get(limit.key, {})
            out.append(
                {
                    "limit": limit.key,
                    "most": limit.most,
                    "free": limit.most - block.total,
                    "owed": sum(each[2] for each in block.debts),
                    "held": [
                        self._account(now_us, name, part, sayings.get(name))
                        for name, part in sorted(block.parts.items())
                    ],
                }
            )
        return out

    def _account(
        self, now_us: int, name: str, part: tuple[int, int], said: _Said | None
    ) -> dict[str, object]:
        heard = self._heard.get(name)
        return {
            "placer": name,
            "share": part[0],
            "counts": part[1],
            "uses": said.uses if said else 0,
            "wants": said.wants if said else 0,
            "ageUs": now_us - (heard.at_us if heard else self._began_us),
            "lapsed": heard is None or now_us >= heard.until_us,
        }
