"""Clients of the platform's table service and workers."""
