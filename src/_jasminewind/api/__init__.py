"""Connect services for callers and operators."""
