"""Maintenance of machines: slots in a queue, disruption budgets, drains, calendar windows."""
