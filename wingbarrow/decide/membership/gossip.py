"""Gossip that rides on other messages: which news goes next, how often, and when it has gone round.

As in SWIM (Das, Gupta, Motivala 2002, section 4.1): each piece is passed on some `REPEAT * log2(n + 1)` times, the
least often told first, so that news about few members is not starved by news about many.
"""

from __future__ import annotations

from collections.abc import Callable
from math import ceil, log2
from typing import Generic, Protocol, TypeVar

REPEAT = 3
HELD_MOST = 512


class About(Protocol):
    """A piece of news replaces the one about the same member."""

    @property
    def ident(self) -> str:
        """The member it is about."""


NewsT = TypeVar("NewsT", bound=About)


class Gossip(Generic[NewsT]):
    """Pieces of news that are still to be told, by member; `others` tells how many there are to tell."""

    def __init__(self, others: Callable[[], int]) -> None:
        self._others = others
        self._held: dict[str, tuple[int, NewsT]] = {}  # how often told, what

    def __len__(self) -> int:
        return len(self._held)

    def add(self, news: NewsT) -> None:
        """Tell it from now on, in place of what was told of its member."""
        self._held.pop(news.ident, None)
        self._held[news.ident] = 0, news
        if len(self._held) > HELD_MOST:
            oldest = max(self._held, key=lambda ident: self._held[ident][0])
            del self._held[oldest]

    def take(self, most: int, first: str = "") -> tuple[NewsT, ...]:
        """News for one message, `first` the member whose news goes before all others; each piece counts as told."""
        limit = REPEAT * ceil(log2(self._others() + 2))
        order = sorted(self._held, key=lambda ident: (ident != first, self._held[ident][0]))[:most]
        out: list[NewsT] = []
        for ident in order:
            told, news = self._held[ident]
            out.append(news)
            if told + 1 >= limit:
                del self._held[ident]
            else:
                self._held[ident] = told + 1, news
        return tuple(out)
