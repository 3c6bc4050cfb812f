#!/bin/sh
# Builds the stand-ins of cases 6, 8, 9 and 10. The deploy file's build makes target/cactusreel.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-stand-2 ./review/_stand2
