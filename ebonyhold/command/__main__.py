"""Run the command-line tool with ``python -m ebonyhold.command``."""

from ebonyhold.command import main

if __name__ == "__main__":
    main()
