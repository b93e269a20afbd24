"""Which placers could exchange messages when, from the rig's own events: cuts, isolations, stops, kills.

The two classes err on opposite sides: a placer in `MajorityContact` certainly reached a majority of the voters, one
that `Reachability` lists as unreachable certainly did not. Between the two, as on slow or lossy links, neither decides.
"""

from __future__ import annotations

from itertools import combinations

from wingbarrow.lab.fleet.judging.run import NEVER, Run


class MajorityContact:
    """The times at which a placer was certainly in contact with a majority of the voters."""

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

    def throughout(self, placer: str, begin_us: int, end_us: int) -> bool:
        """Whether a placer was in contact with one and the same majority for a whole period, bounds included."""
        others = [name for name in self._run.voters if name != placer]
        needed = len(self._run.voters) // 2 + 1 - (placer in self._run.voters)
        return any(
            self._all_connected((placer, *voters), begin_us, end_us)
            for voters in combinations(others, needed)
        )

    def latest(self, placer: str, until_us: int, since_us: int, for_us: int) -> int | None:
        """The latest time up to `until_us` before which a placer was in contact with a majority for `for_us`.

        Contact before `since_us` does not count. None if there is no such time.
        """
        ends = {
            until_us,
            *(
                begin
                for spans in (*self._impaired.values(), *self._absent.values())
                for begin, _ in spans
            ),
        }
        for at in sorted((at for at in ends if since_us + for_us <= at <= until_us), reverse=True):
            if self.throughout(placer, at - for_us, at - 1):
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
    """The times at which a placer could not be sent any grant.

    A grant needs a running voter that exchanges messages in both directions with a majority of the voters, and with the
    placer directly or through one other voter.
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

    def unreachable_spans(self, placer: str) -> list[tuple[int, int]]:
        """Periods in which a placer could get no grant: (begin, end) in microseconds, in order, disjoint."""
        if placer not in self._spans_by_placer:
            out: list[tuple[int, int]] = []
            for begin, end in zip(self._edges, [*self._edges[1:], NEVER], strict=True):
                if self._can_be_granted(placer, begin):
                    continue
                if out and out[-1][1] == begin:
                    out[-1] = out[-1][0], end
                else:
                    out.append((begin, end))
            self._spans_by_placer[placer] = out
        return self._spans_by_placer[placer]

    def _can_be_granted(self, placer: str, at_us: int) -> bool:
        running_voters = [name for name in self._run.voters if self._is_running(name, at_us)]
        needed = len(self._run.voters) // 2 + 1
        linked_voters = {voter for voter in running_voters if self._is_linked(placer, voter, at_us)}
        return self._is_running(placer, at_us) and any(
            sum(self._is_linked(leader, other, at_us) for other in running_voters) >= needed
            and (
                leader in linked_voters
                or any(self._is_linked(voter, leader, at_us) for voter in linked_voters)
            )
            for leader in running_voters
        )

    def _is_running(self, name: str, at_us: int) -> bool:
        return any(
            lifetime.begin_us <= at_us < lifetime.end_us for lifetime in self._run.lifetimes[name]
        ) and not any(
            each.placer == name and each.begin_us <= at_us < each.end_us for each in self._run.stops
        )

    def _is_linked(self, one: str, other: str, at_us: int) -> bool:
        return one == other or not any(
            each.begin_us <= at_us < each.end_us
            and {each.placer, each.other_placer} == {one, other}
            for each in self._cuts
        )
