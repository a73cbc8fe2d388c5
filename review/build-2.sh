#!/bin/sh
# Builds the stand-ins of the second review into target/review-2.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -Xlint:all -Xlint:-try -d target/review-2 review/stand-ins-2/*.java
