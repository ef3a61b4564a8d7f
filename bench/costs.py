"""Measures processor time and memory over a range of input sizes."""

import collections.abc
import dataclasses
import gc
import time
import tracemalloc

from bench import fits

REPEATS = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cost:
    """Costs in ``unit``, measured at several sizes in ``size_unit``."""

    name: str
    size_unit: str
    unit: str
    sizes: tuple[float, ...]
    costs: tuple[float, ...]
    note: str = ""

    def fit(self) -> fits.Fit:
        """Return the least-squares line through the points."""
        return fits.linear(self.sizes, self.costs)


def sweep(
    name: str,
    measure: collections.abc.Callable[[int], float],
    sizes: tuple[int, ...],
    *,
    size_unit: str,
    unit: str,
    note: str = "",
    repeats: int = REPEATS,
) -> Cost:
    """Measure at every size and keep the minimum of ``repeats`` runs.

    Other load on the machine only adds processor time, through shared
    caches and cores, so the minimum is closest to the actual cost.
    """
    points = [
        (size, min(measure(size) for _ in range(repeats))) for size in sizes
    ]
    return Cost(
        name=name,
        size_unit=size_unit,
        unit=unit,
        sizes=tuple(float(size) for size, _ in points),
        costs=tuple(cost for _, cost in points),
        note=note,
    )


def processor_us(call: collections.abc.Callable[[], object]) -> float:
    """Return the processor time of ``call`` in microseconds."""
    gc.collect()
    began_s = time.process_time()
    call()
    return (time.process_time() - began_s) * 1e6


def memory_kb(build: collections.abc.Callable[[], object]) -> float:
    """Return the memory that the result of ``build`` holds, in kB."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        built = build()
        gc.collect()
        after = tracemalloc.get_traced_memory()[0]
        del built
    finally:
        tracemalloc.stop()
    return (after - before) / 1024
