#!/usr/bin/env bash
# Writes peer_generated.h anew after a change of the schema (flatc 2.0.8).
set -euo pipefail
cd "$(dirname "$0")"
flatc --cpp --cpp-std c++17 --scoped-enums --gen-all peer.fbs
