"""Servers for tests: silent ones, and HTTP with answers given by a function."""

import contextlib
import http.server
import json
import socket
import threading


@contextlib.contextmanager
def run_unresponsive_server():
    """A half-open peer: takes connections and never answers."""
    listener = socket.create_server(("127.0.0.1", 0))
    kept = []

    def accept():
        with contextlib.suppress(OSError):
            while True:
                kept.append(listener.accept()[0])

    thread = threading.Thread(target=accept, daemon=True)
    thread.start()
    try:
        yield f"127.0.0.1:{listener.getsockname()[1]}"
    finally:
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        thread.join()
        for connection in kept:
            connection.close()


def find_unused_address():
    """Returns an address on which nothing listens."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"


@contextlib.contextmanager
def run_http_server(respond):
    """Runs an HTTP/1.1 server with keep-alive.

    `answer(method, path, body, headers)` returns (status, value), or None to
    close the connection without an answer. Yields the address.
    """

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        # Headers and body go out in two writes; without this, the second
        # one waits for a delayed acknowledgement.
        disable_nagle_algorithm = True

        def _handle(self):
            length = int(self.headers.get("Content-Length", 0))
            data = self.rfile.read(length)
            body = json.loads(data) if data else None
            result = respond(self.command, self.path, body, self.headers)
            if result is None:
                self.close_connection = True
                return
            status, value, *more = result
            self.send_response(status)
            text = value if isinstance(value, bytes) else json.dumps(value)
            data = text if isinstance(text, bytes) else text.encode()
            for name, header in dict(*more).items():
                self.send_header(name, header)
            if status != 304:
                self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            if status != 304:
                self.wfile.write(data)

        do_GET = do_POST = _handle  # noqa: N815

        def log_message(self, *_):
            pass

    class Server(http.server.ThreadingHTTPServer):
        def handle_error(self, *_):
            pass  # A client that went away is part of the tests.

    server = Server(("127.0.0.1", 0), Handler)
    server.daemon_threads = True
    thread = threading.Thread(target=server.serve_forever, args=(0.02,))
    thread.start()
    try:
        yield f"127.0.0.1:{server.server_address[1]}"
    finally:
        server.shutdown()
        server.server_close()
        thread.join()
