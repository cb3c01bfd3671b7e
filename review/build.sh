#!/bin/sh
# Builds the stand-ins of all cases. It needs the Go tool chain only, no module and no network.
cd "$(dirname "$0")/stand" || exit 2
exec env GOFLAGS= GOPROXY=off CGO_ENABLED=0 go build -trimpath -o ../bin/stand .
