#!/bin/sh
# Plays case 3: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Wants the build of the deploy file and of review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 5 115 review/bin/case3 review/3/record.txt
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
