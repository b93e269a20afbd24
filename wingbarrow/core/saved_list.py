"""The last usable machine list on disk, read at a restart.

The file is replaced atomically: a temporary file is written, synced and renamed.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import msgspec
import xxhash

_FORMAT_VERSION = 1
_LIST_FILE = "machines.json"
_HEARTBEAT_FILE = "alive"
_MAX_BYTES = 256 << 20
_MAX_HEARTBEAT_CHARS = 40


class SavedListError(ValueError):
    """The saved list is unreadable or invalid."""

    def __init__(self, path: Path, why: str) -> None:
        super().__init__(f"{path}: {why}")
        self.path = path
        self.why = why


class _File(msgspec.Struct):
    """Contents of the file; `form` is the format version, `digest` the xxh64 of the bytes of `nodes`."""

    form: int
    digest: str
    nodes: msgspec.Raw


def save(folder: Path, nodes: list[dict[str, Any]]) -> None:
    """Save the Node objects. Raises OSError."""
    raw = msgspec.json.encode(nodes)
    write_atomically(
        folder / _LIST_FILE,
        msgspec.json.encode(_File(_FORMAT_VERSION, xxhash.xxh64_hexdigest(raw), msgspec.Raw(raw))),
    )


def write_heartbeat(folder: Path, wall_us: int) -> None:
    """Record that the placer was running at this time (microseconds since 1970). Raises OSError.

    Not synced: after the loss of a heartbeat, the next incarnation merely treats more adopted tasks as unanswered.
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
    """Load the Node objects last saved; an empty list without a file. Raises SavedListError."""
    path = folder / _LIST_FILE
    try:
        if path.stat().st_size > _MAX_BYTES:
            raise SavedListError(path, f"the file is larger than {_MAX_BYTES} bytes")
        data = path.read_bytes()
    except FileNotFoundError:
        return []
    except OSError as error:
        raise SavedListError(path, error.strerror or "") from error
    try:
        file: _File = msgspec.json.decode(data, type=_File)
        if file.form != _FORMAT_VERSION or xxhash.xxh64_hexdigest(bytes(file.nodes)) != file.digest:
            raise SavedListError(
                path,
                f"expected format version {_FORMAT_VERSION} and a matching digest, got version {file.form}",
            )
        nodes: list[dict[str, Any]] = msgspec.json.decode(file.nodes, type=list[dict[str, Any]])
    except SavedListError:
        raise
    except (msgspec.MsgspecError, ValueError) as error:
        raise SavedListError(path, str(error)) from error
    return nodes
