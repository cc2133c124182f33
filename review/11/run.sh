#!/usr/bin/env bash
# Case 11, see claim.txt. Needs the build of the deploy file and review/build-3.sh.
exec "$(dirname "$0")/../standin-3/run-case.sh" "$(dirname "$0")" many-dependencies 3
