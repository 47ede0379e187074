#!/usr/bin/env bash
# Plays the case (see claim.txt) and writes record.txt beside it. TROUBLE=0
# leaves out the disruption. Exits with 1 if the rule was broken, 0 if it held,
# and 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 python3 case.py record.txt &
case_id=$!
trap 'kill "$case_id" 2>/dev/null' TERM INT HUP
result=2
while kill -0 "$case_id" 2>/dev/null; do
    wait "$case_id"
    result=$?
done
case $result in
    0) exit 0 ;;
    3) exit 1 ;;
    *) exit 2 ;;
esac
