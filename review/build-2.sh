#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, after the build of the
# deploy file. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for name in rollout_case upload_case slow_reader_case pipeline_case; do
  g++ -std=c++20 -O1 -Wall -Wextra "review/stand-ins-2/$name.cpp" -o "build/review-2/$name" \
    $(pkg-config --cflags --libs cpp-httplib) -pthread
done
