"""The laboratory: stand-ins for machines and list source, owners, faults, days, and the auditor.

`cluster.Cluster` is all of it in one process; `days.play` a day, `hunt` many; `audit` judges what crossed the sockets.
"""
