"""`python -m swiftthread.lab`: the laboratory's command line."""

from swiftthread.lab.cli import main

if __name__ == "__main__":
    main(prog_name="swiftthread.lab")
