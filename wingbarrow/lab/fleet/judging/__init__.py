"""What the judge of a run looks at, a file a concern; `run` reads what a play left, `verdict` is what comes out."""

from __future__ import annotations
