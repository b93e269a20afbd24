"""Sessions of placers that hold leased Jobs: expiry, fencing epochs, failover and reissue."""
