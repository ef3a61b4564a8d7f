"""Starts an entry or agent for jobs on the users' platform."""

from _jasminewind.platform import daemon

if __name__ == "__main__":
    daemon.main()
