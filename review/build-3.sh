#!/usr/bin/env bash
# Builds the cases of the third review, with the stand-ins that they start, into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for number in 11 12 13 14 15; do
    [ -f "review/$number/scenario.cpp" ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra "review/$number/scenario.cpp" -o "target/review-3/case-$number" -pthread
done
