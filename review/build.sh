#!/bin/sh
# Compiles the stand-ins and cases into target/review-classes. Needs the JDK only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-classes
javac -nowarn -d target/review-classes review/harness/*.java
