#!/bin/sh
# Builds the program of each case, which has all the stand-ins that its script starts.
cd "$(dirname "$0")/.." || exit 2
mkdir -p review/bin
for n in 1 2 3; do
	[ ! -d "review/$n" ] || go build -o "review/bin/case$n" "./review/$n" || exit 2
done
