"""A caller on a narrow link: it reads its answer without a pause, but slowly."""

import socket
import time

# Of Ethernet, and a small window: loopback's own would let the kernel take
# megabytes of an answer at once.
SEGMENT_BYTES = 1460
RECEIVE_BYTES = 2304


class Download:
    """The answer to one request, as its caller gets it."""

    def __init__(self, record, identity):
        self.record = record
        self.identity = identity
        self.status = None
        self.length = None
        self.got = 0
        self.seconds = 0.0
        self.end = "not asked"

    @property
    def whole(self):
        return self.status == 200 and self.got == self.length

    def text(self):
        return "%s: status %s, %d of %s bytes after %.2f s, %s" % (
            self.identity, self.status, self.got, self.length, self.seconds,
            self.end)


def download(record, address, port, identity, method, path, bytes_per_second,
             deadline_ms, on_sent=lambda: None):
    """Blocks until the answer is whole, its connection ends or the deadline
    has passed."""
    out = Download(record, identity)
    caller = socket.socket()
    caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    begun = time.monotonic()
    caller.settimeout(deadline_ms / 1000)
    head = b""
    try:
        caller.connect((address, port))
        caller.sendall(
            ("%s %s HTTP/1.1\r\nHost: review.example\r\nX-Request-Id: %s\r\n"
             "X-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n" % (
                 method, path, identity, deadline_ms)).encode())
        record.note("caller sends %s" % identity)
        on_sent()
        taken = 0
        while True:
            left = begun + deadline_ms / 1000 - time.monotonic()
            if left <= 0:
                out.end = "deadline"
                break
            caller.settimeout(left)
            piece = caller.recv(4096)
            if not piece:
                out.end = "connection ended"
                break
            taken += len(piece)
            if out.length is None:
                head += piece
                if b"\r\n\r\n" not in head:
                    continue
                lines, _, piece = head.partition(b"\r\n\r\n")
                lines = lines.decode("latin-1").split("\r\n")
                out.status = int(lines[0].split(" ")[1])
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    if name.lower() == "content-length":
                        out.length = int(value)
            out.got += len(piece)
            if out.length is not None and out.got >= out.length:
                out.end = "whole"
                break
            ahead = taken / bytes_per_second - (time.monotonic() - begun)
            if ahead > 0:
                time.sleep(ahead)
    except ConnectionResetError:
        out.end = "connection reset"
    except OSError as why:
        out.end = "failed: %s" % why
    finally:
        caller.close()
    out.seconds = time.monotonic() - begun
    record.note("caller gets %s" % out.text())
    return out
