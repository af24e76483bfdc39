#!/usr/bin/env python3
"""Generates two unusual deployments for the operators' bench: `crowded` has many handlers and tenants and little memory,
`plain` has one handler and no optional parts. Both are copies of a site file of the operators' kit, the folder KIT_FOLDER,
with the values below replaced. The script writes them to deploy/sites/made, which git ignores. It exits with status 2 if
the kit does not exist."""

import copy
import json
import pathlib
import shutil
import sys
import tomllib

SITES_FOLDER = pathlib.Path(__file__).resolve().parent
KIT_FOLDER = SITES_FOLDER.parents[2] / "given/kit/more/mass/other"
FILES_BESIDE_SITE = ("real.json", "wire.json", "unlock.txt")
EXIT_NO_KIT = 2


def make_crowded(site):
    """Changes a site to one with many handlers and tenants whose names need escaping, little memory and few keys."""
    names = ["plan.read", "plan/write", "Zug & Gleis", "späť-lookup", "x", "ticket:buy#1", "a_very_long_name-" + "y" * 40,
             "50%", "quote'd", "seat+map", "名前", "refund"]
    effects = ["safe", "keyed", "unsafe"]
    site["name"] = "crowded"
    site["class"] = [
        {"name": name, "share": 1 + index % 3, "work_ms": [60 + 10 * index, 110 + 10 * index], "dist": "lognormal",
         "cv": [0.4, 1.1], "aim_ms": 700 + 60 * (index % 5), "deadline_ms": 1500 + 150 * (index % 4), "worth": 1 + index % 4,
         "late_worth": 0.1 if index % 2 else 0, "effect": effects[index % 3], "write": index % 3 != 0,
         **({"window_ms": 1700 + 300 * (index % 4)} if index % 3 == 1 else {})}
        for index, name in enumerate(names)]
    site["tenant"] = [{"name": name, "share": 1 + index % 4} for index, name in enumerate(
        ["a", "B-2", "c.d", "É", "north east", "0", "t" * 60] + [f"tenant-{n:02}" for n in range(13)])]
    site["load"].update(keys=[2000, 9000], over_share_worth=0.1, quota_of_capacity=[0.6, 0.9])
    site["clients"].update(retries=[1, 2.99], honour=[0.3, 0.8])
    site["rules"].update(drain_grace_ms=900, fall_multiple=5, fall_ms=1200)
    site["goal"].update(whole=0.4, worst_window=0.2, worst_class=0.2, worst_tenant=0.2)
    site["fam"].update(callers=["two", "hasty", "least+retry", "copies"], habits=[1, 3], say="level", memory_runs=[8, 9],
                       run_factor=4, key_room=[0.35, 0.4], passes_deadline=False, tells_gone=True, halt="drop",
                       fresh_ms=0)
    site["fam"]["class"] = [{"calls": index % 3 * 0.6, "skip_worth": 0, "memory": 1 + index % 2} for index in range(len(names))]


def make_plain(site):
    """Changes a site to one with one handler, no tenants and no optional parts."""
    site["name"] = "plain"
    site["class"] = [{"name": "only", "share": 1, "work_ms": [500, 900], "dist": "exp", "aim_ms": 6000,
                      "deadline_ms": 20000, "worth": 1, "late_worth": 0.4, "effect": "safe"}]
    site.pop("tenant", None)
    site["load"].update(keys=0, worth_by="work", hints="rough")
    site["load"].pop("key_zipf", None)
    site["clients"].update(retries=0)
    site["net"].update(zones=["hall"], cross_ms=[0.4, 0.8])
    site["rules"].update(drain_grace_ms=400, fall_multiple=4, fall_ms=2500)
    site["goal"].update(whole=0.9, worst_window=0.1, worst_class=0, worst_tenant=0)
    site["prices"].update(waste=0.02, late_fail=0, origin=0.03, handshake=0.02)
    for kind in site["tier"][0]["kind"]:
        kind.update(cores=3)
    site["fam"].update(callers=["round", "stock", "checked"], habits=[1, 2], say="credit", passes_deadline=True,
                       tells_gone=False, halt="none", intake=[0.02, 0.05], run_factor=8)
    site["fam"]["class"] = [{"calls": 1, "skip_worth": 0, "memory": 1}]


def is_nested(value):
    """Returns whether a value is written as a separate TOML table or as an array of tables."""
    return isinstance(value, dict) or (isinstance(value, list) and bool(value) and isinstance(value[0], dict))


def toml_value(value):
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, list):
        return "[" + ", ".join(toml_value(item) for item in value) + "]"
    return json.dumps(value, ensure_ascii=False)


def toml_table(table, path=()):
    """Formats a table as TOML, with plain values before nested tables."""
    lines = [f"{key} = {toml_value(value)}" for key, value in table.items() if not is_nested(value)]
    for key, value in table.items():
        inner_path = (*path, key)
        name = ".".join(inner_path)
        if isinstance(value, dict):
            lines += ["", f"[{name}]", toml_table(value, inner_path)]
        elif is_nested(value):
            for entry in value:
                lines += ["", f"[[{name}]]", toml_table(entry, inner_path)]
    return "\n".join(lines)


def write_site(site):
    """Writes a site file and copies the files that belong next to it. Returns the path of the site file."""
    folder = SITES_FOLDER / "made" / site["name"]
    folder.mkdir(parents=True, exist_ok=True)
    file = folder / f"{site['name']}.toml"
    file.write_text(toml_table(site) + "\n")
    for name in FILES_BESIDE_SITE:
        target = folder / name
        target.unlink(missing_ok=True)
        shutil.copyfile(KIT_FOLDER / name, target)
    return file


def main():
    if not KIT_FOLDER.is_dir():
        print(f"make sites: the kit folder {KIT_FOLDER} does not exist; no deployment was generated", file=sys.stderr)
        return EXIT_NO_KIT
    base = tomllib.loads(next(KIT_FOLDER.glob("*.toml")).read_text())
    base.pop("stock", None)  # the generated sites use their own days
    for change in (make_crowded, make_plain):
        site = copy.deepcopy(base)
        change(site)
        print(write_site(site))
    return 0


if __name__ == "__main__":
    sys.exit(main())
