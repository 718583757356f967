#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. Run in the root of the repository after the build of the deploy file.
set -eu
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/standins-2/*.java
