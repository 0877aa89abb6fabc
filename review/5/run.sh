#!/usr/bin/env bash
cd "$(dirname "$0")" && PYTHONPATH=../standins:../../target/deps exec python3 case.py
