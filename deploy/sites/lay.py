"""Lays beside the site files what the bench wants there and is the kit's own text: plain copies, never committed.

    python deploy/sites/lay.py

Says what it laid, one name a line, or that all lies there already. Exit 2 with one line on standard error where the kit
is not beside the repository or a file cannot be read or written.
"""

from __future__ import annotations

import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
KIT = Path("..") / "given" / "kit" / "more"  # from the repository's root
SOURCES = {
    "wire.json": KIT / "node" / "sites" / "wire.json",
    "real.json": KIT / "node" / "sites" / "real.json",
    "design.json": KIT / "node" / "sites" / "design.json",
    "unlock.txt": KIT / "mass" / "other" / "unlock.txt",
}


def lay(root: Path, target: Path) -> list[str]:
    """Copies into `target` what is missing or differs; the names it wrote.

    OSError where a file cannot be read or written. All are read before one is written, so that a kit with a file
    missing leaves `target` as it was.
    """
    texts = {name: (root / source).read_bytes() for name, source in SOURCES.items()}
    laid = []
    for name, text in texts.items():
        path = target / name
        if not path.is_file() or path.read_bytes() != text:
            path.write_bytes(text)
            laid.append(name)
    return laid


def main(root: Path = HERE.parent.parent, target: Path = HERE) -> int:
    """Exit status: 0 all lies there, 2 it does not."""
    try:
        laid = lay(root, target)
    except OSError as error:
        print(
            f"lay: {error.filename}: {error.strerror}; the kit has to lie beside the repository",
            file=sys.stderr,
        )
        return 2
    print("\n".join(laid) if laid else "all files lie there already")
    return 0


if __name__ == "__main__":
    sys.exit(main())
