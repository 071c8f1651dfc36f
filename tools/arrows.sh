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
        frontend) echo "frontend" ;;
        upstream | upstream_internal | upstream_conn | upstream_path | pushback) echo "clock dialect poll_time upstream upstream_internal" ;;
        sync | sync_internal | sync_source | sync_peers) echo "clock dialect sync sync_internal" ;;
        mesh) echo "clock mesh reporter settings upstream" ;;
        reporter | reporter_internal | reporter_peers | reporter_observations | reporter_streams) echo "clock reporter reporter_internal settings upstream" ;;
        endpoints) echo "dialect endpoints" ;;
        request_head) echo "dialect request_head" ;;
        admission) echo "admission dialect request_head" ;;
        exchange | exchange_internal | exchange_assign | exchange_attempt)
            echo "admission clock exchange exchange_internal frontend quarantine request_head streams upstream" ;;
        streams | streams_internal | streams_evidence | streams_handover) echo "clock streams streams_internal upstream" ;;
        quarantine) echo "clock quarantine upstream" ;;
        native | dialect) echo "dialect" ;;
        inventory) echo "clock dialect inventory upstream" ;;
        settings) echo "settings" ;;
        clock) echo "clock" ;;
        suspend_detector) echo "suspend_detector" ;;
        poll_time) echo "clock poll_time" ;;
        tunnel) echo "clock tunnel upstream" ;;
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
