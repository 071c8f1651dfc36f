#!/bin/sh
# Checks two layering rules: names of the platform's protocol occur only in platform/ and tests/, and each file of gateway/
# includes only the headers listed for it, so that includes run in one direction. Prints each violation; exits with 1 if any.
status=0
names='op/config|kv-key|kv-range|kv-watch|Attempt-Id|Deadline-Ms: |"Deadline-Ms"|Not-Executed|Expect-Instance'
names="$names|Response-Signature|Kv-Fetch|Prefix-Hash|Token-Counts|Request-Priority|CHALKWAY_NODE_FILE|tls_key"
found=$(grep -lE "$names" *.h *.c io/* daemon/* gateway/* standins/* tools/*.c tools/*.h bench/* samples/* 2>/dev/null)
if [ -n "$found" ]; then
    echo "names of the platform's protocol outside platform/: $found"
    status=1
fi

# allowed FILE: headers of gateway/ that FILE (without suffix) may include; "any": no restriction
allowed() {
    case "$1" in
        front) echo "front" ;;
        upstream | upstream_parts | link | pushback) echo "clock dialect upstream upstream_parts" ;;
        sync | sync_parts | sync_source | sync_peers) echo "clock dialect sync sync_parts" ;;
        mesh) echo "clock mesh news settings upstream" ;;
        news | news_parts | news_peers | news_marks) echo "clock news news_parts settings upstream" ;;
        directory) echo "dialect directory" ;;
        request_head) echo "dialect request_head" ;;
        admission) echo "admission dialect request_head" ;;
        exchange | exchange_parts | seek | transfer)
            echo "admission clock exchange exchange_parts front quarantine request_head upstream" ;;
        quarantine) echo "clock quarantine upstream" ;;
        native | dialect) echo "dialect" ;;
        inventory) echo "clock dialect inventory upstream" ;;
        settings) echo "settings" ;;
        clock) echo "clock" ;;
        wake) echo "wake" ;;
        *) echo "any" ;;
    esac
}
for file in gateway/*.c gateway/*.h; do
    part=$(basename "$file" | sed 's/\.[ch]$//')
    may=$(allowed "$part")
    [ "$may" = any ] && continue
    for header in $(sed -n 's/^#include "\([a-z_]*\)\.h"$/\1/p' "$file"); do
        case " $may " in
            *" $header "*) ;;
            *)
                echo "$file includes $header.h, which is not among its permitted headers"
                status=1
                ;;
        esac
    done
done
[ "$status" = 0 ] && echo "layout: no violations"
exit $status
