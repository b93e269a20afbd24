"""Primary-backup replication of the records of leased Jobs, and failover of ended sessions to placers with replicas.

`primary` decides which acknowledgements an effect has to await; `replica` stores other placers' records; `replicator`
combines both with the failover of ended sessions. No module here does I/O: each call returns effects.
"""
