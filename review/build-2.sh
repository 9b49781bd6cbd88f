#!/bin/sh
# Builds what the scripts of the second review start, beside the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/stand ./review/stand
