"""One placer in components, one concept a file; `docs/architecture.md` says which component owns what.

The entry point is `placer.Placer`: fronts call its `admission` and read its `objects`. It knows no client protocol.
"""
