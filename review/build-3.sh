#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start, into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in review/stand-ins-3/*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers "$case" \
    -o "target/review-3/$(basename "$case" .cpp)" $(pkg-config --cflags --libs cpp-httplib) -pthread
done
