#!/bin/sh
# Builds what the scripts of the cases start, beside the build of the deploy file: target/review/caseN.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]*/case.c; do
    number=$(basename "$(dirname "$source")")
    cc -std=gnu11 -O1 -g -Wall -Wextra -Wno-unused-function "$source" -o "target/review/case$number" -lpthread
done
