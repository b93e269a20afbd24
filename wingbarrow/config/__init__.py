"""Settings of a placer in KDL: every error is reported at once with its line, and similar names are suggested.

`load_file` returns `PlacerSettings`, `calendar.load_calendar` maintenance windows; a file with any error is rejected.
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
