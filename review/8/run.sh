#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
command -v python3 > /dev/null || exit 2
python3 case.py &
case=$!
trap 'kill -TERM "$case" 2> /dev/null' TERM INT
wait "$case"
code=$?
# A signal ends the first wait early.
if kill -0 "$case" 2> /dev/null; then
  wait "$case"
  code=$?
fi
# Python itself ends with 1 when the case cannot be loaded.
case "$code" in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
