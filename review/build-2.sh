#!/bin/sh
# Builds the cases of the second review: the stand-ins and clients of each are threads of one program, which starts
# target/chalkway-edge (the deploy file's build) as separate processes. Needs only the compiler and the C library.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
FLAGS="-std=c11 -D_GNU_SOURCE -O2 -Wall -Wextra"
cc $FLAGS -c review/rig-2/rig.c -o target/review-2/rig.o
for case in 4 5 6 7 8; do
    if [ -f review/$case/case.c ]; then
        cc $FLAGS review/$case/case.c target/review-2/rig.o -o target/review-2/case-$case -lpthread
    fi
done
