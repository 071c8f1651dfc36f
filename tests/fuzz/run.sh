#!/bin/sh
# Runs the fuzz targets one after the other: run.sh BUILD RUNS SECONDS TARGET... Each starts with seed 1 and a copy of its
# corpus, and ends after RUNS inputs, or after SECONDS if that isn't 0. Exits with 1 if any target found a fault; its input
# and output are kept in BUILD.
build=$1
runs=$2
seconds=$3
shift 3
failed=0
# Lengths in msgpack make its library reserve address space that it doesn't use; the sanitizer would fill its shadow.
export ASAN_OPTIONS=allocator_may_return_null=1:max_allocation_size_mb=64
rm -rf "$build/corpus"
mkdir -p "$build/corpus"
cp -r tests/fuzz/corpus/. "$build/corpus"
"$build/fuzz-seeds" "$build/corpus" || exit 1
[ "$seconds" = 0 ] && limit="-runs=$runs" || limit="-max_total_time=$seconds"
for target in "$@"; do
    if "$build/fuzz-$target" -seed=1 "$limit" -max_len=4096 -malloc_limit_mb=1000000 -timeout=10 \
        -artifact_prefix="$build/$target-" "$build/corpus/$target" > "$build/$target.log" 2>&1; then
        echo "fuzz $target: $(grep -aoE '^#[0-9]+' "$build/$target.log" | tail -n 1 | tr -d '#') inputs, no fault"
    else
        failed=1
        echo "fuzz $target: FAULT, see $build/$target.log"
        grep -aE 'ERROR|runtime error|Test unit written' "$build/$target.log" | head -n 5
    fi
done
exit $failed
