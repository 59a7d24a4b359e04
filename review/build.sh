#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/. They need the compiler and nlohmann-json3-dev only, which
# deploy/system.toml declares.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-9]/case.cpp; do
    number=$(basename "$(dirname "$source")")
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/support \
        -o "target/review/case-$number" "$source" review/support/*.cpp &
done
status=0
for job in $(jobs -p); do wait "$job" || status=1; done
exit "$status"
