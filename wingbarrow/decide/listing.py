"""Which news of the list of machines counts: a list, or an entry, older than what is held must not undo a drain."""

from __future__ import annotations

from enum import Enum

NEW_SOURCE_US = (
    30_000_000  # only older lists for so long: the source has begun anew, and its word counts again
)


class Take(Enum):
    """What to do with a list."""

    TAKE = "take"
    TOO_OLD = "too old"
    NEW_SOURCE = "new source"


class ListJudge:
    """Compares resourceVersions of one source; they grow with time while the source lives."""

    def __init__(self) -> None:
        self._held = -1
        self._entries: dict[str, int] = {}
        self._older_since_us: int | None = None

    def judge_list(self, version: int, now_us: int) -> Take:
        """Whether a whole list of that version may replace the one held."""
        if version >= self._held:
            self._held, self._older_since_us = version, None
            return Take.TAKE
        # Danger (rule 3): a list that goes back shows a machine running that is known to drain.
        if self._older_since_us is None:
            self._older_since_us = now_us
        if now_us - self._older_since_us < NEW_SOURCE_US:
            return Take.TOO_OLD
        self._held, self._older_since_us = version, None
        self._entries.clear()
        return Take.NEW_SOURCE

    def judge_entry(self, name: str, version: int) -> bool:
        """Whether an entry is at least as new as what is held of it."""
        if version < self._entries.get(name, -1):
            return False
        self._entries[name] = version
        self._held = max(self._held, version)
        return True

    def passed(self, version: int) -> None:
        """News of an entry that is not held was read: lists from before it go back, though nothing held says so."""
        self._held = max(self._held, version)

    def goes_back(self, version: int) -> bool:
        """Whether a list of that version is older than what was read; one of the same version is as good."""
        return version < self._held

    def forget(self, keep: set[str]) -> None:
        """Entries that no list names any longer need no memory."""
        if len(self._entries) > 2 * len(keep) + 64:
            self._entries = {
                name: version for name, version in self._entries.items() if name in keep
            }
