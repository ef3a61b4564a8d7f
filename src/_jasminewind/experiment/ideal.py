"""The best that the same slots could do for the same arrivals."""

import collections.abc
import dataclasses
import heapq


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrival:
    """A task with its true run time at speed 1; times in seconds."""

    at_s: float
    run_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Placement:
    """When a task runs, and the speed of its slot."""

    start_s: float
    end_s: float
    speed: float


def work_done(
    arrivals: collections.abc.Sequence[Arrival],
    speeds: collections.abc.Sequence[float],
    *,
    begin_s: float,
    end_s: float,
) -> float:
    """Return the work that the slots can do in a span.

    It is in slot seconds at speed 1. A slot works whenever a task waits.
    """
    return sum(
        max(0.0, min(each.end_s, end_s) - max(each.start_s, begin_s))
        * each.speed
        for each in shortest_first(arrivals, speeds)
    )


def response_times(
    arrivals: collections.abc.Sequence[Arrival],
    speeds: collections.abc.Sequence[float],
) -> list[float]:
    """Return the response time of each arrival, in the order given.

    The schedule is central, clairvoyant and without overhead. Finding the
    optimum is intractable; of two list schedules, the one with the lower
    mean is returned. ``speeds`` has one entry for each slot.
    """
    schedules = (
        earliest_completion(arrivals, speeds),
        shortest_first(arrivals, speeds),
    )
    times = [
        [
            placed.end_s - arrival.at_s
            for placed, arrival in zip(schedule, arrivals, strict=True)
        ]
        for schedule in schedules
    ]
    return min(times, key=sum)


def in_order(
    arrivals: collections.abc.Sequence[Arrival],
) -> list[int]:
    """Return the positions of the arrivals by time."""
    return sorted(range(len(arrivals)), key=lambda i: arrivals[i].at_s)


def earliest_completion(
    arrivals: collections.abc.Sequence[Arrival],
    speeds: collections.abc.Sequence[float],
) -> list[Placement]:
    """Put each task, in order of arrival, where it ends first."""
    free_s = [0.0] * len(speeds)
    found: dict[int, Placement] = {}
    for index in in_order(arrivals):
        arrival = arrivals[index]
        end_s, slot = min(
            (max(free, arrival.at_s) + arrival.run_s / speed, slot)
            for slot, (free, speed) in enumerate(
                zip(free_s, speeds, strict=True)
            )
        )
        free_s[slot] = end_s
        found[index] = placement(end_s, arrival.run_s, speeds[slot])
    return [found[index] for index in range(len(arrivals))]


def shortest_first(
    arrivals: collections.abc.Sequence[Arrival],
    speeds: collections.abc.Sequence[float],
) -> list[Placement]:
    """Give the fastest free slot to the shortest task that waits."""
    free = [(-speed, slot) for slot, speed in enumerate(speeds)]
    heapq.heapify(free)
    busy: list[tuple[float, int]] = []
    waiting: list[tuple[float, int]] = []
    found: dict[int, Placement] = {}
    coming = in_order(arrivals)
    position = 0
    while position < len(coming) or waiting:
        if not (waiting and free):
            # Time moves to the next arrival or the next free slot.
            moments = [busy[0][0]] if busy else []
            if position < len(coming):
                moments.append(arrivals[coming[position]].at_s)
            now_s = min(moments)
            while busy and busy[0][0] <= now_s:
                _, slot = heapq.heappop(busy)
                heapq.heappush(free, (-speeds[slot], slot))
            while (
                position < len(coming)
                and arrivals[coming[position]].at_s <= now_s
            ):
                index = coming[position]
                heapq.heappush(waiting, (arrivals[index].run_s, index))
                position += 1
            continue
        run_s, index = heapq.heappop(waiting)
        _, slot = heapq.heappop(free)
        end_s = now_s + run_s / speeds[slot]
        heapq.heappush(busy, (end_s, slot))
        found[index] = placement(end_s, run_s, speeds[slot])
    return [found[index] for index in range(len(arrivals))]


def placement(end_s: float, run_s: float, speed: float) -> Placement:
    """Return the placement of a task that ends at ``end_s``."""
    return Placement(start_s=end_s - run_s / speed, end_s=end_s, speed=speed)
