"""Checks that judge a run, one module a concern; `run` reads the run's files, `verdict` holds the result."""

from __future__ import annotations
