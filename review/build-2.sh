#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/, with the
# packages that deploy/system.toml names. Run it after the build of that file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case.cpp; do
  number="$(basename "$(dirname "$source")")"
  grep -q '"support-2/lab.h"' "$source" || continue
  g++ -std=c++20 -O1 -Wall -Wextra -Ireview "$source" \
    -o "target/review-2/case-$number" -lpthread
done
