"""What placers decide among themselves, as state machines without I/O, clock or globals.

Each is driven by `(now, message | timer) -> effects`; `peers` carries the effects out, on the hub.
"""
