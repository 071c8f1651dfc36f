#!/bin/sh
# Plays the days of kinds.txt on a deployment and prints a line for each: name, score, worth, what is broken.
#   FLEETBENCH=path/of/the/bench bench/days/play.sh SITE "why" [NAME-PATTERN]
# Run from the repository's root. JOBS: days at a time (default 4).
set -u
site=$1
why=$2
pattern=${3:-.}
list=$(dirname "$0")/kinds.txt
out=$(mktemp -d)
grep -v '^#' "$list" | grep -E "^[a-z-]*$pattern" | while IFS='|' read -r name faults; do
    name=$(echo "$name" | tr -d ' ')
    printf '[[day]]\nname = "%s"\nslot = "trouble"\nseed = 7001\none = 1.0\nzero = 0.0\nfaults = [%s]\n' \
        "$name" "$faults" > "$out/$name.toml"
    echo "$name"
done > "$out/names"
"$FLEETBENCH" build > /dev/null
xargs -P "${JOBS:-4}" -I NAME sh -c \
    '"$0" run "$1" "$2/NAME.toml" --no-cpu --why "$3: NAME" > "$2/NAME.out" 2>&1' "$FLEETBENCH" "$site" "$out" "$why" \
    < "$out/names"
while read -r name; do
    grep -E "^$name " "$out/$name.out" || { echo "$name: not played:"; tail -n 2 "$out/$name.out"; }
    grep -E '^rules broken' "$out/$name.out"
done < "$out/names"
echo "reports: $out"
