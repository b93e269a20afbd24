"""Rule sets with versions: comparison, transitions between two of them, floors, canary analysis."""
