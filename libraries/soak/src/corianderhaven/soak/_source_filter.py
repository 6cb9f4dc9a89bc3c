"""Socket filter that drops new connections from some sources, as a network partition does."""

import ctypes
import socket
import struct

# Classic BPF, see ``filter.txt`` in the documentation of the Linux kernel.
SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27
LOAD_WORD, JUMP_IF_EQUAL, RETURN = 0x20, 0x15, 0x06
SOURCE_ADDRESS = 0xFFF00000 + 12  # offset in the IP header, relative to the network layer
ACCEPT, DROP = 0xFFFFFFFF, 0
INSTRUCTION = struct.Struct("HBBI")
PROGRAM = struct.Struct("HP")


def drop_sources(sock, source_ips):
    """Make a listening socket drop the packets from `source_ips`, and from no other source.

    Connections that are open already are not affected.

    Parameters
    ----------
    sock : socket.socket
    source_ips : set of str
        IPv4 addresses.
    """
    if not source_ips:
        sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
        return
    count = len(source_ips)
    instructions = [
        INSTRUCTION.pack(LOAD_WORD, 0, 0, SOURCE_ADDRESS),
        *(
            INSTRUCTION.pack(JUMP_IF_EQUAL, count - number, 0, _as_number(ip))
            for number, ip in enumerate(sorted(source_ips))
        ),
        INSTRUCTION.pack(RETURN, 0, 0, ACCEPT),
        INSTRUCTION.pack(RETURN, 0, 0, DROP),
    ]
    code = ctypes.create_string_buffer(b"".join(instructions))
    program = PROGRAM.pack(len(instructions), ctypes.addressof(code))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


def _as_number(ip):
    return int.from_bytes(socket.inet_aton(ip), "big")
