#!/usr/bin/env bash
# Builds the programs of the cases, with their stand-ins, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -Wall -Wextra -I. -c review/stand_ins/stand_ins.cpp -o target/review/stand_ins.o
for source in review/*/case.cpp; do
    number="$(basename "$(dirname "$source")")"
    g++ -std=c++20 -O1 -Wall -Wextra -I. "$source" target/review/stand_ins.o -o "target/review/case-$number" -pthread
done
