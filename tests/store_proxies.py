"""Proxies that cut a single instance off from the store."""

import contextlib
import socket
import threading

RECEIVE_BYTES = 65_536


class StoreProxy:
    """Passes bytes on between an instance and the store.

    While it is cut, it holds them. What the instance had sent reaches the store
    afterwards, also if the instance has closed the connection meanwhile.
    """

    def __init__(self, store_address):
        self._store_address = store_address
        self._passes = threading.Event()
        self._passes.set()
        self._listener = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self):
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    def cut(self):
        self._passes.clear()

    def heal(self):
        self._passes.set()

    def close(self):
        self.heal()
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                near, _ = self._listener.accept()
                self._start(self._connect, near)

    def _start(self, task, *args):
        threading.Thread(target=task, args=args, daemon=True).start()

    def _connect(self, near):
        self._passes.wait()
        with contextlib.suppress(OSError):
            far = socket.create_connection(self._store_address)
            self._start(self._relay, near, far)
            self._relay(far, near)

    def _relay(self, source, sink):
        with contextlib.suppress(OSError):
            while data := source.recv(RECEIVE_BYTES):
                self._passes.wait()
                sink.sendall(data)
        for sock in (source, sink):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
