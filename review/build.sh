#!/bin/sh
# Builds the stand-ins of the cases. They need Python 3.8 or later and nothing beside its standard library.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 8), sys.version'
python3 -m py_compile standin/*.py */case.py
