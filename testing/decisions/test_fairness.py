"""Tests of the queues of teams."""

import dataclasses

from _jasminewind.decisions import fairness


@dataclasses.dataclass(eq=False)
class Item:
    """A queued item."""

    name: str
    deadline_s: float = 10.0
    cost_s: float = 0.5
    waiting: bool = False


def take_all(queue, count):
    """Take items in order and return the teams that they came from."""
    teams = []
    for _ in range(count):
        team, item = queue.peek()
        queue.pop(team, item)
        teams.append(team)
    return teams


def test_teams_share_by_weight():
    """Guards against a team that is starved by a larger one."""
    weights = {"red": 1.0, "blue": 3.0}
    queue = fairness.FairQueue(weight=weights.__getitem__)
    for index in range(400):
        queue.push("red", Item(f"red-{index}"))
        queue.push("blue", Item(f"blue-{index}"))
    teams = take_all(queue, 400)
    assert 280 <= teams.count("blue") <= 320


def test_expensive_items_count_more():
    """Guards against a team that gains by submitting larger tasks."""
    queue = fairness.FairQueue(weight=lambda team: 1.0)
    for index in range(400):
        queue.push("red", Item(f"red-{index}", cost_s=1.0))
        queue.push("blue", Item(f"blue-{index}", cost_s=0.25))
    teams = take_all(queue, 250)
    assert 180 <= teams.count("blue") <= 220


def test_earliest_deadline_first_within_a_team():
    """Guards against serving patient work before urgent work."""
    queue = fairness.FairQueue(weight=lambda team: 1.0)
    for deadline_s in (30.0, 10.0, 20.0):
        queue.push("red", Item("a", deadline_s=deadline_s))
    taken = []
    while queue.peek() is not None:
        team, item = queue.peek()
        queue.pop(team, item)
        taken.append(item.deadline_s)
    assert taken == [10.0, 20.0, 30.0]


def test_discarded_items_are_neither_served_nor_counted():
    """Guards against serving work that was cancelled."""
    queue = fairness.FairQueue(weight=lambda team: 1.0)
    items = [Item(f"item-{index}") for index in range(10)]
    for item in items:
        queue.push("red", item)
    for item in items[:9]:
        queue.discard("red", item)
    assert len(queue) == 1
    assert queue.peek() == ("red", items[9])
    queue.pop("red", items[9])
    assert queue.peek() is None
    assert (len(queue), queue.cost_s) == (0, 0.0)
