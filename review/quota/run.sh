#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")" || exit 2
program=$(cd ../.. && pwd)/target/rosemarywinch
case=../.bin/case-$(basename "$PWD")
[ -x "$case" ] && [ -x "$program" ] || exit 2
timeout -k 5 115 "$case" "$program" "$PWD"
result=$?
[ "$result" = 0 ] || [ "$result" = 1 ] || result=2
exit "$result"
