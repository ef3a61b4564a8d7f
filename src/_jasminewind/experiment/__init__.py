"""Run a fleet against simulated endpoints and generate load for it."""
