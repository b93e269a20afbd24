"""Decisions other than the choice of machines (REM): pure functions and state machines.

They do no I/O, read no clock, and draw randomness from a seed alone. Each file or package makes one kind of decision,
such as overload control, the send gate, retries, restarts, membership or consensus. They may restrict what the decision
module does; none chooses a machine.
"""
