"""Sessions of placers that hold leased Jobs: leases and their expiry, fencing epochs, failover and reissue."""
