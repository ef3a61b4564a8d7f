#!/bin/sh
# Builds the stand-ins of the cases of the third review. They need nothing but
# the standard library of the interpreter that runs the system.
cd "$(dirname "$0")" || exit 2
exec python3 -m py_compile standins_3.py
