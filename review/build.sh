#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin. Needs only the packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
builds=()
for source in [1-5]/case.cc; do
  g++ -std=c++20 -O1 -pthread -Wall -Wextra -Wno-missing-field-initializers -Icommon \
    "$source" common/harness.cc -o "bin/case_${source%%/*}" &
  builds+=($!)
done
for build in "${builds[@]}"; do
  wait "$build"
done
ls bin
