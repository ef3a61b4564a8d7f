"""Registration of entries in the platform's table, with expiry."""

import dataclasses

import msgspec

from _jasminewind import errors
from _jasminewind import json_input
from _jasminewind import members
from _jasminewind.decisions import core

KEY_PREFIX = "entry/"
REFRESH_PERIOD_S = 10.0
RETRY_PERIOD_S = 1.0
EXPIRE_AFTER_S = 60.0
# Any other entry deletes a row that was not refreshed for this long.
DELETE_AFTER_S = 120.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryRow:
    """Table row by which an entry registers itself.

    ``beat`` increases with every refresh by one incarnation.
    """

    contact: members.Contact
    beat: int


@dataclasses.dataclass(kw_only=True)
class ObservedRow:
    """A registry row and when this process first read its version."""

    row: EntryRow
    version: int
    changed_s: float


class Registry:
    """One entry's view of the registered entries.

    A row expires when its version has not changed for 60 s by the reader's
    own clock, so that clocks need not be synchronised. Time without a
    successful read does not count, because rows cannot be refreshed during
    an outage of the table.
    """

    def __init__(self, *, member: members.Member, tag: str) -> None:
        self.member = member
        self.tag = tag
        self.observed: dict[str, ObservedRow] = {}
        self.own_version = 0
        self.refresh_count = 0
        self.is_writing = False
        self.next_write_s = 0.0
        self.write_started_s = 0.0
        self.last_registered_s: float | None = None
        self.last_read_s: float | None = None

    def contacts(self) -> tuple[members.Contact, ...]:
        """Return the registered entries, this one included, by name."""
        found = {
            s.row.contact.node.name: s.row.contact
            for s in self.observed.values()
            if not self._is_expired(s)
        }
        found[self.member.node.name] = members.Contact(
            node=self.member.node, address=self.member.address
        )
        return tuple(found[name] for name in sorted(found))

    def other_contacts(self) -> tuple[members.Contact, ...]:
        """Return the registered entries other than this one."""
        name = self.member.node.name
        return tuple(c for c in self.contacts() if c.node.name != name)

    def majority_size(self) -> int:
        """Return how many entries form a majority of the registered ones."""
        return len(self.contacts()) // 2 + 1

    def may_have_expired(self, now: core.Instant) -> bool:
        """Return whether the row of this entry may have expired for others."""
        if self.last_registered_s is None:
            return True
        return now.mono_s - self.last_registered_s >= EXPIRE_AFTER_S

    def on_read(
        self, rows: tuple[core.TableRow, ...], now: core.Instant
    ) -> core.Actions:
        """Process all registry rows of a successful read."""
        self._skip_outage(now)
        present = set()
        for row in rows:
            if not row.key.startswith(KEY_PREFIX) or row.version == 0:
                continue
            present.add(row.key)
            self._on_row(row, now)
        for key in list(self.observed):
            if key not in present:
                del self.observed[key]
        if self.own_key() not in present and not self.is_writing:
            self.own_version = 0
        return self._delete_expired(now)

    def on_tick(self, now: core.Instant) -> core.Actions:
        """Write this entry's row after the first read and every 10 s."""
        if self.last_read_s is None or self.is_writing:
            return []
        if now.mono_s < self.next_write_s:
            return []
        self.is_writing = True
        self.write_started_s = now.mono_s
        self.refresh_count += 1
        row = EntryRow(
            contact=members.Contact(
                node=self.member.node, address=self.member.address
            ),
            beat=self.refresh_count,
        )
        return [
            core.WriteTable(
                tag=self.tag,
                key=self.own_key(),
                expected_version=self.own_version,
                value=msgspec.json.encode(row).decode(),
            )
        ]

    def on_written(
        self, reply: core.TableWriteReply, now: core.Instant
    ) -> None:
        """Process the outcome of a registry write."""
        if reply.key != self.own_key():
            return
        self.is_writing = False
        if reply.error is None:
            self.own_version = reply.version
            self.last_registered_s = self.write_started_s
            self.next_write_s = self.write_started_s + REFRESH_PERIOD_S
            return
        # After a conflict or an unknown outcome, the next read returns the
        # version of this entry's row.
        self.next_write_s = now.mono_s + RETRY_PERIOD_S
        if reply.error.failure is errors.TableFailure.CONFLICT:
            self.next_write_s = now.mono_s + 2 * RETRY_PERIOD_S

    def own_key(self) -> str:
        """Return the key of this entry's row."""
        return KEY_PREFIX + self.member.node.name

    def _on_row(self, row: core.TableRow, now: core.Instant) -> None:
        if row.key == self.own_key() and not self.is_writing:
            self.own_version = row.version
        known = self.observed.get(row.key)
        if known is not None and known.version == row.version:
            return
        decoded = json_input.decode(row.value, EntryRow)
        if decoded.is_err():
            return
        value = decoded.unwrap()
        if not members.is_valid_address(value.contact.address):
            return
        self.observed[row.key] = ObservedRow(
            row=value, version=row.version, changed_s=now.mono_s
        )

    def _skip_outage(self, now: core.Instant) -> None:
        """Count at most one refresh period per read towards expiry."""
        if self.last_read_s is not None:
            gap_s = now.mono_s - self.last_read_s - REFRESH_PERIOD_S
            if gap_s > 0:
                for observed in self.observed.values():
                    observed.changed_s += gap_s
        self.last_read_s = now.mono_s

    def _is_expired(self, observed: ObservedRow) -> bool:
        if self.last_read_s is None:
            return False
        return self.last_read_s - observed.changed_s >= EXPIRE_AFTER_S

    def _delete_expired(self, now: core.Instant) -> core.Actions:
        actions: core.Actions = []
        for key, observed in self.observed.items():
            if key == self.own_key():
                continue
            if now.mono_s - observed.changed_s >= DELETE_AFTER_S:
                actions.append(
                    core.WriteTable(
                        tag=self.tag,
                        key=key,
                        expected_version=observed.version,
                        value=None,
                    )
                )
        return actions
