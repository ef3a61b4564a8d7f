"""The shard map and the members of all cells, as an entry knows them."""

import bisect
import collections.abc
import dataclasses
import random

from _jasminewind import configuration
from _jasminewind import ids
from _jasminewind import members as processes
from _jasminewind import shards
from _jasminewind.decisions import cells
from _jasminewind.decisions import core
from _jasminewind.messages import membership
from _jasminewind.messages import ownership

# A reporter sends at least every 3 s; after three periods without a word
# its part of the view says nothing about the present.
REPORT_EXPIRES_S = 10.0
REPORT_FORGOTTEN_S = 600.0
JOINER_EXPIRES_S = 30.0
REQUEST_PERIOD_S = 1.0
# Each name is looked up in all reports, 188 at the target size; beyond this
# many names a rebuild of the whole view costs less.
MAX_UPDATES = 500


@dataclasses.dataclass(kw_only=True)
class CellReport:
    """What one reporter has told of its cell."""

    reporter: processes.NodeId
    cell: int
    sequence: int
    heard_s: float
    records: dict[str, processes.Member]
    rows: dict[int, shards.ShardRow]
    complete: bool = False
    expired: bool = False
    asked_s: float = float("-inf")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Joiner:
    """An agent that joined here and that no reporter has told of yet."""

    record: processes.Member
    since_s: float


