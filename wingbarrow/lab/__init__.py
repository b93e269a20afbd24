"""The laboratory: simulated machines, list source and owners, faults, days, and the auditor.

`cluster.Cluster` runs a whole cluster in one process; `days.play` runs a day, `hunt` many of them; `audit` checks the
recording taken at the sockets.
"""
