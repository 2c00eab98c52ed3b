#!/bin/bash
cd "$(dirname "$0")" || exit 2
. ../stand-2/case.sh
run_case follow
