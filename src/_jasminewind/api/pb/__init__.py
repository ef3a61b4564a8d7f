"""Generated from `schema/`; regenerate with `make schema`."""
