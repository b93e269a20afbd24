"""Decisions beside the decision module (REM): values in, decisions out; no I/O, no clock, randomness by seed only.

Each file or package is one decision, such as overload control, the send gate, retries, restarts, membership, consensus.
They may restrict what the module may do; none chooses a machine.
"""
