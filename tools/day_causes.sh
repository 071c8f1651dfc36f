#!/bin/sh
# Finds the causes of late and failed requests in daemons' logs. Prints for each route the counts of outcomes with reasons and
# of responses with a late first byte or too long a gap, by 4 s interval of the run, the latter also by server.
#   tools/day_causes.sh TARGET_MS GAP_MS FILE...
# TARGET_MS: limit of the time to the first byte; GAP_MS: limit of the gap between two parts of a response. A line may have a
# prefix that begins with the second of the run; lines without one count for second 0.
set -eu
[ $# -ge 3 ] || { sed -n '2,6s/^# //p' "$0" >&2; exit 64; }
target=$1
gap=$2
shift 2
cat "$@" | awk -v target="$target" -v gap="$gap" -v span=4 '
function value(name,    at, text) {
    at = index($0, " " name "=")
    if (!at) return ""
    text = substr($0, at + length(name) + 2)
    if (substr(text, 1, 1) == "\"") {
        text = substr(text, 2)
        return substr(text, 1, index(text, "\"") - 1)
    }
    sub(/ .*/, "", text)
    return text
}
function second() { return $1 ~ /^-?[0-9]+(\.[0-9]+)?$/ ? int($1 / span) * span : 0 }
function count(kind, route, key) {
    if (!((kind, route, key) in seen)) {
        seen[kind, route, key] = 0
        keys[kind, route] = keys[kind, route] SUBSEP key
    }
    seen[kind, route, key]++
}
function show(title, kind, route,    list, n, i, line) {
    n = split(substr(keys[kind, route], 2), list, SUBSEP)
    if (!n) return
    line = ""
    for (i = 1; i <= n; i++) line = line "  " list[i] ": " seen[kind, route, list[i]]
    print "  " title line
}
/ request-done id=/ {
    route = value("route")
    if (!total[route]++) order[++routes] = route
    outcome = value("outcome")
    count("ends", route, outcome " " (outcome == "served" ? value("status") : value("why")))
    if (outcome != "served") next
    served[route, value("server")]++
    if (value("first_ms") + 0 > target) count("first", route, "s" second())
    if (value("gap_ms") + 0 > gap) {
        count("pause", route, "s" second())
        count("where", route, value("server"))
    }
}
END {
    for (r = 1; r <= routes; r++) {
        route = order[r]
        print route ": " total[route] " requests"
        show("ended as:", "ends", route)
        show("late by the first byte, from second:", "first", route)
        show("late by a pause, from second:", "pause", route)
        show("late by a pause, at server:", "where", route)
    }
}'
