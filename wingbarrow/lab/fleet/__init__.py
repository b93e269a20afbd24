"""Many placers at once with faults between them: as processes with real links, and on a virtual clock.

The judges read recordings and histories, never a program's own word on how it did.
"""
