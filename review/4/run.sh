#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x /usr/bin/python3 ] || { echo "no /usr/bin/python3"; exit 2; }
TROUBLE="${TROUBLE:-1}" timeout -k 5 118 /usr/bin/python3 -B case.py
code=$?
case $code in
  0) exit 0 ;;
  11) exit 1 ;;
  *) exit 2 ;;
esac
