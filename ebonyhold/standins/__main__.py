"""Run a stand-in: ``python -m ebonyhold.standins KIND --bind IP:PORT``."""

from ebonyhold.standins._main import main

if __name__ == "__main__":
    raise SystemExit(main())
