"""Servers for tests: one that never responds, and an HTTP server."""

import contextlib
import http.server
import json
import socket
import threading


@contextlib.contextmanager
def run_unresponsive_server():
    """Runs a server that accepts connections and never responds.

    It behaves like the peer of a half-open connection. Yields the address.
    """
    listener = socket.create_server(("127.0.0.1", 0))
    connections = []

    def accept():
        with contextlib.suppress(OSError):
            while True:
                connections.append(listener.accept()[0])

    thread = threading.Thread(target=accept, daemon=True)
    thread.start()
    try:
        yield f"127.0.0.1:{listener.getsockname()[1]}"
    finally:
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        thread.join()
        for connection in connections:
            connection.close()


def find_unused_address():
    """Returns an address on which no server listens."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"


@contextlib.contextmanager
def run_http_server(respond):
    """Runs an HTTP/1.1 server with persistent connections.

    `respond(method, path, body, headers)` returns (status, value) or (status,
    value, headers), or None to close the connection without a response. A
    value that is not bytes is sent as JSON. Yields the address.
    """

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        # Headers and body are sent in two writes. With Nagle's algorithm the
        # second write would wait for a delayed acknowledgement.
        disable_nagle_algorithm = True

        def _handle(self):
            length = int(self.headers.get("Content-Length", 0))
            data = self.rfile.read(length)
            body = json.loads(data) if data else None
            response = respond(self.command, self.path, body, self.headers)
            if response is None:
                self.close_connection = True
                return
            status, value, *extra_headers = response
            self.send_response(status)
            content = value if isinstance(value, bytes) else json.dumps(value)
            data = content if isinstance(content, bytes) else content.encode()
            for name, header in dict(*extra_headers).items():
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
            pass  # Tests disconnect clients on purpose.

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
