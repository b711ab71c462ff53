"""Prints the settings of a role as the stand-in of fleet.py renders them.

usage: render.py ROLE"""

import sys

import fleet

PORTS = {"frontend": 8740, "readiness": 8749, "control_plane": 8748, "registry": 8747,
         "internal": 7200}


def main():
    roles = fleet.commands()
    if len(sys.argv) != 2 or sys.argv[1] not in roles:
        sys.exit(f"usage: render.py {'|'.join(roles)}")
    role = sys.argv[1]
    _, template = roles[role]
    fields = fleet.settings_fields(f"{role}-a-1", role, "10.1.0.19", "a", PORTS,
                                   ["10.1.0.22", "10.2.0.16", "10.3.0.17"], True, "/data")
    try:
        sys.stdout.write(fleet.render(template, fields))
    except fleet.CannotRun as error:
        sys.exit(f"render.py: {error}")


if __name__ == "__main__":
    main()
