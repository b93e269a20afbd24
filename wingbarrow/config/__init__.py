"""Settings of a placer in KDL: read whole, every error at once with its line, near misses suggested.

`load_file` gives `PlacerSettings`, `calendar.load_calendar` maintenance windows; a file is taken whole or not at all.
"""

from wingbarrow.config.load import SettingsError, load_file, load_text
from wingbarrow.config.settings import (
    ClassSettings,
    Limits,
    PeerAddress,
    PlacerSettings,
    parse_duration,
    parse_size,
)

__all__ = [
    "ClassSettings",
    "Limits",
    "PeerAddress",
    "PlacerSettings",
    "SettingsError",
    "load_file",
    "load_text",
    "parse_duration",
    "parse_size",
]
