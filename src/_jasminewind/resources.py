"""Resource vector: demand of tasks and capacity of endpoints."""

import dataclasses

FIELDS = ("slots", "cores", "memory_mb", "accelerators")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Resources:
    """Amounts of each resource.

    Minions have ``slots``. Workers have processor ``cores``, ``memory_mb``
    (in MiB) and ``accelerators``.
    """

    slots: float = 0.0
    cores: float = 0.0
    memory_mb: float = 0.0
    accelerators: float = 0.0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            slots=self.slots + other.slots,
            cores=self.cores + other.cores,
            memory_mb=self.memory_mb + other.memory_mb,
            accelerators=self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            slots=self.slots - other.slots,
            cores=self.cores - other.cores,
            memory_mb=self.memory_mb - other.memory_mb,
            accelerators=self.accelerators - other.accelerators,
        )

    def scaled(self, factor: float) -> "Resources":
        """Return every amount multiplied by ``factor``."""
        return Resources(
            slots=self.slots * factor,
            cores=self.cores * factor,
            memory_mb=self.memory_mb * factor,
            accelerators=self.accelerators * factor,
        )

    def fits(self, available: "Resources") -> bool:
        """Return whether every amount is at most that of ``available``."""
        return (
            self.slots <= available.slots
            and self.cores <= available.cores
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )

    def share_of(self, total: "Resources") -> float:
        """Return the dominant share, the largest ratio to ``total``."""
        shares = [0.0]
        for field in FIELDS:
            capacity = getattr(total, field)
            demand = getattr(self, field)
            if demand > 0:
                shares.append(
                    demand / capacity if capacity > 0 else float("inf")
                )
        return max(shares)


NOTHING = Resources()
ONE_SLOT = Resources(slots=1.0)
