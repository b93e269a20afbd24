"""Messages of coordination: lease requests, their responses, and the related timing parameters.

Field names are those on the wire (`wingbarrow.peers.message`); comments give the usual terms. Each subsystem has a
field of its name in `LeaseRequest` (its report) and in `LeaseGrant` (its response).
"""

from __future__ import annotations

from dataclasses import dataclass

from wingbarrow.decide.consensus import messages as consensus
from wingbarrow.decide.coordination.leases import lease_expiry_us
from wingbarrow.decide.maintenance.messages import MaintenanceReport, MaintenanceResponse
from wingbarrow.decide.outliers.ejections import Ejection
from wingbarrow.decide.outliers.health import HealthReport
from wingbarrow.decide.quotas.escrow import QuotaGrant, QuotaReport
from wingbarrow.decide.regions.reports import RegionReport, RegionSummary
from wingbarrow.decide.sessions.messages import SessionsReport, SessionsResponse


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Request to renew a placer's lease. It states which rules the placer holds, so that the grant can omit them."""

    number: int  # sequence number of the request at its sender
    edition: int  # revision of the rule set that the sender holds; 0 for none
    floor: int  # number of the floor that the sender holds; 0 for none
    life: int = 0  # incarnation of the sender
    up_us: int = 0  # time since this incarnation started
    stated: tuple[QuotaReport, ...] = ()  # quota held, used and demanded, by limit
    region: str = ""
    evidence: tuple[HealthReport, ...] = ()  # health reports on machines
    bad: int = 0  # number of machines that the sender sees as outliers
    tried: int = 0  # number of machines that the sender has observed
    sessions: SessionsReport | None = None
    turns: MaintenanceReport | None = None
    regions: RegionReport | None = None
    reign: int = 0  # term of the leader that gave the latest grant
    forward: bool = False  # the receiver is to forward the request, as the leader does not respond to the sender


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """Grant of a lease: the requester may act on revision `edition` for `lasts_us` from its request on.

    Rules that the requester holds already are "".
    """

    number: int  # of the request
    edition: int  # revision of the rule set
    rules: str
    lasts_us: int
    version: int  # the latest version of the rule set
    floor: int  # number of the floor; 0 for none
    floor_rules: str
    floor_us: int  # duration of the lease of the floor, also from the request on
    rights: tuple[QuotaGrant, ...] = ()  # quota shares, which replace the reported ones
    closed: tuple[Ejection, ...] = ()  # ejected machines
    sessions: SessionsResponse | None = None
    turns: MaintenanceResponse | None = None
    regions: tuple[RegionSummary, ...] | None = None
    reign: int = 0  # term of the leader that grants the lease
    leader: str = ""


@dataclass(frozen=True, slots=True)
class NotLeader:
    """Response of a placer that is not the leader; `leader` is the leader that it knows, "" for none."""

    number: int  # of the request
    leader: str


@dataclass(frozen=True, slots=True)
class RelayedRequest:
    """A request of the placer `ident`, forwarded by a voter to the leader."""

    ident: str
    ask: LeaseRequest


@dataclass(frozen=True, slots=True)
class RelayedGrant:
    """A grant for the placer `ident`, sent by the leader to the voter that forwarded the request."""

    ident: str
    grant: LeaseGrant


Message = LeaseRequest | LeaseGrant | NotLeader | RelayedRequest | RelayedGrant | consensus.Message


@dataclass(frozen=True, slots=True)
class Timing:
    """Timing parameters of coordination in microseconds; they must be the same at all placers."""

    grant_us: int = 2_000_000  # duration of a lease of the rule set
    # Minimum election timeout; short, so that a new leader responds before leases by its predecessor expire.
    election_us: int = 500_000
    # Requests that arrive within this time are batched: one broadcast to the voters confirms leadership for all.
    batch_us: int = 20_000
    retry_us: int = 200_000  # time after which an unanswered request is retried

    def reacquire_us(self) -> int:
        """Time within which a placer with contact to a majority of the voters regains a lease and its quotas.

        A leader without responses steps down after at most two election timeouts. Another is elected within two, or
        four if votes are split. Then at most four requests in sequence reach it, through a relay if the leader itself
        does not respond; the first of them may follow up to one request interval later.
        """
        return 6 * self.election_us + 6 * self.retry_us + self.grant_us // 3

    def overlap_us(self, max_iteration_us: int) -> int:
        """Maximum time for which some placer may act on the previous rules after another first acts on the new ones.

        A lease of the previous rules was requested before the new ones were committed, and lasts `grant_us` by its
        holder's clock. A placer checks the lease right before it sends the first byte, which may then be delayed by one
        iteration of its event loop, `max_iteration_us` at most.
        """
        return lease_expiry_us(0, self.grant_us) + max_iteration_us
