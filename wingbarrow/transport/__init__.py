"""Greenlets over `select.poll`: one hub with timers, cancel scopes, sockets and channels; no threads.

All code reads time from the hub's clock, real or virtual. A domain can be suspended or killed like a process.
"""

from wingbarrow.transport.channel import Channel, Closed, Full, Signal
from wingbarrow.transport.clock import Clock, RealClock, VirtualClock
from wingbarrow.transport.domain import Domain
from wingbarrow.transport.hub import Hub, Timer
from wingbarrow.transport.net import Listener, PeerGone, Stream, connect, listen
from wingbarrow.transport.nursery import Nursery
from wingbarrow.transport.outbox import Outbox
from wingbarrow.transport.scopes import Cancelled, CancelScope, Task
from wingbarrow.transport.turns import MessageTurns

__all__ = [
    "CancelScope",
    "Cancelled",
    "Channel",
    "Clock",
    "Closed",
    "Domain",
    "Full",
    "Hub",
    "Listener",
    "MessageTurns",
    "Nursery",
    "Outbox",
    "PeerGone",
    "RealClock",
    "Signal",
    "Stream",
    "Task",
    "Timer",
    "VirtualClock",
    "connect",
    "listen",
]
