#!/bin/sh
# Puts the node and the libraries that it imports under target/deps, which is
# on Python's path where the platform runs it.
set -eu
deps=target/deps
if [ ! "$deps/.installed" -nt deploy/requirements.txt ]; then
  python3 -m pip install --quiet --upgrade --target "$deps" \
    --requirement deploy/requirements.txt
  touch "$deps/.installed"
fi
# The lab, the console and their libraries stay out.
rm -rf "$deps/savorystand"
cp -R src/savorystand "$deps/savorystand"
rm -rf "$deps/savorystand/lab" "$deps/savorystand/console"
python3 -m compileall -q "$deps/savorystand"
