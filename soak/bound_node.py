"""Start a program whose connections come from a given IP address.

Without it, all nodes' connections to the servers come from 127.0.0.1.
"""

import runpy
import sys
from asyncio import BaseEventLoop
from functools import partialmethod

ip, program = sys.argv[1:]
BaseEventLoop.create_connection = partialmethod(  # type: ignore[assignment, method-assign]
    BaseEventLoop.create_connection, local_addr=(ip, 0)
)
runpy.run_path(program, run_name="__main__")
