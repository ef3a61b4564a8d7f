"""Small stand-ins of the platform for demos and tests."""
