"""Versioned rule sets: comparison, transitions between versions, floors, canary analysis."""
