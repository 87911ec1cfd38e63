"""Start a program whose connections come from a given IP address.

Without it, all nodes' connections to the servers and all links come from 127.0.0.1.
"""

import runpy
import sys
from asyncio import BaseEventLoop
from functools import partialmethod

import zmq

ip, program = sys.argv[1:]
connect = zmq.Socket.connect


def connect_from_ip(socket: zmq.Socket[bytes], address: str) -> object:
    """Connect a link from the given address."""
    return connect(socket, address.replace("tcp://", f"tcp://{ip}:0;"))


zmq.Socket.connect = connect_from_ip  # type: ignore[assignment, method-assign]
BaseEventLoop.create_connection = partialmethod(  # type: ignore[assignment, method-assign]
    BaseEventLoop.create_connection, local_addr=(ip, 0)
)
runpy.run_path(program, run_name="__main__")
