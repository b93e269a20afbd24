"""The laboratory: stand-ins for machines and list source, owners, faults, scripted days, and the auditor."""
