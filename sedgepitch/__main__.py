"""Entry point of the command line, ``python -m sedgepitch``.

The library and its adapter need no third-party packages; the command line does, and reports a missing one in
a single line.
"""

import sys


def run() -> None:
    """Run the command line; exit with 2 if a package is missing."""
    try:
        from sedgepitch.cli.main import main

        main()
    except ModuleNotFoundError as error:
        name = (error.name or "").partition(".")[0]
        if name in ("", "sedgepitch"):
            raise
        print(
            f"sedgepitch: the package '{name}' is missing: pip install 'sedgepitch[daemon]'", file=sys.stderr
        )
        sys.exit(2)


if __name__ == "__main__":
    run()
