"""What a witness finds about the sends of other nodes, over all orders of events up to a depth."""

import itertools

import pytest

from foxwinch.core.records.crash_history import Doubt
from foxwinch.core.records.open_sends import KEPT_SECONDS, MAX_SENDS, OpenSend, OpenSends, SenderRun
from foxwinch.core.records.witness_ring import MAX_WITNESSES, Peer, WitnessRing

DEPTH = 6
NODES = ("a", "b", "c")
RESPONSES = "responses arrive"
KILLS = tuple(f"kill {node}" for node in NODES)


class Model:
    """One witness, the runs of the senders, and the sends that were lost with a run."""

    def __init__(self):
        self.sends = OpenSends()
        self.runs = dict.fromkeys(NODES, 1)
        self.lost = []
        """Sends that the witness has found lost and not taken back."""
        self.sent = []
        self.asked = []

    def apply(self, event):
        if event == RESPONSES:
            self._respond()
        elif event in KILLS:
            self.runs[event[-1]] += 1
        else:
            self._send(event)

    def _send(self, node):
        number = len(self.sent)
        sender = SenderRun(node, self.runs[node])
        send = OpenSend("f", sender, Doubt(f"w{number}", number, number + 1), 0.0)
        findings = self.sends.add(send)
        self.lost += findings.lost
        self.asked += findings.asked
        self.sent.append(send)

    def _respond(self):
        """Let each asked node that still runs respond, and the time of the others pass."""
        asked, self.asked = self.asked, []
        for sender in asked:
            if self.runs[sender.address] == sender.run:
                for send in self.sends.on_response(sender):
                    self.lost.remove(send)
            else:
                self.lost += self.sends.on_timeout(sender)

    def is_dead(self, send):
        return self.runs[send.sender.address] != send.sender.run


# Guards against a send that nobody counts whose node was killed before the request was sent again,
# and against a doubt that stays although its node still accounts for the send.
@pytest.mark.parametrize("first", [*NODES, *KILLS, RESPONSES])
def test_sends_of_killed_nodes_are_found_in_any_order(first):
    events = (*NODES, *KILLS, RESPONSES)
    for rest in itertools.product(events, repeat=DEPTH - 1):
        model = Model()
        for event in (first, *rest):
            model.apply(event)
        dead = [send for send in model.sent if model.is_dead(send)]
        model.apply("c")
        model.apply(RESPONSES)
        assert len(model.lost) == len(set(model.lost))
        sender = model.sent[-1].sender
        found = set(model.lost)
        assert found >= {send for send in dead if send.sender != sender}, (first, rest)
        assert all(model.is_dead(send) for send in found), (first, rest)


def test_the_number_of_kept_sends_is_bounded():
    sends = OpenSends()
    for number in range(MAX_SENDS + 10):
        sends.add(OpenSend(f"f{number}", SenderRun("a", 1), Doubt("w", 1, 2), 0.0))
    assert len(sends) == MAX_SENDS
    sends.add(OpenSend("g", SenderRun("a", 1), Doubt("w", 1, 2), KEPT_SECONDS + 1))
    assert len(sends) == 1


@pytest.mark.parametrize("zones", [1, 2, 4])
@pytest.mark.parametrize("nodes", [1, 2, 3, 5, 12])
def test_witnesses_of_two_senders_have_a_node_in_common(nodes, zones):
    peers = {f"n{number}": Peer(f"n{number}:1", f"z{number % zones}") for number in range(nodes)}
    ring = WitnessRing(peers)
    for number in range(50):
        chosen = {name: ring.choose(f"{number:032x}", name) for name in peers}
        for name, addresses in chosen.items():
            assert f"{name}:1" not in addresses
            assert len(addresses) == len(set(addresses)) <= MAX_WITNESSES
            assert len(addresses) >= min(2, nodes - 1)
        for first, second in itertools.combinations(peers, 2):
            reachable = {f"{first}:1", f"{second}:1"}
            known = set(chosen[first]) | reachable
            assert known & (set(chosen[second]) | reachable) - {f"{first}:1"}


def test_witnesses_are_in_two_zones():
    ring = WitnessRing(
        {f"n{number}": Peer(f"n{number}:1", f"z{number % 3}") for number in range(9)}
    )
    for number in range(50):
        first, second, *_ = ring.choose(f"{number:032x}", "n0")
        zones = {int(address[1]) % 3 for address in (first, second)}
        assert len(zones) == 2


# Guards against a run that is taken to have ended as an earlier question to it is over, to which it
# has responded.
def test_a_response_ends_its_question_and_no_later_one():
    sends, sender, other = OpenSends(), SenderRun("a", 1), SenderRun("b", 1)
    sends.add(OpenSend("f", sender, Doubt("w0", 1, 2), 0.0))
    assert sends.find("f", other).asked == [sender]
    first = sends.open_question(sender)
    sends.on_response(sender)
    assert sends.open_question(sender) is None
    assert sends.find("f", other).asked == [sender]
    assert sends.open_question(sender) not in (None, first)
