#!/usr/bin/env bash
# Builds the stand-ins that the cases start. Needs no network once the build of
# the deploy file has installed the packages.
set -eu
cd "$(dirname "$0")/.."
node scripts/install_missing.js
npx tsc -b platform platform/stand_ins packages/stand_ins
