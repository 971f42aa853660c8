#!/bin/sh
# Builds the program with the stand-ins and checks of the cases.
set -eu
cd "$(dirname "$0")/.."
go build -o review/bin/drill ./review/platform
