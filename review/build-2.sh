#!/bin/sh
# Builds the stand-ins of the second review's cases. Needs no network: they have no dependencies.
cd "$(dirname "$0")/standin-2" && exec cargo build --release --locked --offline
