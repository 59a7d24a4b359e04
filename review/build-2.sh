#!/usr/bin/env bash
# Builds the cases of the second review, with the stand-ins that they start, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    [ -f "review/$number/scenario.cpp" ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra "review/$number/scenario.cpp" -o "target/review-2/case-$number" -pthread
done
