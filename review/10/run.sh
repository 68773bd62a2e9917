#!/usr/bin/env bash
# Case 10 of the second review, see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. Writes record.txt beside this file.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
for program in "$root/bin/wayhold" "$root/review/standins-2/bin/standins-2"; do
	[ -x "$program" ] || { echo "not built: ${program#"$root/"} (deploy/balancer.toml, review/build-2.sh)"; exit 2; }
done
exec "$program" small-cold "$root" "$folder"
