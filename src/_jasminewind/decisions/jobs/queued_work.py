"""Queued work by latest start, summed in bounded time."""

import typing

# Width of a slot. The shortest jobs have a slack of about 0.13 s.
SLOT_S = 0.01
# Slots in use at a time: 20 s. Work with a later latest start is counted in
# the last one, behind all other work.
SLOTS = 2_000


class Work(typing.NamedTuple):
    """Work of tasks: what they use, and how much has to be free to start.

    A queue of short tasks holds few core-seconds and needs many free cores.
    """

    core_s: float = 0.0
    cores: float = 0.0


class WorkSums:
    """Amounts by slot, of which one ring of slots is in use."""

    def __init__(self) -> None:
        self.slots = [0.0] * SLOTS
        self.late = 0.0
        self.on_time = 0.0

    def add(self, slot: int, amount: float) -> None:
        """Add an amount to a slot that is not late."""
        self.slots[slot % SLOTS] += amount
        self.on_time += amount

    def expire(self, slot: int) -> None:
        """Count what is left in a slot as late."""
        index = slot % SLOTS
        amount = self.slots[index]
        if amount:
            self.slots[index] = 0.0
            self.late += amount
            self.on_time -= amount

    def between(self, first_slot: int, end_slot: int) -> float:
        """Return the sum of a range of slots."""
        low, high = first_slot % SLOTS, end_slot % SLOTS
        if low <= high:
            return sum(self.slots[low:high])
        return sum(self.slots[low:]) + sum(self.slots[:high])


class QueuedWork:
    """Work of the queued tasks of one service, by latest start.

    Adding, removing and summing take bounded time, whatever is queued: a sum
    reads at most one number for each slot. Work whose latest start has passed
    is late, and starts after all work that can still be on time.
    """

    def __init__(self) -> None:
        # Number of the first slot that is not late.
        self.first_slot = 0
        self.core_s = WorkSums()
        self.cores = WorkSums()
        self.size = 0
        # Tasks that wait for capacity alone, not for certain endpoints.
        self.unconstrained = 0

    def add(self, latest_start_s: float, work: Work, now_s: float) -> int:
        """Add the work of a task; return its slot for :meth:`remove`."""
        self.advance(now_s)
        self.size += 1
        slot = int(latest_start_s / SLOT_S)
        slot = min(slot, self.first_slot + SLOTS - 1)
        self.change(slot, work.core_s, work.cores)
        return slot

    def remove(self, slot: int, work: Work) -> None:
        """Remove the work of a task that was added to a slot."""
        self.size -= 1
        self.change(slot, -work.core_s, -work.cores)
        if not self.size:
            # Floating-point rounding errors must not add up.
            for sums in (self.core_s, self.cores):
                sums.late = 0.0
                sums.on_time = 0.0

    def change(self, slot: int, core_s: float, cores: float) -> None:
        """Change the work of a slot."""
        if slot < self.first_slot:
            self.core_s.late += core_s
            self.cores.late += cores
        else:
            self.core_s.add(slot, core_s)
            self.cores.add(slot, cores)

    def advance(self, now_s: float) -> None:
        """Count the work whose latest start has passed as late."""
        current = int(now_s / SLOT_S)
        passed = min(current - self.first_slot, SLOTS)
        for slot in range(self.first_slot, self.first_slot + passed):
            self.core_s.expire(slot)
            self.cores.expire(slot)
        self.first_slot = max(current, self.first_slot)

    def before(self, latest_start_s: float, now_s: float) -> Work:
        """Return the work that starts before a task with a latest start.

        All work that can still be on time starts before a task that cannot.
        """
        self.advance(now_s)
        end = int(latest_start_s / SLOT_S) + 1
        if end <= self.first_slot:
            return self.total()
        if end - self.first_slot >= SLOTS:
            core_s, cores = self.core_s.on_time, self.cores.on_time
        else:
            core_s = self.core_s.between(self.first_slot, end)
            cores = self.cores.between(self.first_slot, end)
        return Work(max(core_s, 0.0), max(cores, 0.0))

    def on_time(self, now_s: float) -> Work:
        """Return the work that can still be on time."""
        self.advance(now_s)
        return Work(
            max(self.core_s.on_time, 0.0), max(self.cores.on_time, 0.0)
        )

    def total(self) -> Work:
        """Return all queued work."""
        return Work(
            max(self.core_s.on_time + self.core_s.late, 0.0),
            max(self.cores.on_time + self.cores.late, 0.0),
        )
