"""Time at which this process began, for what must wait for the last one.

It is imported first: the other imports take some 0.2 s on small machines.
"""

from _jasminewind import clocks

STARTED_S = clocks.boottime_s()
