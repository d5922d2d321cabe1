"""The command line: sub-commands, logging and the processes they run."""
