#!/bin/sh
# Builds the stand-ins that the scripts start: one module of the standard
# library, which needs no build but a check that it compiles.
cd "$(dirname "$0")" && exec python3 -m py_compile standins.py
