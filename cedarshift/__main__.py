"""`python -m cedarshift` is the `cedarshift` command."""

from cedarshift.cli.main import main

if __name__ == "__main__":
    main()
