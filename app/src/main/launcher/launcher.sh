#!/bin/sh
# Runs the archive appended to this script; extra JVM options come from CRANBERRYARCH_JAVA_OPTS.
exec "${JAVA_HOME:+$JAVA_HOME/bin/}java" -XX:+UseSerialGC -XX:TieredStopAtLevel=4 $CRANBERRYARCH_JAVA_OPTS -jar "$0" "$@"
