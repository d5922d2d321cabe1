"""Runs the `cedarshift` command for `python -m cedarshift`."""

from cedarshift.cli.main import main

if __name__ == "__main__":
    main()
