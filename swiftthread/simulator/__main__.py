"""Serve the drill's wire on standard input and output until the input ends."""

import sys

from swiftthread.simulator import codec
from swiftthread.simulator.sessions import SessionHost


def main():
    """Answer the simulator's frames until it closes our input."""
    host, source, endpoint = SessionHost(), sys.stdin.buffer, sys.stdout.buffer
    try:
        while (frame := codec.read_frame(source)) is not None:
            number, now, records, tail = frame
            reply = codec.Reply(number)
            host.batch(number, now, records, tail, reply)
            endpoint.write(reply.frame())
            endpoint.flush()
    except codec.MalformedInput as fault:
        print(f"swiftthread.simulator: {fault}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 0
    return 0


if __name__ == "__main__":
    sys.exit(main())
