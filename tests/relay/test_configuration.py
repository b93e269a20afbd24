"""What the platform tells a placer, and what an unreadable configuration gets."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from tests.relay.stage import SETTINGS

from wingbarrow.relay.configuration import BadConfiguration, load, load_journal

GOOD: dict[str, Any] = {
    "name": "n3", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256}, "journal": "127.0.0.1:9",
    "known": {"pos": 0, "entries": []}, "settings": SETTINGS}


def write(folder: Path, value: object) -> dict[str, str]:
    path = folder / "config.json"
    path.write_text(value if isinstance(value, str) else json.dumps(value))
    return {"RELAY_CONFIG": str(path), "RELAY_NAME": "n3", "RELAY_LISTEN": "127.0.0.1:0"}


def test_it_is_read_whole(tmp_path: Path) -> None:
    told = load(write(tmp_path, GOOD))
    assert (told.name, told.sockets, told.seed, str(told.journal)) == ("n3", 256, 0x8C1F30D27A5BE964, "127.0.0.1:9")
    assert told.settings.classes[0].name == "web" and told.patience_us == 5_000_000


@pytest.mark.parametrize("value", [
    "", "{", "[]", {**GOOD, "journal": "nowhere"}, {**GOOD, "seed": "xyz"}, {**GOOD, "limits": {}},
    {**GOOD, "settings": {}}, {**GOOD, "settings": {**SETTINGS, "lanes": []}}, {**GOOD, "settings": 7},
    {key: each for key, each in GOOD.items() if key != "known"}])
def test_what_cannot_be_used_is_named(tmp_path: Path, value: object) -> None:
    with pytest.raises(BadConfiguration):
        load(write(tmp_path, value))


def test_a_bad_one_ends_with_one_line_and_status_2(tmp_path: Path) -> None:
    for environment in (write(tmp_path, "{"), {}):
        ended = subprocess.run([sys.executable, "-m", "wingbarrow.relay"], capture_output=True, text=True, timeout=60,
                               env={**os.environ, "RELAY_CONFIG": "", **environment})
        assert ended.returncode == 2 and ended.stderr.count("\n") == 1 and "Traceback" not in ended.stderr


def test_the_journals_address_alone_is_read_again(tmp_path: Path) -> None:
    path = write(tmp_path, {"journal": "127.0.0.1:77"})["RELAY_CONFIG"]
    assert load_journal(path).port == 77
    with pytest.raises(BadConfiguration):
        load_journal(write(tmp_path, {"journal": 7})["RELAY_CONFIG"])


def test_it_imports_little() -> None:
    code = "import sys, wingbarrow.relay.placer; print(*sorted({name.partition('.')[0] for name in sys.modules}))"
    loaded = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout.split()
    assert not {"ckdl", "msgspec", "structlog", "netaddr", "prometheus_client", "icalendar", "xxhash"} & set(loaded)
    assert "greenlet" in loaded
