#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
# Address space of each process, in KiB: about ten times the largest MemoryMb of the pages. It protects the machine.
ulimit -v 4000000
export REPOSITORY=../.. RECORD=record.txt
../../target/review-2/cases cold-rate
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
