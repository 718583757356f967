#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. Run after the build of the deploy file; needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -Xlint:all -Werror -d target/review review/standins/*.java
