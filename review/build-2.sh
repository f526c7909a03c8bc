#!/bin/sh
# Builds the programs of the cases 4 to 8 into target/review-2. Needs nothing
# beyond the packages of the deploy file. Run it after the build of that file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
objects=""
for source in review/common-2/net.cc review/common-2/deployment.cc \
    standins/fake_store.cc standins/fake_server.cc test/support/process.cc; do
  object="target/review-2/$(basename "$source" .cc).o"
  "${CXX:-g++}" -std=c++17 -O1 -g -Wall -Wextra -DBOOST_DISABLE_ASSERTS -I. \
    -c "$source" -o "$object" &
  objects="$objects $object"
done
wait
for folder in review/[4-8]; do
  if [ -f "$folder/case.cc" ]; then
    # shellcheck disable=SC2086
    "${CXX:-g++}" -std=c++17 -O1 -g -Wall -Wextra -I. "$folder/case.cc" \
      $objects -lsodium -lpthread -o "target/review-2/case-$(basename "$folder")"
  fi
done
