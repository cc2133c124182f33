#!/usr/bin/env bash
# Writes cellpeer_generated.h from the schema (flatc 2.0.8, package flatbuffers-compiler).
set -euo pipefail
cd "$(dirname "$0")"
flatc --cpp --scoped-enums --gen-object-api cellpeer.fbs
