"""Stand-ins: simulated platform services for demos and tests."""
