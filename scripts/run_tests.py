#!/usr/bin/env python3
"""Runs every Boost.Test program that CTest knows and counts its test cases.

Usage: run_tests.py BUILD_DIR KNOWN_RED_FILE

A case named in the known-red file (a line "test: PROGRAM/CASE") is run and
printed but does not count as a failure. A case that is listed there and passes
counts as a failure, so that the list stays exact. The last line printed is
"PASSED FAILED".
"""
import json
import os
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor


def known_red(path):
    if not os.path.exists(path):
        return set()
    with open(path, encoding="utf-8") as lines:
        return {line.split(":", 1)[1].strip() for line in lines
                if line.startswith("test:")}


def list_programs(build):
    text = subprocess.run(["ctest", "--test-dir", build, "--show-only=json-v1"],
                          check=True, capture_output=True, text=True).stdout
    for test in json.loads(text)["tests"]:
        env = dict(os.environ)
        serial = False
        timeout = 600
        for prop in test.get("properties", []):
            if prop["name"] == "ENVIRONMENT":
                env.update(item.split("=", 1) for item in prop["value"])
            if prop["name"] == "RUN_SERIAL":
                serial = prop["value"]
            if prop["name"] == "TIMEOUT":
                timeout = prop["value"]
        yield test["name"], test["command"], env, serial, timeout


def run_program(program):
    name, command, env, _, timeout = program
    try:
        done = subprocess.run(command + ["--report_level=detailed", "--color_output=no"],
                              env=env, capture_output=True, text=True,
                              errors="replace", timeout=timeout, check=False)
    except subprocess.TimeoutExpired:
        return name, {"(timed out)": False}, "timed out after %d s" % timeout
    cases = {}
    for case, verdict in re.findall(
            r'Test case "([^"]+)" has (\w+)', done.stderr):
        cases[case] = verdict == "passed"
    if not cases or (done.returncode != 0 and all(cases.values())):
        cases["(program)"] = False
    return name, cases, done.stdout + done.stderr


def main():
    red = known_red(sys.argv[2])
    programs = list(list_programs(sys.argv[1]))
    parallel = [p for p in programs if not p[3]]
    serial = [p for p in programs if p[3]]
    with ThreadPoolExecutor(max_workers=4) as pool:
        results = list(pool.map(run_program, parallel))
    results += [run_program(program) for program in serial]
    passed = failed = 0
    for name, cases, output in results:
        bad = {case for case, good in cases.items() if not good}
        for case, good in cases.items():
            listed = f"{name}/{case}" in red
            if good and not listed:
                passed += 1
            elif good:
                failed += 1
                print(f"FAILED: {name}/{case} passes but is listed as known red")
            elif listed:
                print(f"KNOWN RED: {name}/{case}")
            else:
                failed += 1
                print(f"FAILED: {name}/{case}")
        if any(f"{name}/{case}" not in red for case in bad):
            # The logs of processes can push these out of the last part.
            print("\n".join(re.findall(r".*: (?:fatal )?error: .*", output)))
            print(output[-6000:])
        print(f"{name}: {len(cases) - len(bad)} of {len(cases)} cases passed")
    for case in red:
        if case.split("/", 1)[0] not in {name for name, _, _ in results}:
            failed += 1
            print(f"FAILED: {case} is listed as known red but does not exist")
    print(passed, failed)
    return 0 if failed == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
