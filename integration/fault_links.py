"""Loopback links with faults, made by the fault-proxy program."""

import http.client
import json
import os
import signal
import subprocess

from platform_cluster import BUILD, http_request, wait_for

HOST = "127.0.0.1"

# The faults of a link from which a soak chooses. Delays apply to one
# direction.
FAULTS = (
    {"cut": True},
    {"blackhole": True},
    {"one_way": True},
    {"delay_ms": 60},
    {"accept_delay_ms": 700},
)
CLEARED_FAULTS = {"cut": False, "blackhole": False, "one_way": False,
                  "delay_ms": 0, "accept_delay_ms": 0}


class Links:
    """A proxy process with a link to each target, on consecutive ports."""

    def __init__(self, targets, base_port):
        self.control = "%s:%d" % (HOST, base_port)
        self.addresses = ["%s:%d" % (HOST, base_port + 1 + i)
                          for i in range(len(targets))]
        pairs = ",".join("%s=%s" % pair
                         for pair in zip(self.addresses, targets))
        self.process = subprocess.Popen(
            [os.path.join(BUILD, "fault-proxy"), "--pairs=" + pairs,
             "--control=" + self.control],
            stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
        wait_for(lambda: http_request(self.control, "/healthz").status == 200,
                 "fault-proxy answers health checks")

    def set_faults(self, index, faults):
        connection = http.client.HTTPConnection(self.control, timeout=5)
        connection.request("POST", "/pairs/%d" % index, json.dumps(faults))
        answer = connection.getresponse()
        if answer.status != 200:
            raise RuntimeError("fault-proxy rejected the change of a link: %s" %
                               answer.read())
        connection.close()

    def stop(self):
        self.process.send_signal(signal.SIGTERM)
        self.process.wait(10)
