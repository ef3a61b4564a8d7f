"""Reference schedules: response times of a clairvoyant scheduler."""

import collections.abc
import dataclasses
import heapq


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrival:
    """Arrival time of a task and its true run time at speed 1."""

    at_s: float
    run_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Placement:
    """Start and end of a task and the speed of its slot."""

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

    The unit is slot seconds at speed 1. The schedule is work-conserving:
    no slot is idle while a task is queued.
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

    The scheduler is central, clairvoyant and without overhead. Finding the
    optimum is intractable, so the better of two list schedules by mean is
    used. ``speeds`` has one item for each slot.
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


def arrival_order(
    arrivals: collections.abc.Sequence[Arrival],
) -> list[int]:
    """Return the indexes of the arrivals sorted by time."""
    return sorted(range(len(arrivals)), key=lambda i: arrivals[i].at_s)


def earliest_completion(
    arrivals: collections.abc.Sequence[Arrival],
    speeds: collections.abc.Sequence[float],
) -> list[Placement]:
    """Assign tasks in order of arrival to the slot that ends them first."""
    slot_free_s = [0.0] * len(speeds)
    placements: dict[int, Placement] = {}
    for index in arrival_order(arrivals):
        arrival = arrivals[index]
        end_s, slot = min(
            (max(free_s, arrival.at_s) + arrival.run_s / speed, slot)
            for slot, (free_s, speed) in enumerate(
                zip(slot_free_s, speeds, strict=True)
            )
        )
        slot_free_s[slot] = end_s
        placements[index] = placement(end_s, arrival.run_s, speeds[slot])
    return [placements[index] for index in range(len(arrivals))]


def shortest_first(
    arrivals: collections.abc.Sequence[Arrival],
    speeds: collections.abc.Sequence[float],
) -> list[Placement]:
    """Assign the shortest queued task to the fastest free slot."""
    free_slots = [(-speed, slot) for slot, speed in enumerate(speeds)]
    heapq.heapify(free_slots)
    busy_slots: list[tuple[float, int]] = []
    waiting: list[tuple[float, int]] = []
    placements: dict[int, Placement] = {}
    order = arrival_order(arrivals)
    position = 0
    while position < len(order) or waiting:
        if not (waiting and free_slots):
            # Advance the clock to the next arrival or the next free slot.
            event_times_s = [busy_slots[0][0]] if busy_slots else []
            if position < len(order):
                event_times_s.append(arrivals[order[position]].at_s)
            now_s = min(event_times_s)
            while busy_slots and busy_slots[0][0] <= now_s:
                _, slot = heapq.heappop(busy_slots)
                heapq.heappush(free_slots, (-speeds[slot], slot))
            while (
                position < len(order)
                and arrivals[order[position]].at_s <= now_s
            ):
                index = order[position]
                heapq.heappush(waiting, (arrivals[index].run_s, index))
                position += 1
            continue
        run_s, index = heapq.heappop(waiting)
        _, slot = heapq.heappop(free_slots)
        end_s = now_s + run_s / speeds[slot]
        heapq.heappush(busy_slots, (end_s, slot))
        placements[index] = placement(end_s, run_s, speeds[slot])
    return [placements[index] for index in range(len(arrivals))]


def placement(end_s: float, run_s: float, speed: float) -> Placement:
    """Return the placement of a task that ends at ``end_s``."""
    return Placement(start_s=end_s - run_s / speed, end_s=end_s, speed=speed)
