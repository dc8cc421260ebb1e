#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/bin/wisterialane ] && [ -x "target/review-2/case-$(basename "$folder")" ] || exit 2
RECORD="$folder/record.txt" exec "target/review-2/case-$(basename "$folder")"
