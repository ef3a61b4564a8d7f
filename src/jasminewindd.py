"""Starts an entry or agent for jobs on the users' platform."""

import gc

# Imports create many objects and no garbage. Collections would take a sixth
# of the time to start.
gc.disable()

# The imports have to come after that, and the time of the start comes first.
from _jasminewind import process_start  # noqa: E402, F401
from _jasminewind.platform import daemon  # noqa: E402

if __name__ == "__main__":
    daemon.main()
