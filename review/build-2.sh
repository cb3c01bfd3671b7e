#!/bin/sh
# Builds the stand-ins of the cases of the second review. They use the standard library and the project's clock only; no network is needed
# after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec env GOFLAGS= GOPROXY=off CGO_ENABLED=0 go build -trimpath -buildvcs=false -o review/bin/stand2 ./review/stand2
