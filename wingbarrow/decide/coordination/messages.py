"""Messages of coordination: lease requests and what answers them; and the times that go with them.

Fields have the names that they have on the wire (`wingbarrow.peers.message`), the field's terms stand beside them. Each
subsystem has a field of its name in `LeaseRequest` (its report) and in `LeaseGrant` (its response).
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
    """A placer asks for its lease to be renewed. Rules that it holds already need not come with the grant."""

    number: int  # of this request, by its sender
    edition: int  # revision of the rule set that it holds; 0 for none
    floor: int  # likewise
    life: int = 0  # incarnation
    up_us: int = 0  # since this incarnation began
    stated: tuple[QuotaReport, ...] = ()  # what it holds, uses and demands of the fleet's limits
    region: str = ""
    evidence: tuple[HealthReport, ...] = ()  # on machines, of `tried` in all, `bad` of them bad
    bad: int = 0
    tried: int = 0
    sessions: SessionsReport | None = None
    turns: MaintenanceReport | None = None
    regions: RegionReport | None = None
    reign: int = 0  # term of the leader whose grant it took last
    forward: bool = False  # the leader does not answer: the receiver is to forward this to it


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """The answer: act on revision `edition` for `lasts_us` from when you requested it. Rules that you hold are ""."""

    number: int  # of the request
    edition: int
    rules: str
    lasts_us: int
    version: int  # the latest version of the rule set
    floor: int  # 0 for none
    floor_rules: str
    floor_us: int  # how long the lease of the floor lasts, likewise from the request
    rights: tuple[QuotaGrant, ...] = ()  # quotas, in place of what was reported
    closed: tuple[Ejection, ...] = ()  # machines that are ejected
    sessions: SessionsResponse | None = None
    turns: MaintenanceResponse | None = None
    regions: tuple[RegionSummary, ...] | None = None
    reign: int = 0  # term of the leader that grants
    leader: str = ""


@dataclass(frozen=True, slots=True)
class NotLeader:
    """The answer of one that does not lead; `leader` is "" where it knows none."""

    number: int  # of the request
    leader: str


@dataclass(frozen=True, slots=True)
class RelayedRequest:
    """Voter to leader: the request of the placer `ident`."""

    ident: str
    ask: LeaseRequest


@dataclass(frozen=True, slots=True)
class RelayedGrant:
    """Leader to voter: the grant for the placer `ident`."""

    ident: str
    grant: LeaseGrant


Message = LeaseRequest | LeaseGrant | NotLeader | RelayedRequest | RelayedGrant | consensus.Message


@dataclass(frozen=True, slots=True)
class Timing:
    """The times of coordination, in microseconds; the same at all placers."""

    grant_us: int = 2_000_000  # how long a lease of the rule set lasts
    # Short, so that the next leader answers before leases that the last one granted expire.
    election_us: int = 500_000
    batch_us: int = (
        20_000  # requests of that long are answered together, by one round of the voters
    )
    retry_us: int = 200_000  # after which a request without an answer is sent again

    def reacquire_us(self) -> int:
        """Within what time a placer that is in touch with a majority of the voters holds a lease and its quotas again.

        A leader that nobody answers steps down after two election timeouts at most; another is elected within two, and
        once more where votes are split. Then requests find it: at most four in turn, through a relay where the leader
        itself does not answer, and the last request may have been sent right before.
        """
        return 6 * self.election_us + 6 * self.retry_us + self.grant_us // 3

    def overlap_us(self, turn_us: int) -> int:
        """For how long after the first act under new rules somebody may act under those before ("the stated time").

        A lease of the old ones was requested before the new ones were committed, and lasts `grant_us` by its holder's
        clock. A placer asks right before the first byte, which may then wait for `turn_us`, the hub's longest turn.
        """
        return lease_expiry_us(0, self.grant_us) + turn_us
