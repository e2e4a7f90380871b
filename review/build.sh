#!/bin/sh
# Builds the stand-ins and the drivers of the scripts, with the JDK alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review review/harness/*.java
