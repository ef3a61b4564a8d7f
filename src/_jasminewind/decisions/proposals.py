"""Changes of the configuration that operators propose at an entry."""

import dataclasses
import enum

import msgspec

from _jasminewind import configuration
from _jasminewind import members
from _jasminewind.decisions import core

PROPOSAL_TIMEOUT_S = 10.0
RETRY_PERIOD_S = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Proposal:
    """A new configuration that replaces version ``expected_version``.

    ``change_id`` is chosen by the caller, who may send the same proposal
    again. The version and the change ids of ``new_config`` are set here.
    """

    change_id: str
    expected_version: int
    new_config: configuration.Configuration


class ProposalStatus(enum.StrEnum):
    """How a proposal ended.

    ``NOT_WRITTEN`` proves that the change did not take effect and never
    will; after ``UNKNOWN`` it may have, or may still, and the caller can
    ask by sending the same change id again.
    """

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    NOT_WRITTEN = "not_written"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ProposalResult(core.Action):
    """Give the caller that waits on ``ticket`` the end of its proposal.

    ``config`` is the accepted configuration, or the winner of a conflict.
    """

    ticket: int
    change_id: str
    status: ProposalStatus
    config: configuration.Configuration
    reason: str = ""


class Stage(enum.StrEnum):
    """What a proposal waits for."""

    PAUSE = "pause"
    READING = "reading"
    WRITING = "writing"
    SPREADING = "spreading"


@dataclasses.dataclass(kw_only=True)
class PendingProposal:
    """A proposal on its way. Times are monotonic seconds.

    ``in_doubt`` is set once a write may have taken effect. A later write
    that certainly failed does not clear it.
    """

    ticket: int
    tag: str
    proposal: Proposal
    deadline_s: float
    stage: Stage = Stage.PAUSE
    next_step_s: float = 0.0
    in_doubt: bool = False
    version: int = 0

    def new_config(
        self, row: configuration.Configuration
    ) -> configuration.Configuration:
        """Return the configuration to write over ``row``."""
        kept = row.change_ids + (self.proposal.change_id,)
        return dataclasses.replace(
            self.proposal.new_config,
            version=row.version + 1,
            change_ids=kept[-configuration.CHANGE_IDS_KEPT :],
        )

    def end(
        self,
        status: ProposalStatus,
        config: configuration.Configuration,
        reason: str,
    ) -> ProposalResult:
        """Return the action that tells the caller."""
        return ProposalResult(
            ticket=self.ticket,
            change_id=self.proposal.change_id,
            status=status,
            config=config,
            reason=reason,
        )

    # Steps

    def read(self) -> core.ReadTable:
        """Read the row that the proposal would replace."""
        self.stage = Stage.READING
        return core.ReadTable(tag=self.tag, keys=(configuration.CONFIG_KEY,))

    def write(
        self, row: configuration.Configuration, row_version: int
    ) -> core.WriteTable:
        """Write over ``row``.

        Sending the same write again is safe: it can only take effect if
        the row still has the version that was read.
        """
        self.stage = Stage.WRITING
        new = self.new_config(row)
        return core.WriteTable(
            tag=self.tag,
            key=configuration.CONFIG_KEY,
            expected_version=row_version,
            value=msgspec.json.encode(new).decode(),
        )

    def pause(self, now: core.Instant) -> None:
        """Wait before the next read."""
        self.stage = Stage.PAUSE
        self.next_step_s = now.mono_s + RETRY_PERIOD_S

    def judge(self, row: configuration.Configuration) -> ProposalStatus | None:
        """Tell what the row proves, ``None`` when the write may go on.

        ``ACCEPTED`` means here that the write took effect.
        """
        if self.proposal.change_id in row.change_ids:
            return ProposalStatus.ACCEPTED
        passed = row.version - self.proposal.expected_version
        if passed == 0:
            return None
        if passed > configuration.CHANGE_IDS_KEPT and self.in_doubt:
            return ProposalStatus.UNKNOWN
        return ProposalStatus.CONFLICT

    def expire(self, config: configuration.Configuration) -> ProposalResult:
        """Return the end of a proposal that has run out of time."""
        if self.stage is Stage.SPREADING:
            return self.end(
                ProposalStatus.UNKNOWN,
                config,
                f"written as version {self.version}, but a majority of "
                "the entries has not confirmed it; send the same change "
                "id again to learn its outcome",
            )
        if self.in_doubt or self.stage is Stage.WRITING:
            return self.end(
                ProposalStatus.UNKNOWN,
                config,
                "the table does not tell whether the change was written; "
                "send the same change id again to learn its outcome",
            )
        return self.end(
            ProposalStatus.NOT_WRITTEN,
            config,
            "the table cannot be reached; nothing was changed",
        )


def has_majority(
    *,
    acked: dict[str, int],
    version: int,
    contacts: tuple[members.Contact, ...],
    majority: int,
) -> bool:
    """Tell whether enough registered entries have ``version``."""
    count = sum(1 for c in contacts if acked.get(c.node.name, 0) >= version)
    return count >= majority
