"""Private implementation of jasminewind; import :mod:`jasminewind`."""
