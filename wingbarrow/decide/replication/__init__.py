"""Primary and backup replication of the records of leased Jobs, and failover by whoever has a replica.

`primary` decides what must be acknowledged before an effect may leave; `replica` stores other placers' records;
`replicator` joins both with the failover of ended sessions. No module here does I/O: each call returns effects.
"""
