"""A faulty endpoint: some of its answers are a body without an end.

It runs as a process of its own. Arguments: name, address, the share of faulty
answers in percent, and the length of a chunk. It writes its port and then a
line for each request that it runs to standard output.
"""

import os
import socket
import sys
import threading
import time

BLOCK_BYTES = 262144
WORK_SECONDS = 0.1
name, address, percent, chunk_bytes = sys.argv[1:5]
chunk = b'%x\r\n%s\r\n' % (int(chunk_bytes), b'y' * int(chunk_bytes))
block = chunk * (BLOCK_BYTES // len(chunk))
is_faulty = threading.Event()
printing = threading.Lock()


def say(text):
    with printing:
        print(text, flush=True)


def follow_orders():
    for line in sys.stdin:
        if line.strip() == 'fault':
            is_faulty.set()
        elif line.strip() == 'sound':
            is_faulty.clear()
    # The script has closed the pipe, or has ended.
    os._exit(0)


def read_request(connected, data):
    while b'\r\n\r\n' not in data:
        more = connected.recv(65536)
        if not more:
            return None
        data += more
    raw, _, data = data.partition(b'\r\n\r\n')
    line, *fields = raw.decode('latin-1').split('\r\n')
    head = {':line': line}
    for field in fields:
        key, _, text = field.partition(':')
        head[key.lower()] = text.strip()
    length = int(head.get('content-length', 0))
    while len(data) < length:
        more = connected.recv(65536)
        if not more:
            return None
        data += more
    return head, data[length:]


def serve(connected):
    data = b''
    try:
        while True:
            found = read_request(connected, data)
            if found is None:
                return
            head, data = found
            if not answer(connected, head):
                return
    except OSError:
        # The caller has closed the connection.
        return
    finally:
        connected.close()


def answer(connected, head):
    """Answer a request; return whether another may follow."""
    attempt = head.get('wardstair-attempt-id', '')
    fields = f'Wardstair-Attempt-Id: {attempt}\r\n'
    if head[':line'].split(' ')[1] == '/healthz':
        fields = f'Wardstair-Instance-Id: {name}\r\n'
        connected.sendall(
            f'HTTP/1.1 200 OK\r\n{fields}Content-Length: 0\r\n\r\n'.encode()
        )
        return True
    if head.get('wardstair-expect-instance', name) != name:
        connected.sendall(
            f'HTTP/1.1 421 X\r\n{fields}Content-Length: 0\r\n\r\n'.encode()
        )
        return True
    # By the id, so that a play draws the same ones each time.
    drawn = sum(attempt.encode()) * 37 % 100
    fault = is_faulty.is_set() and drawn < int(percent)
    say(f'run {attempt} {"endless" if fault else "sound"} {head[":line"]}')
    time.sleep(WORK_SECONDS)
    fields += f'Wardstair-Server-Seal: seal.{attempt}\r\n'
    if fault:
        connected.sendall(
            f'HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n'
            '\r\n'.encode()
        )
        while True:
            connected.sendall(block)
    body = f'{name} {attempt}'.encode()
    connected.sendall(
        f'HTTP/1.1 200 OK\r\n{fields}Content-Length: {len(body)}\r\n\r\n'.encode()
        + body
    )
    return True


listening = socket.create_server((address, 0), backlog=200)
say(str(listening.getsockname()[1]))
threading.Thread(target=follow_orders, daemon=True).start()
while True:
    accepted, _ = listening.accept()
    accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    threading.Thread(target=serve, args=(accepted,), daemon=True).start()
