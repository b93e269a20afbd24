"""The order of the journal service's events: gaps in their numbers, a lagging service, and renumbered events.

Each event is delivered once. Entries are states, not differences, so events after a gap are delivered at once; when a
missing event arrives, only its machines without a later event are used.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

from wingbarrow.core.placer_runtime import PlacerRuntime
from wingbarrow.relay.entries import Event, ListState, ListUpdate, merge
from wingbarrow.relay.once_log import OnceLog

MAX_GAP_POLLS = 3  # polls for missing events before they are skipped
MAX_MARKS = 1024  # event hashes kept, to distinguish a lagging service from a renumbered one


@dataclass(frozen=True, slots=True)
class EventQuery:
    """What a call requests, and the state of the sequence when it began."""

    tail: int  # events after this number are requested; 0: all events
    position: int
    numbering: int
    answers: int  # answers applied before


class EventSequence:
    """Turns the answers of the journal service into updates of the machine list.

    `known` holds the events from the configuration, up to `position`. Calls may overlap, and their answers may be
    applied in any order: an answer is compared with the position at which its call began.
    """

    def __init__(
        self, runtime: PlacerRuntime, position: int, known: Sequence[ListUpdate] = ()
    ) -> None:
        self._runtime = runtime
        self.position = position  # all events up to it were applied or skipped
        # Events applied beyond a gap, by number, with the names of their machines.
        self._applied_ahead: dict[int, tuple[str, ...]] = {}
        self._gap_polls = 0  # consecutive polls after which events were still missing
        self._refetch_all = False  # the position regressed: the next poll asks for all events
        self._numbering = 0  # how often the service has renumbered its events
        self._answers = 0  # answers applied
        self._gap_counted_at = 0  # of these, when the latest one was counted in `_gap_polls`
        self._lagging_position: int | None = None  # highest number of a service known to lag
        self._list_state = ListState(known)
        self._marks = OrderedDict((each.position, each.digest) for each in known)
        self._once_log = OnceLog(runtime)

    def next_query(self) -> EventQuery:
        """The query of a call that begins now."""
        wants_all = self._refetch_all or self._gap_polls == MAX_GAP_POLLS - 1
        tail = 0 if wants_all else self.position
        return EventQuery(tail, self.position, self._numbering, self._answers)

    def is_outdated(self, query: EventQuery) -> bool:
        """Whether events were applied since a call with this query began."""
        return query.numbering != self._numbering or query.position != self.position

    def apply(self, query: EventQuery, last: int, events: list[Event]) -> list[ListUpdate]:
        """The updates that follow from the answer to a query, in order."""
        self._answers += 1
        if query.numbering != self._numbering:
            return []  # its tail is a number of the former numbering
        if query.tail == 0:
            self._refetch_all = False
        highest = max([last, *(event.position for event in events)])
        if highest < query.position:
            return self._on_position_regressed(query, highest, events)
        self._lagging_position = None
        return self._new_events(query, events)

    def _new_events(self, query: EventQuery, events: list[Event]) -> list[ListUpdate]:
        news: list[ListUpdate] = []
        top = 0
        for event in events:
            number = event.position
            if event.why:
                self._report_bad_entry(event.why)
                top = max(top, number)
            elif number > self.position and (number not in self._applied_ahead or event.full):
                newer = {
                    name
                    for later, names in self._applied_ahead.items()
                    if later > number
                    for name in names
                }
                news.append(self._merge_event(event, newer))
                self._applied_ahead[number] = tuple(entry.name for entry in news[-1].entries)
                if event.full:
                    self._advance_to(number)
                while self.position + 1 in self._applied_ahead:
                    self._advance_to(self.position + 1)
        self._check_for_gap(query, max([top, *self._applied_ahead]))
        return news

    def _merge_event(self, event: Event, newer: set[str]) -> ListUpdate:
        self._marks[event.position] = event.digest
        if len(self._marks) > MAX_MARKS:
            self._marks.popitem(last=False)
        return self._list_state.apply(event, self._report_bad_entry, newer)

    def _advance_to(self, number: int) -> None:
        """Set the position; missing events up to it are no longer expected."""
        self.position = number
        self._applied_ahead = {
            ahead: names for ahead, names in self._applied_ahead.items() if ahead > number
        }

    def _check_for_gap(self, query: EventQuery, top: int) -> None:
        """Count consecutive polls that leave an event up to number `top` missing, and skip the gap after the last.

        The last of these polls asks for all events, not only those after the position. Calls that were in flight
        together count as one poll.
        """
        if top <= self.position:
            self._gap_polls = 0
            return
        if self._gap_polls and query.answers < self._gap_counted_at:
            return
        self._gap_counted_at = self._answers
        self._gap_polls += 1
        if self._gap_polls == 1:
            self._runtime.counts["journal_gaps"] += 1
            self._runtime.log("journal-gap", level="warning", after=self.position, before=top)
        if self._gap_polls > MAX_GAP_POLLS - 1:
            self._gap_polls = 0
            self._runtime.counts["journal_gaps_given_up"] += 1
            self._runtime.log("journal-gap-skipped", level="error", after=self.position, before=top)
            self._advance_to(top)

    def _on_position_regressed(
        self, query: EventQuery, highest: int, events: list[Event]
    ) -> list[ListUpdate]:
        """Handle an answer that ends before our position: the service lags, or it has renumbered its events."""
        if highest == self._lagging_position:
            return []
        if query.tail > 0:
            self._runtime.counts["journal_went_back"] += 1
            self._once_log.warn("journal-went-back", f"highest event number is {highest}")
            self._refetch_all = True
            return []
        readable = [event for event in events if not event.why]
        # Danger (rule 3): applying a lagging list would mark draining machines as running.
        hashes_match = all(
            self._marks.get(event.position, event.digest) == event.digest for event in readable
        )
        if not readable or (hashes_match and readable[-1].position in self._marks):
            self._lagging_position = highest
            return []
        self._runtime.log("journal-renumbered", level="warning", ours=self.position, theirs=highest)
        self._numbering += 1
        self._marks.clear()
        self._gap_polls = 0
        # Merged into one delivery: a machine that only a later event lists must not count as gone in between.
        news = merge([self._merge_event(event, set()) for event in readable])
        self._applied_ahead.clear()
        self.position = news.position
        return [news]

    def _report_bad_entry(self, why: str) -> None:
        self._runtime.counts["journal_bad_entries"] += 1
        self._once_log.warn("bad-list-entry", why)


__all__ = ["EventQuery", "EventSequence"]
