"""Who could hear whom when, by the rig's own events: cuts, isolations, stops, kills.

`Touch` errs on one side and `Reach` on the other: whoever was in touch surely had a majority, whoever was out of reach
surely had none. In between, on slow or lossy links, nothing is said.
"""

from __future__ import annotations

from itertools import combinations

from wingbarrow.lab.fleet.judging.run import NEVER, Run


class MajorityContact:
    """From when to when each placer was in touch with a majority of the voters."""

    def __init__(self, run: Run) -> None:
        self._run = run
        self._impaired: dict[frozenset[str], list[tuple[int, int]]] = {}
        self._absent: dict[str, list[tuple[int, int]]] = {name: [] for name in run.names}
        for each in run.impaired_links:
            self._impaired.setdefault(frozenset((each.placer, each.other_placer)), []).append(
                (each.begin_us, each.end_us)
            )
        for name, lifetimes in run.lifetimes.items():
            edges = [
                0,
                *(at for lifetime in lifetimes for at in (lifetime.begin_us, lifetime.end_us)),
                NEVER,
            ]
            self._absent[name] += [(edges[i], edges[i + 1]) for i in range(0, len(edges), 2)]
        for each in (*run.stops, *run.starved):
            self._absent[each.placer].append((each.begin_us, each.end_us))

    def throughout(self, who: str, begin_us: int, end_us: int) -> bool:
        """Whether it was in touch with one majority all the time between."""
        others = [name for name in self._run.voters if name != who]
        wanted = len(self._run.voters) // 2 + 1 - (who in self._run.voters)
        return any(
            self._all_connected((who, *some), begin_us, end_us)
            for some in combinations(others, wanted)
        )

    def latest(self, who: str, until_us: int, since_us: int, for_us: int) -> int | None:
        """The latest time up to one at which it had been in touch for so long, and after `since_us`; None: never."""
        ends = {
            until_us,
            *(
                begin
                for spans in (*self._impaired.values(), *self._absent.values())
                for begin, _ in spans
            ),
        }
        for at in sorted((at for at in ends if since_us + for_us <= at <= until_us), reverse=True):
            if self.throughout(who, at - for_us, at - 1):
                return at
        return None

    def _all_connected(self, names: tuple[str, ...], begin_us: int, end_us: int) -> bool:
        spans = [
            *(span for name in names for span in self._absent[name]),
            *(
                span
                for pair in combinations(names, 2)
                for span in self._impaired.get(frozenset(pair), ())
            ),
        ]
        return not any(begin <= end_us and begin_us <= end for begin, end in spans)


class Reachability:
    """At which times a placer could be granted anything: by a voter that hears a majority and, itself or by way of
    another voter, the placer; each both ways.
    """

    def __init__(self, run: Run) -> None:
        self._run, self._cuts = run, run.cut_links
        edges = {
            0,
            *(at for each in (*self._cuts, *run.stops) for at in (each.begin_us, each.end_us)),
            *(
                at
                for lifetimes in run.lifetimes.values()
                for lifetime in lifetimes
                for at in (lifetime.begin_us, lifetime.end_us)
            ),
        }
        self._edges = sorted(edges)
        self._spans_by_placer: dict[str, list[tuple[int, int]]] = {}

    def unreachable_spans(self, who: str) -> list[tuple[int, int]]:
        """Times at which it could be granted nothing."""
        if who not in self._spans_by_placer:
            out: list[tuple[int, int]] = []
            for begin, end in zip(self._edges, [*self._edges[1:], NEVER], strict=True):
                if self._can_be_granted(who, begin):
                    continue
                if out and out[-1][1] == begin:
                    out[-1] = out[-1][0], end
                else:
                    out.append((begin, end))
            self._spans_by_placer[who] = out
        return self._spans_by_placer[who]

    def _can_be_granted(self, who: str, at_us: int) -> bool:
        here = [name for name in self._run.voters if self._is_running(name, at_us)]
        wanted = len(self._run.voters) // 2 + 1
        near = {voter for voter in here if self._linked(who, voter, at_us)}
        return self._is_running(who, at_us) and any(
            sum(self._linked(leader, other, at_us) for other in here) >= wanted
            and (leader in near or any(self._linked(voter, leader, at_us) for voter in near))
            for leader in here
        )

    def _is_running(self, name: str, at_us: int) -> bool:
        return any(
            lifetime.begin_us <= at_us < lifetime.end_us for lifetime in self._run.lifetimes[name]
        ) and not any(
            each.placer == name and each.begin_us <= at_us < each.end_us for each in self._run.stops
        )

    def _linked(self, one: str, other: str, at_us: int) -> bool:
        return one == other or not any(
            each.begin_us <= at_us < each.end_us
            and {each.placer, each.other_placer} == {one, other}
            for each in self._cuts
        )
