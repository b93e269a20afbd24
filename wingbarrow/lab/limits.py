"""File descriptors that a cluster in one process needs, and the limit of this process."""

from __future__ import annotations

import resource

DESCRIPTORS_PER_MACHINE = 2  # its listener, and the socket that reserves its port
DESCRIPTORS_PER_LINK = 6  # a watch and two concurrent offers or deletions, both ends of each
OTHER_DESCRIPTORS = 512  # clients, the list source, files


def descriptors(nodes: int, placers: int) -> int:
    """Descriptors that a cluster needs under light load."""
    return OTHER_DESCRIPTORS + nodes * (DESCRIPTORS_PER_MACHINE + placers * DESCRIPTORS_PER_LINK)


def raise_descriptors(nodes: int, placers: int) -> tuple[int, int]:
    """Raise the soft limit up to the hard one if needed; returns descriptors needed and available."""
    wanted = descriptors(nodes, placers)
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    available = wanted if hard == resource.RLIM_INFINITY else hard
    if soft != resource.RLIM_INFINITY and soft < wanted <= available:
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(available, wanted * 2), hard))
    return wanted, available
