#!/bin/sh
# Compiles the stand-ins and cases. Needs the JDK only.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-classes
mkdir -p target/review-classes
javac -nowarn -d target/review-classes review/harness/*.java
