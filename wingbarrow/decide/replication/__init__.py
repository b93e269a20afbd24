"""Replication of job records: a primary, its replicas in other regions, and their use in a failover."""
