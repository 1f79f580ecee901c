#!/usr/bin/env bash
# Play the case of a folder; exit with 1 if its rule was broken, 0 if it held, 2 if it couldn't run.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$1" || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$here" python3 case.py
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
