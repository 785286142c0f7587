"""``python -m sedgepitch`` is the command line."""

from sedgepitch.cli.main import main

main()
