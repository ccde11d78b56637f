#!/usr/bin/env bash
# Compiles the stand-ins and the programs of the cases into review/target/classes.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/target/classes
bin/with-jdk25 javac -d review/target/classes review/standins/*.java
