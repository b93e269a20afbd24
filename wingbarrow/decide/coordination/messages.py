"""What is asked and answered about acting on rules: asks, grants, who leads; and the times that go with them."""

from __future__ import annotations

from dataclasses import dataclass

from wingbarrow.decide.consensus import messages as consensus
from wingbarrow.decide.coordination.leases import lease_expiry_us
from wingbarrow.decide.maintenance.messages import MaintenanceReport, MaintenanceResponse
from wingbarrow.decide.outliers.ejection import Ejection, HealthReport
from wingbarrow.decide.quotas.escrow import QuotaGrant, QuotaReport
from wingbarrow.decide.regions.reports import RegionReport, RegionSummary
from wingbarrow.decide.sessions.messages import SessionsReport, SessionsResponse


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """May I act? `edition`, `floor`: what the asker acts on, so that their rules need not be said again."""

    number: int
    edition: int
    floor: int
    life: int = 0  # of the asker, and for how long it has lasted
    up_us: int = 0
    stated: tuple[QuotaReport, ...] = ()  # what it holds, uses and wants of the fleet's limits
    region: str = ""
    evidence: tuple[
        HealthReport, ...
    ] = ()  # what it saw of machines lately: of `tried` ones it found `bad` bad
    bad: int = 0
    tried: int = 0
    sessions: SessionsReport | None = None
    turns: MaintenanceReport | None = None
    regions: RegionReport | None = None
    reign: int = 0  # of the grant that the asker took last
    forward: bool = False  # the leader does not answer: whoever is asked is to pass this on to it


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """You may, for so long from when you asked. Rules are empty where the asker has them."""

    number: int
    edition: int
    rules: str
    lasts_us: int
    version: int
    floor: int
    floor_rules: str
    floor_us: int
    rights: tuple[QuotaGrant, ...] = ()  # in place of what was stated
    closed: tuple[Ejection, ...] = ()  # machines that verdicts close
    sessions: SessionsResponse | None = None
    turns: MaintenanceResponse | None = None
    regions: tuple[RegionSummary, ...] | None = None
    reign: int = 0  # the term of the leader that answers
    leader: str = ""


@dataclass(frozen=True, slots=True)
class NotLeader:
    """Ask that one instead; "" where none is known."""

    number: int
    leader: str


@dataclass(frozen=True, slots=True)
class RelayedRequest:
    """A voter passes on what another placer asks."""

    ident: str
    ask: LeaseRequest


@dataclass(frozen=True, slots=True)
class RelayedGrant:
    """The answer to it, to be passed back."""

    ident: str
    grant: LeaseGrant


Message = LeaseRequest | LeaseGrant | NotLeader | RelayedRequest | RelayedGrant | consensus.Message


@dataclass(frozen=True, slots=True)
class Timing:
    """Times in microseconds."""

    grant_us: int = 2_000_000
    election_us: int = (
        500_000  # short, so that another leader answers before grants of the last one lapse
    )
    batch_us: int = 20_000  # asks are answered together, one round of the voters for all
    retry_us: int = 200_000  # an ask without an answer is sent again, to another voter

    def reacquire_us(self) -> int:
        """Within what time a placer that is in touch with a majority of the voters holds a grant and its rights again.

        A leader that nobody answers steps down after two elections' time at most, followers stand within two, once
        more where votes are split; then asks find it, at most four in turn, by way of a voter where the leader itself
        does not answer, and the last one may have been sent right before.
        """
        return 6 * self.election_us + 6 * self.retry_us + self.grant_us // 3

    def overlap_us(self, turn_us: int) -> int:
        """For how long after the first act under new rules somebody may act under those before: the stated time.

        A grant of the old ones was asked for before the new ones were decided, and lasts `grant_us` by its holder's
        clock; the gate asks right before the first byte, which may then wait for the hub's longest turn.
        """
        return lease_expiry_us(0, self.grant_us) + turn_us
