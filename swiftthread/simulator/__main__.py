"""Serves the simulator's protocol on standard input and output until the input ends."""

import sys

from swiftthread.simulator.codec import ReplyWriter, read_frame
from swiftthread.simulator.errors import ProtocolError
from swiftthread.simulator.session_host import SessionHost

EXIT_OK = 0
EXIT_MALFORMED_INPUT = 2


def main() -> int:
    """Reply to the simulator's frames until it closes the input; return the exit code of the process."""
    host = SessionHost()
    input_stream = sys.stdin.buffer
    output_stream = sys.stdout.buffer
    try:
        while (frame := read_frame(input_stream)) is not None:
            reply = ReplyWriter(frame.batch_number)
            host.handle_frame(frame, reply)
            output_stream.write(reply.encode())
            output_stream.flush()
    except ProtocolError as error:
        print(f"swiftthread.simulator: {error}", file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    except BrokenPipeError:
        return EXIT_OK
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
