#!/bin/sh
# Builds the programs of the cases of the second review into target/review-2, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O2 -Wall -Wextra -I. -c review/stand_ins-2/harness.cpp -o target/review-2/harness.o
for folder in review/6 review/7 review/8 review/9 review/10; do
    if [ -f "$folder/play.cpp" ]; then
        g++ -std=c++20 -O2 -Wall -Wextra -I. "$folder/play.cpp" target/review-2/harness.o -pthread \
            -o "target/review-2/case-$(basename "$folder")"
    fi
done
