"""Who could hear whom when, by the rig's own events: cuts, isolations, stops, kills.

`Touch` errs on one side and `Reach` on the other: whoever was in touch surely had a majority, whoever was out of reach
surely had none. In between, on slow or lossy links, nothing is said.
"""

from __future__ import annotations

from itertools import combinations

from wingbarrow.lab.fleet.judging.run import NEVER, Run


class Touch:
    """From when to when each placer was in touch with a majority of the voters."""

    def __init__(self, run: Run) -> None:
        self._run = run
        self._apart: dict[frozenset[str], list[tuple[int, int]]] = {}
        self._away: dict[str, list[tuple[int, int]]] = {name: [] for name in run.names}
        for each in run.apart:
            self._apart.setdefault(frozenset((each.who, each.other)), []).append(
                (each.begin_us, each.end_us)
            )
        for name, lives in run.up.items():
            edges = [0, *(at for life in lives for at in (life.begin_us, life.end_us)), NEVER]
            self._away[name] += [(edges[i], edges[i + 1]) for i in range(0, len(edges), 2)]
        for each in (*run.stops, *run.starved):
            self._away[each.who].append((each.begin_us, each.end_us))

    def since(self, who: str, begin_us: int, end_us: int) -> bool:
        """Whether it was in touch with one majority all the time between."""
        others = [name for name in self._run.voters if name != who]
        wanted = len(self._run.voters) // 2 + 1 - (who in self._run.voters)
        return any(
            self._whole((who, *some), begin_us, end_us) for some in combinations(others, wanted)
        )

    def last(self, who: str, until_us: int, since_us: int, for_us: int) -> int | None:
        """The latest time up to one at which it had been in touch for so long, and after `since_us`; None: never."""
        ends = {
            until_us,
            *(
                begin
                for spans in (*self._apart.values(), *self._away.values())
                for begin, _ in spans
            ),
        }
        for at in sorted((at for at in ends if since_us + for_us <= at <= until_us), reverse=True):
            if self.since(who, at - for_us, at - 1):
                return at
        return None

    def _whole(self, names: tuple[str, ...], begin_us: int, end_us: int) -> bool:
        spans = [
            *(span for name in names for span in self._away[name]),
            *(
                span
                for pair in combinations(names, 2)
                for span in self._apart.get(frozenset(pair), ())
            ),
        ]
        return not any(begin <= end_us and begin_us <= end for begin, end in spans)


class Reach:
    """At which times a placer could be granted anything: by a voter that hears a majority and, itself or by way of
    another voter, the placer; each both ways.
    """

    def __init__(self, run: Run) -> None:
        self._run, self._cuts = run, run.cuts
        edges = {
            0,
            *(at for each in (*self._cuts, *run.stops) for at in (each.begin_us, each.end_us)),
            *(
                at
                for lives in run.up.values()
                for life in lives
                for at in (life.begin_us, life.end_us)
            ),
        }
        self._edges = sorted(edges)
        self._known: dict[str, list[tuple[int, int]]] = {}

    def gaps(self, who: str) -> list[tuple[int, int]]:
        """Times at which it could be granted nothing."""
        if who not in self._known:
            out: list[tuple[int, int]] = []
            for begin, end in zip(self._edges, [*self._edges[1:], NEVER], strict=True):
                if self._could(who, begin):
                    continue
                if out and out[-1][1] == begin:
                    out[-1] = out[-1][0], end
                else:
                    out.append((begin, end))
            self._known[who] = out
        return self._known[who]

    def _could(self, who: str, at_us: int) -> bool:
        here = [name for name in self._run.voters if self._up(name, at_us)]
        wanted = len(self._run.voters) // 2 + 1
        near = {voter for voter in here if self._linked(who, voter, at_us)}
        return self._up(who, at_us) and any(
            sum(self._linked(leader, other, at_us) for other in here) >= wanted
            and (leader in near or any(self._linked(voter, leader, at_us) for voter in near))
            for leader in here
        )

    def _up(self, name: str, at_us: int) -> bool:
        return any(life.begin_us <= at_us < life.end_us for life in self._run.up[name]) and not any(
            each.who == name and each.begin_us <= at_us < each.end_us for each in self._run.stops
        )

    def _linked(self, one: str, other: str, at_us: int) -> bool:
        return one == other or not any(
            each.begin_us <= at_us < each.end_us and {each.who, each.other} == {one, other}
            for each in self._cuts
        )
