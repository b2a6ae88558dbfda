#!/usr/bin/env bash
# Regenerates the committed FlatBuffers code from schema/.
set -euo pipefail
cd "$(dirname "$0")/.."
flatc --cpp --gen-object-api --scoped-enums --filename-suffix _generated \
  -o include/radishroad/generated schema/records.fbs schema/peer.fbs \
  schema/snapshot.fbs
