#!/bin/sh
# Builds the stand-ins of the scripted cases into review/bin.
set -e
cd "$(dirname "$0")/kit"
GOWORK=off go build -o ../bin/kit .
