#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/.bin/.
set -eu
cd "$(dirname "$0")"
mkdir -p .bin
for source in */case.cpp; do
  name=${source%/case.cpp}
  g++ -std=c++20 -O1 -Wall -Wextra -I . -pthread "$source" -o ".bin/case-$name"
done
