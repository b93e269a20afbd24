"""Golden files: bytes that the program put on the wire when they were recorded, below `tests/data/wire`.

They never change. `WIRE_RECORD=1` writes a file that is not there yet and touches none that is; without it a file that
is missing fails its test.
"""

from __future__ import annotations

import os
import re
from pathlib import Path

import pytest

FOLDER = Path(__file__).parents[1] / "data" / "wire"
# The only thing put in place of what was sent: ports are chosen by the system, anew in each run.
PORTS = re.compile(rb'(127\.0\.0\.1:|"Port":)\d+')


def without_ports(data: bytes) -> bytes:
    """The bytes with PORT in place of each port of this machine."""
    return PORTS.sub(rb"\1PORT", data)


def assert_golden(name: str, data: bytes) -> None:
    """Fail unless the file holds just these bytes."""
    file = FOLDER / name
    if not file.exists() and os.environ.get("WIRE_RECORD") == "1":
        file.parent.mkdir(parents=True, exist_ok=True)
        file.write_bytes(data)
    if not file.exists():
        pytest.fail(f"{file} is missing")
    # As lists of lines: where they differ, pytest says in which line.
    assert data.split(b"\n") == file.read_bytes().split(b"\n")
