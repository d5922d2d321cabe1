"""The command line: sub-commands, logging, and the processes that they run."""
