#!/usr/bin/env bash
# Builds what the scripts of cases 11 to 15 start, besides the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O2 -Wall -Wextra -pthread -o target/review-3/reviewcase review/standin-3/*.cpp -levent
