#!/bin/sh
exec java ${JAVA_OPTS:--Xmx192m -XX:+UseSerialGC -Xss512k} -jar "$0" "$@"
exit 127
