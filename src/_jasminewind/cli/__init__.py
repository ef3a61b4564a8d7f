"""The ``jasminewind`` command line tool."""
