#!/bin/sh
# Runs the test programs given, one after the other, and ends with one line of sums. The status is 1 when any test failed.
passed=0
failed=0
for program in "$@"; do
    out=$("$program" 2>&1)
    code=$?
    line=$(echo "$out" | grep -E '^[0-9]+%: Checks: ' | tail -n 1)
    checks=$(echo "$line" | sed -n 's/.*Checks: \([0-9]*\),.*/\1/p')
    bad=$(echo "$line" | sed -n 's/.*Failures: \([0-9]*\), Errors: \([0-9]*\).*/\1 \2/p' | awk '{print $1 + $2}')
    if [ -z "$line" ]; then
        checks=1
        bad=1
    fi
    echo "$(basename "$program"): ${line:-ended with status $code without a result}"
    [ "$code" = 0 ] && [ "$bad" = 0 ] || echo "$out"
    passed=$((passed + checks - bad))
    failed=$((failed + bad))
    [ "$code" = 0 ] || [ "$bad" != 0 ] || failed=$((failed + 1))
done
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
