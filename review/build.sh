#!/usr/bin/env bash
# The stand-ins are Python scripts of the base system's Python 3, so nothing is compiled; this checks that they load.
cd "$(dirname "$0")" || exit 1
exec /usr/bin/python3 -B -c 'import standin.cell, standin.http, standin.platform; print("the stand-ins load")'
