"""Dependencies between the steps of a job."""

import collections.abc
import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class StepGraph:
    """What follows from the dependencies of a job's steps.

    Steps have numbers, and depend on steps with lower ones.
    ``dependents`` holds the steps that wait for each step,
    ``prerequisite_counts`` how many steps each one waits for, and
    ``remaining_path_s`` the estimated time from the start of each step to the
    end of the job.
    """

    dependents: tuple[tuple[int, ...], ...]
    prerequisite_counts: tuple[int, ...]
    remaining_path_s: tuple[float, ...]

    @classmethod
    def from_dependencies(
        cls,
        prerequisites: collections.abc.Sequence[
            collections.abc.Collection[int]
        ],
        estimates_s: collections.abc.Sequence[float],
    ) -> "StepGraph":
        """Return the graph of steps with these prerequisites and run times.

        A job may have thousands of steps and dependencies, and many more
        paths, so each dependency is visited once.
        """
        dependents: list[list[int]] = [[] for _ in prerequisites]
        counts = []
        for number, earlier_steps in enumerate(prerequisites):
            distinct = set(earlier_steps)
            counts.append(len(distinct))
            for earlier in distinct:
                dependents[earlier].append(number)
        remaining_s = list(estimates_s)
        for number in reversed(range(len(remaining_s))):
            remaining_s[number] += max(
                (remaining_s[later] for later in dependents[number]),
                default=0.0,
            )
        return cls(
            dependents=tuple(map(tuple, dependents)),
            prerequisite_counts=tuple(counts),
            remaining_path_s=tuple(remaining_s),
        )

    @property
    def critical_path_s(self) -> float:
        """Return the estimated run time of the longest chain of steps."""
        return max(self.remaining_path_s, default=0.0)
