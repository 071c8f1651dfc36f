#!/bin/sh
# Runs clang-tidy on all C files that changed since their last clean run, with one job per processor. Headers are checked
# through chalkway.c.
set -e
build=$1
mkdir -p "$build/lint"
find . -path "./$build" -prune -o -name '*.c' -print | sed 's|^\./||' | sort > "$build/lint/files"
xargs -P "$(nproc)" -n 1 sh -c '
    stamp="$0/lint/$(echo "$1" | tr / _).ok"
    newest=$(ls -t "$1" *.h */*.h .clang-tidy 2>/dev/null | head -n 1)
    [ "$stamp" -nt "$newest" ] && [ "$stamp" -nt "$1" ] && exit 0
    clang-tidy --quiet "$1" -- -std=c11 -D_GNU_SOURCE -I. 2>"$0/lint/$(echo "$1" | tr / _).err" || exit 1
    touch "$stamp"
' "$build" < "$build/lint/files"
echo "lint: $(wc -l < "$build/lint/files") files clean"
