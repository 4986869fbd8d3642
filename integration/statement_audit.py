"""Checks afterwards that nodes obeyed what replicas stated in their answers.

A node must obey a statement some time after the replica has answered it so. A
disruption of the node since then (a kill, a pause, a stop) excuses it, because
it may have forgotten the statement.
"""

import bisect
import dataclasses

# A node that was told a limit or a back-off obeys it after this time.
REACTION_S = 0.5
# A leaving replica may get requests that callers send within this time.
DRAIN_S = 3
# A replica may get one and a half times its limit and a few requests more in
# any window of this length.
WINDOW_S = 4
EXCESS_FACTOR = 1.5
EXCESS_REQUESTS = 5
# Requests that a replica may get from a node during a back-off.
BACKOFF_REQUESTS = 2


@dataclasses.dataclass
class SentRequest:
    """A request of a caller; times are those of time.monotonic()."""
    node: str
    sent_at: float


class StatementAudit:
    """The requests of callers and the disruptions of nodes in a test."""

    def __init__(self):
        self.requests = {}
        self.disruptions = {}

    def add_request(self, request_id, node, sent_at):
        self.requests[request_id] = SentRequest(node, sent_at)

    def add_disruption(self, node, at):
        self.disruptions.setdefault(node, []).append(at)

    def problems(self, replica):
        """Returns a description of each rule that the requests to the replica
        break."""
        return [*self.leaving_problems(replica), *self.limit_problems(replica),
                *self.backoff_problems(replica)]

    def is_disrupted(self, node, after, before):
        times = sorted(self.disruptions.get(node, ()))
        return bisect.bisect_right(times, before) > \
            bisect.bisect_left(times, after)

    def arrivals(self, replica):
        """Yields the time and the SentRequest of each request that reached the
        replica."""
        for request_id, at in zip(replica.arrived, replica.arrival_times):
            if request_id in self.requests:
                yield at, self.requests[request_id]

    def told_at(self, replica, node, before, states):
        """Returns when the replica first made a statement to the node after the
        node's last disruption; None if it made none."""
        for answer in replica.answers:
            request = self.requests.get(answer.request_id)
            if answer.at > before:
                return None
            if request and request.node == node and states(answer) and \
                    not self.is_disrupted(node, answer.at, before):
                return answer.at
        return None

    def leaving_problems(self, replica):
        for at, request in self.arrivals(replica):
            told_at = self.told_at(replica, request.node, at,
                                   lambda answer: answer.leaving)
            if told_at is not None and request.sent_at > told_at + DRAIN_S:
                yield "%s, which leaves, got a request of %s %.1f s after it " \
                    "told it" % (replica.name, request.node, at - told_at)

    def limit_problems(self, replica):
        limits = {answer.rate_limit for answer in replica.answers
                  if answer.rate_limit is not None}
        for limit in limits:
            counted = []
            for at, request in self.arrivals(replica):
                told_at = self.told_at(
                    replica, request.node, at,
                    lambda answer, limit=limit: answer.rate_limit == limit)
                if told_at is not None and at >= told_at + REACTION_S and \
                        replica.limit_at(at) == limit:
                    counted.append(at)
            allowed = EXCESS_FACTOR * limit * WINDOW_S + EXCESS_REQUESTS
            most = max((bisect.bisect_left(counted, at + WINDOW_S) - i
                        for i, at in enumerate(counted)), default=0)
            if most > allowed:
                yield "%s got %d requests in %d s, allowed %.1f" % (
                    replica.name, most, WINDOW_S, allowed)

    def backoff_problems(self, replica):
        arrivals = list(self.arrivals(replica))
        for answer in replica.answers:
            request = self.requests.get(answer.request_id)
            if not request or answer.retry_after_s is None:
                continue
            end = answer.at + answer.retry_after_s
            count = sum(
                other.node == request.node and
                answer.at + REACTION_S <= at < end and
                not self.is_disrupted(other.node, answer.at, at)
                for at, other in arrivals)
            if count > BACKOFF_REQUESTS:
                yield "%s got %d requests of %s during a back-off" % (
                    replica.name, count, request.node)
