#!/usr/bin/env python3
"""Builds the system as the platform does, and checks what the build uses.

usage: check-deploy-build.py

Runs the build of deploy/system.toml in a copy of the checkout that lacks the
folders which the build must not require. Each header and library that it uses
must come from a package which deploy/system.toml declares, or from one that
such a package depends on: a package that is installed here for the tests hides
a missing one. CCACHE_DISABLE=1 measures the build without its cache.
"""

import os
import pathlib
import resource
import shutil
import subprocess
import sys
import tomllib

# Tests, and what only tests and load runs use.
LEFT_OUT = ("Tests", "Utilities", "review", "docs", "journal")
# The platform's limit on the build, for a machine with one core.
MAX_PROCESSOR_SECONDS = 15 * 60

CHECKOUT = pathlib.Path(__file__).resolve().parent.parent
COPY = CHECKOUT / "build-deploy"


def output(*command, **options):
    return subprocess.run(command, check=True, capture_output=True, text=True,
                          **options).stdout


def copy_checkout():
    shutil.rmtree(COPY, ignore_errors=True)
    names = output("git", "ls-files", "-z", "--cached", "--others",
                   "--exclude-standard", cwd=CHECKOUT)
    for name in names.split("\0"):
        if name and name.split("/")[0] not in LEFT_OUT:
            copy = COPY / name
            copy.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(CHECKOUT / name, copy)


def build(command):
    """Returns the processor seconds."""
    environment = {name: os.environ[name]
                   for name in ("PATH", "HOME", "LANG", "CCACHE_DISABLE",
                                "CCACHE_DIR") if name in os.environ}
    done = subprocess.run(command, shell=True, cwd=COPY, env=environment,
                          stdout=subprocess.DEVNULL, stderr=subprocess.PIPE,
                          text=True)
    if done.returncode != 0:
        sys.exit(f"The deploy build fails.\n{done.stderr}")
    usage = resource.getrusage(resource.RUSAGE_CHILDREN)
    return usage.ru_utime + usage.ru_stime


def used_files():
    """The files outside the checkout that the build's outputs depend on."""
    files = set()
    for rule in COPY.glob("target/**/*.d"):
        _, _, names = rule.read_text().replace("\\\n", " ").partition(":")
        files.update(name for name in names.split() if name.startswith("/"))
    program = COPY / "target/bin/cowslip-gateway"
    for line in output("ldd", program).splitlines():
        if "=> /" in line:
            files.add(line.split()[2])
    files = {os.path.realpath(name) for name in files}
    return sorted(name for name in files
                  if not name.startswith(str(CHECKOUT)))


def packages_of(files):
    """One file of each package, and the files that belong to none."""
    # Packages name files in /lib that are in /usr/lib since the two were merged.
    names = [name for file in files
             for name in (file, file.removeprefix("/usr"))]
    found = subprocess.run(["dpkg", "-S", *names], capture_output=True,
                           text=True).stdout
    packages = {}
    owned = set()
    for line in found.splitlines():
        owners, _, path = line.partition(": ")
        owned.update((path, "/usr" + path))
        for owner in owners.split(", "):
            packages.setdefault(owner.split(":")[0], path)
    return packages, [file for file in files if file not in owned]


def with_dependencies(packages):
    listing = output("apt-cache", "depends", "--recurse", "--no-recommends",
                     "--no-suggests", "--no-conflicts", "--no-breaks",
                     "--no-replaces", "--no-enhances", *packages)
    return {line.split(":")[0] for line in listing.splitlines()
            if line and line[0].isalnum()}


def main():
    with open(CHECKOUT / "deploy/system.toml", "rb") as file:
        system = tomllib.load(file)
    copy_checkout()
    seconds = build(system["build"])
    print(f"deploy build: {seconds:.0f} processor seconds")
    declared = with_dependencies(system["packages"])
    packages, unowned = packages_of(used_files())
    undeclared = sorted(set(packages) - declared)
    for package in undeclared:
        print(f"deploy/system.toml does not declare {package}, which has "
              f"{packages[package]}.")
    for file in unowned:
        print(f"{file} belongs to no package.")
    if seconds > MAX_PROCESSOR_SECONDS:
        print(f"The deploy build takes more than {MAX_PROCESSOR_SECONDS} s.")
        return 1
    return 1 if undeclared or unowned or not packages else 0


if __name__ == "__main__":
    sys.exit(main())
