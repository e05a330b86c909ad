#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. Run it after the
# build of the deploy file, in any folder.
set -eu
cd "$(dirname "$0")/.."
npx tsc -b platform/stand_ins
