"""``python -m sedgepitch`` is the command line.

The module and its adapter need no packages; the command line does, and says so in one line where they are
not there.
"""

import sys


def run() -> None:
    """Run the command line; exits with 2 where a package is missing."""
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
