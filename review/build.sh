#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/build
compile() { g++ -std=c++17 -O1 -I. -Ilibs/base/include -Ilibs/config/include "$@"; }
for source in standins/fake_server standins/fake_store review/common/sockets \
  review/common/deployment review/common/narrow_link; do
  compile -c "$source.cc" -o "review/build/$(basename "$source").o" &
done
wait
ls review/build/{fake_server,fake_store,sockets,deployment,narrow_link}.o > /dev/null
for source in review/[123]/*.cc; do
  compile "$source" review/build/{fake_server,fake_store,sockets,deployment,narrow_link}.o \
    -o "review/build/case-$(basename "$(dirname "$source")")" -lsodium -lpthread
done
