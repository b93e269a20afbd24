"""What the program decides beside REM: values in, verdicts out; no sockets, no clock, randomness by seed only."""
