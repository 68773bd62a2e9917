#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases (review/6 to review/10). The node itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/standins-2/bin
go build -o review/standins-2/bin/ ./review/standins-2