class Directory(core.StateMachine):
    """Members and shard owners by the reports of the cells."""

    def __init__(
        self, *, member: processes.Member, rng: random.Random
    ) -> None:
        self.member = member
        self.rng = rng
        self.config = configuration.NO_CONFIGURATION
        self.reports: dict[processes.NodeId, CellReport] = {}
        self.joiners: dict[str, Joiner] = {}
        self.rows: dict[int, shards.ShardRow] = {}
        self.entries: tuple[processes.Contact, ...] = ()
        self.outstanding: dict[processes.NodeId, int] = {}
        self.cached_members: dict[str, processes.Member] | None = None
        self.cached_view: tuple[processes.Member, ...] = ()
        self.changed_names: set[str] = set()

    def handles(self) -> collections.abc.Iterable[type]:
        """Return the messages by which agents report."""
        return (
            membership.CellDigest,
            membership.DigestBeat,
            membership.Join,
            membership.Leave,
            ownership.OwnerAnnounce,
        )

    # Questions

    def members(self) -> tuple[processes.Member, ...]:
        """Return the live members of every cell, by name."""
        self._by_name()
        return self.cached_view

    def live_member(self, node: processes.NodeId) -> processes.Member | None:
        """Return the record of a live incarnation."""
        found = self._by_name().get(node.name)
        return found if found and found.node == node else None

    def is_alive(self, node: processes.NodeId) -> bool:
        """Tell whether a reporter lists this incarnation as not suspect."""
        found = self.live_member(node)
        return found is not None and not found.suspect

    def shard_of(self, work_id: str) -> int:
        """Return the shard of an id under the current configuration."""
        return ids.shard_of(work_id, shard_count=self.config.shard_count)

    def owner_of(self, work_id: str) -> shards.Interval | None:
        """Return the interval, current or earlier, that holds an id.

        An id above the ceiling of the current row belongs to its owner,
        who extends by promises that the row does not show.
        """
        row = self.rows.get(self.shard_of(work_id))
        if row is None:
            return None
        time_ms = ids.time_ms(work_id)
        if time_ms > row.current.floor_ms:
            if row.closed and time_ms > row.current.ceiling_ms:
                return None
            return row.current
        return next((i for i in row.earlier if i.covers(time_ms)), None)

    def later_owners_of(self, work_id: str) -> tuple[shards.Interval, ...]:
        """Return the intervals above an id, the current one first.

        Their owners cannot start the id. The one that owned the shard when
        an earlier owner left has the records that were handed over.
        """
        row = self.rows.get(self.shard_of(work_id))
        if row is None:
            return ()
        time_ms = ids.time_ms(work_id)
        known = (row.current, *row.earlier)
        above = (i for i in known if time_ms <= i.floor_ms)
        return tuple(sorted(above, key=lambda i: i.epoch, reverse=True))

    def least_loaded_shard(self, now: core.Instant) -> int | None:
        """Return a shard whose owner lives and has the least to do.

        Ties are broken at random. ``None`` means that no shard can take
        new work.
        """
        del now
        best: list[int] = []
        best_load: float = float("inf")
        for shard in range(self.config.shard_count):
            load = self.load_of(shard)
            if load is None or load > best_load:
                continue
            if load < best_load:
                best = []
                best_load = load
            best.append(shard)
        return self.rng.choice(best) if best else None

    def load_of(self, shard: int) -> float | None:
        """Return the work outstanding at the owner of ``shard``.

        ``None`` means that the shard can take no new work.
        """
        row = self.rows.get(shard)
        if row is None or row.closed:
            return None
        owner = self.live_member(row.current.owner)
        if owner is None or owner.suspect:
            return None
        if owner.state is not processes.State.SERVING:
            return None
        return self.outstanding.get(owner.node, 0)

    def adjust_outstanding(self, node: processes.NodeId, change: int) -> None:
        """Count work that this entry has sent and that is unanswered."""
        count = self.outstanding.get(node, 0) + change
        if count > 0:
            self.outstanding[node] = count
        else:
            self.outstanding.pop(node, None)

    # Events

    def set_entries(self, entries: tuple[processes.Contact, ...]) -> None:
        """Take the registered entries that a ``Welcome`` reveals."""
        self.entries = entries

    def on_config(
        self, config: configuration.Configuration, now: core.Instant
    ) -> core.Actions:
        """Take the number of shards and cells."""
        if config.cell_count != self.config.cell_count:
            self.reports.clear()
            self._changed()
        self.config = config
        return []

    def on_message(
        self, sender: processes.NodeId, message: object, now: core.Instant
    ) -> core.Actions:
        """Handle a report, an announcement or a joining agent."""
        match message:
            case membership.CellDigest():
                return self._on_digest(message, now)
            case membership.DigestBeat():
                return self._on_digest_beat(sender, message, now)
            case membership.Join():
                return self._on_join(sender, message, now)
            case membership.Leave():
                self._on_leave(message.node)
            case ownership.OwnerAnnounce():
                self._merge_row(message.row)
        return []

    def on_tick(self, now: core.Instant) -> core.Actions:
        """Drop reports and joiners that are too old."""
        for node, report in list(self.reports.items()):
            silence_s = now.mono_s - report.heard_s
            if silence_s >= REPORT_EXPIRES_S and not report.expired:
                report.expired = True
                self._changed()
            if silence_s >= REPORT_FORGOTTEN_S:
                del self.reports[node]
        for name, joiner in list(self.joiners.items()):
            if now.mono_s - joiner.since_s >= JOINER_EXPIRES_S:
                del self.joiners[name]
        return []

    def _on_digest(
        self, digest: membership.CellDigest, now: core.Instant
    ) -> core.Actions:
        for row in digest.rows:
            self._merge_row(row)
        report = self._heard(digest.reporter, digest.cell, now)
        if digest.full:
            if digest.sequence < report.sequence:
                return []
            report.records.clear()
            report.rows.clear()
            report.complete = True
        elif digest.sequence <= report.sequence:
            return []
        elif report.sequence + 1 != digest.sequence:
            report.complete = False
        report.sequence = digest.sequence
        self._fold(report, digest)
        if not digest.full and self._hash(report) != digest.digest_hash:
            report.complete = False
        if report.complete:
            return []
        return self._request(report, now)

    def _fold(self, report: CellReport, digest: membership.CellDigest) -> None:
        for record in digest.records:
            report.records[record.node.name] = record
            self.joiners.pop(record.node.name, None)
        for node in digest.gone:
            known = report.records.get(node.name)
            if known and known.node == node:
                del report.records[node.name]
        for row in digest.rows:
            report.rows[row.shard] = row
        if digest.full or digest.gone:
            self._changed()
        else:
            self.changed_names.update(r.node.name for r in digest.records)

    def _heard(
        self, reporter: processes.NodeId, cell: int, now: core.Instant
    ) -> CellReport:
        report = self.reports.get(reporter)
        if report is None or report.cell != cell:
            report = CellReport(
                reporter=reporter,
                cell=cell,
                sequence=-1,
                heard_s=now.mono_s,
                records={},
                rows={},
            )
            self.reports[reporter] = report
        report.heard_s = now.mono_s
        if report.expired:
            report.expired = False
            self._changed()
        return report

    def _on_digest_beat(
        self,
        sender: processes.NodeId,
        beat: membership.DigestBeat,
        now: core.Instant,
    ) -> core.Actions:
        report = self._heard(sender, beat.cell, now)
        if beat.seq < report.sequence:
            return []
        if beat.seq != report.sequence or beat.hash != self._hash(report):
            report.complete = False
        if report.complete:
            return []
        return self._request(report, now)

    def _request(self, report: CellReport, now: core.Instant) -> core.Actions:
        """Ask a reporter for its whole view, at most once a second."""
        if now.mono_s - report.asked_s < REQUEST_PERIOD_S:
            return []
        record = self._record_of(report.reporter)
        report.asked_s = now.mono_s
        return [
            core.Send(
                to=report.reporter,
                address=record.address if record else processes.NO_ADDRESS,
                message=membership.DigestRequest(cell=report.cell),
            )
        ]

    def _record_of(self, node: processes.NodeId) -> processes.Member | None:
        for report in self.reports.values():
            record = report.records.get(node.name)
            if record and record.node == node:
                return record
        joiner = self.joiners.get(node.name)
        if joiner and joiner.record.node == node:
            return joiner.record
        return None

    def _on_join(
        self,
        sender: processes.NodeId,
        message: membership.Join,
        now: core.Instant,
    ) -> core.Actions:
        # Without a configuration the number of cells is not known, and a
        # wrong cell would scatter the fleet.
        if self.config.version == 0:
            return []
        record = message.member
        known = self.live_member(record.node)
        if known is None:
            self.joiners[record.node.name] = Joiner(
                record=record, since_s=now.mono_s
            )
        cell = cells.cell_of(
            record.node.name, cell_count=self.config.cell_count
        )
        records = self._cell_members(cell)
        nodes = {r.node for r in records} | {record.node}
        if message.view_hash == cells.names_hash(nodes):
            records = ()
        welcome = membership.Welcome(
            cell=cell,
            cell_count=self.config.cell_count,
            records=records,
            entries=self.entries or (self._contact(),),
        )
        return [core.Send(to=sender, address=record.address, message=welcome)]

    def _contact(self) -> processes.Contact:
        return processes.Contact(
            node=self.member.node, address=self.member.address
        )

    def _cell_members(self, cell: int) -> tuple[processes.Member, ...]:
        found = {m.node.name: m for m in self.members()}
        for joiner in self.joiners.values():
            record = joiner.record
            known = found.get(record.node.name)
            if known is None or known.node < record.node:
                found[record.node.name] = record
        count = self.config.cell_count
        return tuple(
            m
            for m in found.values()
            if cells.cell_of(m.node.name, cell_count=count) == cell
        )

    def _on_leave(self, node: processes.NodeId) -> None:
        joiner = self.joiners.get(node.name)
        if joiner and joiner.record.node == node:
            del self.joiners[node.name]
        for report in self.reports.values():
            known = report.records.get(node.name)
            if known and known.node == node:
                leaving = dataclasses.replace(
                    known, state=processes.State.LEAVING
                )
                report.records[node.name] = leaving
                self.changed_names.add(node.name)

    def _merge_row(self, row: shards.ShardRow) -> None:
        if cells.is_newer_row(row, self.rows.get(row.shard)):
            self.rows[row.shard] = row

    def _hash(self, report: CellReport) -> int:
        return cells.view_hash(report.records.values(), report.rows.values())

    def _changed(self) -> None:
        self.cached_members = None

    def _best(self, name: str) -> processes.Member | None:
        """Return the best record of one name in all reports."""
        best: processes.Member | None = None
        for report in self.reports.values():
            record = None if report.expired else report.records.get(name)
            if record and (best is None or _prefer(record, best)):
                best = record
        return best

    def _update(self, found: dict[str, processes.Member]) -> bool:
        """Bring the changed names up to date; tell whether that is enough.

        A rebuild takes 40 ms at 12,000 members. It is needed only when a
        member appears or moves, because that can hide or show another
        member at the same address.
        """
        view = list(self.cached_view)
        for name in self.changed_names:
            known = found.get(name)
            best = self._best(name)
            if known is None or best is None:
                return False
            if best.address != known.address:
                return False
            if best.node.incarnation < known.node.incarnation:
                return False
            found[name] = best
            # The view is sorted by name, and the names stay the same.
            place = bisect.bisect_left(view, name, key=lambda m: m.node.name)
            view[place] = best
        self.cached_view = tuple(view)
        return True

    def _by_name(self) -> dict[str, processes.Member]:
        """Return the union of all reports; the best record of a name wins.

        A member that one reporter hears is alive, although another one
        may suspect it.
        """
        if self.cached_members is not None and self.changed_names:
            many = len(self.changed_names) > MAX_UPDATES
            if many or not self._update(self.cached_members):
                self.cached_members = None
        self.changed_names.clear()
        if self.cached_members is None:
            found: dict[str, processes.Member] = {}
            for report in self.reports.values():
                if report.expired:
                    continue
                for name, record in report.records.items():
                    known = found.get(name)
                    if known is None or _prefer(record, known):
                        found[name] = record
            found = _without_replaced(found)
            self.cached_members = found
            self.cached_view = tuple(found[name] for name in sorted(found))
        return self.cached_members


def _prefer(record: processes.Member, known: processes.Member) -> bool:
    """Tell whether ``record`` says more than ``known`` of one name."""
    return (
        record.node.incarnation,
        not record.suspect,
        record.sequence,
    ) > (known.node.incarnation, not known.suspect, known.sequence)


def _without_replaced(
    found: dict[str, processes.Member],
) -> dict[str, processes.Member]:
    """Drop names whose address a later incarnation has taken."""
    latest: dict[processes.Address, processes.Member] = {}
    for record in found.values():
        known = latest.get(record.address)
        if known is None or known.node.incarnation < record.node.incarnation:
            latest[record.address] = record
    return {m.node.name: m for m in latest.values()}
