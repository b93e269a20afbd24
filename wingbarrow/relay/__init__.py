"""The platform's protocol as one more way in and out; `python -m wingbarrow.relay` is what the platform starts.

It decides nothing: the module does, through `core.host`. `docs/relay.md` draws a task's way through the sockets.
"""
