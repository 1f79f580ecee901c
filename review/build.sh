#!/usr/bin/env bash
# Build the stand-ins of the scripts. They need the standard library only, so compiling them is all.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile rig.py [0-9]/case.py
