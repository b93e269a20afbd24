"""Limits that hold for the whole fleet under partition: escrow and quota leases."""
