"""A proxy on the path between one node and the store."""

import socket
import threading


class Proxy:
    """Forwards channels to the store; a silent one forwards nothing.

    While it is silent, open channels and new ones stay open and no byte passes
    in either direction, as behind a partition. What was held up is lost with
    its channel.
    """

    def __init__(self, host, store):
        self.watching = 0  # calls that wait for changes of the store
        self.is_silent = False
        store_host, port = store.split(':')
        self._store = (store_host, int(port))
        self._sockets = []
        self._listener = socket.create_server((host, 0))
        self.address = f'{host}:{self._listener.getsockname()[1]}'
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._listener.close()
        for one in self._sockets:
            one.close()

    def _accept(self):
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            server = socket.create_connection(self._store)
            self._sockets += [client, server]
            state = {'is_lost': self.is_silent, 'watches': False}
            for source, sink, is_call in (
                (client, server, True),
                (server, client, False),
            ):
                threading.Thread(
                    target=self._pump,
                    args=(source, sink, is_call, state),
                    daemon=True,
                ).start()

    def _pump(self, source, sink, is_call, state):
        while True:
            try:
                chunk = source.recv(65536)
            except OSError:
                chunk = b''
            if not chunk:
                break
            if self.is_silent:
                state['is_lost'] = True
            if state['is_lost']:
                continue
            if is_call and b'GET /kv-watch' in chunk:
                state['watches'] = True
                self.watching += 1
            elif not is_call and state['watches']:
                state['watches'] = False
                self.watching -= 1
            try:
                sink.sendall(chunk)
            except OSError:
                break
        if state['watches'] and not state['is_lost']:
            state['watches'] = False
            self.watching -= 1
        if not state['is_lost']:
            for one in (source, sink):
                one.close()
