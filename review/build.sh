#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin/. The daemon itself comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
compile=(g++ -std=c++20 -O2 -Wall -Wextra -pthread)
"${compile[@]}" -c tools/world.cpp -o bin/world.o
for source in [1-5]/case.cpp; do
  "${compile[@]}" "$source" bin/world.o -o "bin/case$(dirname "$source")"
done
