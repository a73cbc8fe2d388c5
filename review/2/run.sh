#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx256m -cp target/review-classes CaseEntry review/2
