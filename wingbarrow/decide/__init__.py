"""What the program decides beside REM: values in, verdicts out; no sockets, no clock, randomness by seed only.

Each file is one decision: door, gate, admission, again, strays, rebirth, drains, learning, listing, membership.
They may narrow what the module may do; none picks a machine.
"""
