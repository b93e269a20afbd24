"""Who may end a task, and whether its owners have to be told then.

A placed task belongs to no connection: its owner may end it on one that it has just opened. An id alone proves nothing,
as a client may ask under the id of another's task. So what a release on a connection speaks of is decided by what
that connection asked for:

| the connection | may end a pending task | may end a running task | owners are told |
| --- | --- | --- | --- |
| asked for this task | yes | yes | no, its owner has ended it |
| asked under an id that was in use | no | no: it speaks of its own, refused set-up | |
| received the answer for a placed task | no | yes | no, it is an owner's |
| any other | no | yes: it may be an owner's new connection | yes, as it may not be |
"""

from __future__ import annotations

from enum import Enum

from wingbarrow.decide.connection_limits import ConnectionActivity


class EndAuthority(Enum):
    """What a client's release does to a task."""

    NONE = "the client may not end the task"
    OWNER = "an owner ends it"
    POSSIBLE_OWNER = "it ends, and owners are told"


def authority_to_end(
    connection: ConnectionActivity, asked_for_it: bool, is_pending: bool
) -> EndAuthority:
    """What a release on `connection` does to a task; `asked_for_it`: the task's set-up arrived there."""
    if asked_for_it:
        return EndAuthority.OWNER
    if is_pending or connection.asked_under_used_id:
        return EndAuthority.NONE
    return EndAuthority.OWNER if connection.received_answer else EndAuthority.POSSIBLE_OWNER


__all__ = ["EndAuthority", "authority_to_end"]
