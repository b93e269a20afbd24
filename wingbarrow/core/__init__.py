"""One placer in components, a file a concept; `docs/architecture.md` says who owns what.

Hands out `placer.Placer`: fronts talk to its `desk` and read its `board`. It knows no protocol of clients.
"""
