"""The last usable machine list on disk, for a restart; replaced atomically (written beside it, synced, renamed)."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import msgspec
import xxhash

_FORM = 1
_FILE = "machines.json"
_HEARTBEAT_FILE = "alive"
_MAX_BYTES = 256 << 20
_MAX_HEARTBEAT_CHARS = 40


class SavedListError(ValueError):
    """The saved list cannot be used."""

    def __init__(self, path: Path, why: str) -> None:
        super().__init__(f"{path}: {why}")
        self.path = path
        self.why = why


class _File(msgspec.Struct):
    """Form of the file; `digest` is of the bytes of `nodes`."""

    form: int
    digest: str
    nodes: msgspec.Raw


def save(folder: Path, nodes: list[dict[str, Any]]) -> None:
    """Write the Node objects. Raises OSError."""
    raw = msgspec.json.encode(nodes)
    write_atomically(
        folder / _FILE,
        msgspec.json.encode(_File(_FORM, xxhash.xxh64_hexdigest(raw), msgspec.Raw(raw))),
    )


def write_heartbeat(folder: Path, wall_us: int) -> None:
    """Record that the placer worked at this time (microseconds since 1970). Raises OSError.

    Not synced: a lost heartbeat only makes the next incarnation more careful.
    """
    folder.mkdir(parents=True, exist_ok=True)
    temporary = folder / f"{_HEARTBEAT_FILE}.{os.getpid()}"
    temporary.write_text(f"{wall_us}\n", encoding="ascii")
    os.replace(temporary, folder / _HEARTBEAT_FILE)


def read_heartbeat(folder: Path) -> int | None:
    """The last heartbeat (microseconds since 1970); None where it is missing or unreadable."""
    try:
        text = (folder / _HEARTBEAT_FILE).read_text(encoding="ascii")[:_MAX_HEARTBEAT_CHARS].strip()
    except (OSError, ValueError):
        return None
    return int(text) if text.isascii() and text.isdigit() else None


def write_atomically(path: Path, data: bytes) -> None:
    """Replace a file so that a crash leaves either the old or the new content. Raises OSError."""
    path.parent.mkdir(parents=True, exist_ok=True)
    temporary = path.with_name(f"{path.name}.{os.getpid()}")
    with open(temporary, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)


def load(folder: Path) -> list[dict[str, Any]]:
    """The Node objects last saved, none without a file. Raises SavedListError."""
    path = folder / _FILE
    try:
        if path.stat().st_size > _MAX_BYTES:
            raise SavedListError(path, f"more than {_MAX_BYTES} bytes")
        data = path.read_bytes()
    except FileNotFoundError:
        return []
    except OSError as error:
        raise SavedListError(path, error.strerror or "") from error
    try:
        file: _File = msgspec.json.decode(data, type=_File)
        if file.form != _FORM or xxhash.xxh64_hexdigest(bytes(file.nodes)) != file.digest:
            raise SavedListError(path, "its digest or form is wrong")
        nodes: list[dict[str, Any]] = msgspec.json.decode(file.nodes, type=list[dict[str, Any]])
    except SavedListError:
        raise
    except (msgspec.MsgspecError, ValueError) as error:
        raise SavedListError(path, str(error)) from error
    return nodes
