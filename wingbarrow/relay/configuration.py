"""What the platform tells a placer: the environment RELAY_NAME, RELAY_LISTEN, RELAY_CONFIG and the JSON it names."""

from __future__ import annotations

import json
import socket
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from wingbarrow import interface as api
from wingbarrow.decide.descriptors import LEAST
from wingbarrow.settings_parser import JsonValue, format_value, parse_settings

MAX_FILE_BYTES = 16 << 20
# Bounds that are absent or 0: nothing is told, and these hold. Below the shortest, nothing could be done in time.
DIAL_US = 250_000
MAX_STAY_AWAY_US = 1_000_000
CONN_IDLE_US = 30_000_000
MIN_BOUND_US = 1_000
TICK_PART = 20  # of the shortest deadline: no more than this part is kept back before a deadline
MAX_DIGITS = 300  # of a whole number; a longer one is no float, and counts as infinite


class BadConfiguration(Exception):
    """The configuration cannot be used; the text names what is wrong."""


@dataclass(frozen=True, slots=True)
class Address:
    """A host, by number, and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Configuration:
    """All that one start is told; times in microseconds."""

    name: str
    listen: Address
    seed: int
    sockets: int
    journal: Address
    known: Any  # of the journal service's form, up to now
    settings: api.Settings
    dial_us: int
    stay_away_most_us: int
    patience_us: int  # the longest of any class
    conn_idle_us: int = CONN_IDLE_US  # idle connections are closed after this interval


def read_address(text: object, what: str) -> Address:
    """HOST:PORT; BadConfiguration with `what` otherwise."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not (
        host
        and colon
        and port.isascii()
        and port.isdigit()
        and len(port) <= 5
        and int(port) < 65536
    ):
        raise BadConfiguration(f"{what}: not an address: {format_value(text)}")
    host = host.strip("[]")
    try:
        socket.inet_pton(socket.AF_INET6 if ":" in host else socket.AF_INET, host)
    except (OSError, ValueError):
        raise BadConfiguration(f"{what}: not a host by number: {format_value(text)}") from None
    return Address(host, int(port))


def _whole_number(digits: str) -> int | float:
    return int(digits) if len(digits) <= MAX_DIGITS else float(digits)


def _load(path: str) -> dict[str, Any]:
    try:
        with Path(path).open("rb") as file:
            raw = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise BadConfiguration(f"{path}: {error.strerror}") from None
    if len(raw) > MAX_FILE_BYTES:
        raise BadConfiguration(f"{path}: longer than {MAX_FILE_BYTES} bytes")
    try:
        value = json.loads(raw, parse_int=_whole_number)
    except (ValueError, RecursionError) as error:
        raise BadConfiguration(f"{path}: {error}") from None
    if not isinstance(value, dict):
        raise BadConfiguration(f"{path}: not a JSON object")
    return value


def _seed(part: JsonValue) -> int:
    try:
        return int(str(part.value), 16)
    except ValueError:
        raise part.error("not hex digits") from None


def _known(part: JsonValue) -> Any:
    """The journal service's form; what its events hold is judged where they are read."""
    position = part.at("pos")
    if isinstance(position.value, bool) or not isinstance(position.value, int):
        raise position.error("not a position")
    part.at("entries").items()
    return part.value


def _bound(settings: JsonValue, key: str, usual: int) -> int:
    """A time of the site's bounds, in microseconds; `usual` where it is absent or 0."""
    part = settings.find(f"bounds.{key}")
    told = 0 if part is None else part.microseconds()
    return max(MIN_BOUND_US, told) if told else usual


def _deadlines(settings: JsonValue) -> list[int]:
    return [lane.at("deadline_us").microseconds() for lane in settings.at("lanes").items()]


def _scheduler(part: JsonValue) -> api.Settings:
    """The scheduler's settings, with a tick that leaves time before the shortest deadline.

    Danger (rule 1): `quantum_us` is the interval between the simulator's batches, which do not exist here; one as
    long as a deadline would have every set-up of its class turned away, as out of time.
    """
    settings = parse_settings(part.value, part.path)
    tick_us = max(1, min(settings.tick_us, min(_deadlines(part)) // TICK_PART))
    return replace(settings, tick_us=tick_us)


def load(environment: Mapping[str, str]) -> Configuration:
    """Read the environment and the file it names; BadConfiguration says in one line what is wrong, by its key."""
    path = environment.get("RELAY_CONFIG", "")
    if not path:
        raise BadConfiguration("RELAY_CONFIG is not set")
    whole = JsonValue(_load(path))
    listen = environment.get("RELAY_LISTEN")
    name = environment.get("RELAY_NAME")
    try:
        settings, sockets = whole.at("settings"), whole.at("limits.sockets")
        if sockets.count() < LEAST:
            raise sockets.error(f"no fewer than {LEAST} will do")
        return Configuration(
            name=name or whole.at("name").name(),
            listen=read_address(
                listen or whole.at("listen").value, "RELAY_LISTEN" if listen else "listen"
            ),
            seed=_seed(whole.at("seed")),
            sockets=sockets.count(),
            journal=read_address(whole.at("journal").value, "journal"),
            known=_known(whole.at("known")),
            settings=_scheduler(settings),
            dial_us=_bound(settings, "dial_timeout_us", DIAL_US),
            stay_away_most_us=_bound(settings, "max_retry_after_us", MAX_STAY_AWAY_US),
            patience_us=max(_deadlines(settings)),
            conn_idle_us=_bound(settings, "conn_idle_us", CONN_IDLE_US),
        )
    except (BadConfiguration, ValueError) as error:
        raise BadConfiguration(f"{path}: {error}") from None


def load_journal(path: str) -> Address:
    """The journal service's address alone, from a file that was replaced; BadConfiguration where it has none."""
    return read_address(_load(path).get("journal"), "journal")
