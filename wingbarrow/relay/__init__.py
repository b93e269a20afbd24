"""Runs a placer over the platform's binary protocol; the platform starts it as `python -m wingbarrow.relay`.

This package makes no scheduling decisions: it passes events to the scheduler through `core.host` and carries out its
actions. `docs/relay.md` shows a task's path through the sockets.
"""
