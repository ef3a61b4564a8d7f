"""Twisted tasks that own sockets and drive the decisions."""
