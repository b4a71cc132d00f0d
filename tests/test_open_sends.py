"""What a witness finds about the sends of other nodes, over all orders of events up to a depth."""

import itertools

import pytest

from foxwinch.core.records.crash_history import Doubt
from foxwinch.core.records.open_sends import KEPT_SECONDS, MAX_SENDS, OpenSend, OpenSends, SenderRun
from foxwinch.core.records.witness_ring import WITNESSES, Peer, WitnessRing

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
        doubt = Doubt(f"w{number}", number, number + 1, sent_ms=number)
        send = OpenSend("f", sender, doubt, 0.0)
        findings = self.sends.add(send)
        self.lost += findings.lost
        self.asked += findings.asked
        self.sent.append(send)

    def _respond(self):
        """Let each asked node that still runs respond, and the time of the others pass."""
        asked, self.asked = self.asked, []
        for question in asked:
            sender = question.sender
            if self.runs[sender.address] == sender.run:
                for send in self.sends.on_response(question):
                    self.lost.remove(send)
            else:
                self.lost += self.sends.on_timeout(question)

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
def test_the_witnesses_of_a_request_are_in_as_many_zones_as_there_are(nodes, zones):
    peers = {f"n{number}": Peer(f"n{number}:1", f"z{number % zones}") for number in range(nodes)}
    ring = WitnessRing(peers)
    for number in range(50):
        chosen = ring.choose(f"{number:032x}")
        assert len(chosen) == len(set(chosen)) == min(WITNESSES, nodes)
        assert len({peers[name].zone for name in chosen}) == min(WITNESSES, nodes, zones)


# Guards against a send that only nodes know of which the next sender does not ask (BUDGET).
@pytest.mark.parametrize("nodes", [1, 2, 3, 5, 12])
def test_any_two_majorities_of_witnesses_have_a_node_in_common(nodes):
    ring = WitnessRing({f"n{number}": Peer(f"n{number}:1", "z") for number in range(nodes)})
    for number in range(50):
        chosen = ring.choose(f"{number:032x}")
        majorities = list(itertools.combinations(chosen, len(chosen) // 2 + 1))
        for one, other in itertools.product(majorities, repeat=2):
            assert set(one) & set(other)


# Guards against a node that starts again and does not ask all that know of its sends (BUDGET).
@pytest.mark.parametrize("zones", [1, 2, 4])
def test_all_nodes_with_a_common_request_are_partners(zones):
    peers = {f"n{number}": Peer(f"n{number}:1", f"z{number % zones}") for number in range(9)}
    ring = WitnessRing(peers)
    partners = {name: ring.partners(name) for name in peers}
    for number in range(500):
        chosen = set(ring.choose(f"{number:032x}"))
        for name in chosen:
            assert chosen - {name} <= partners[name]
    assert "n0" not in partners["n0"]


# Guards against a run that is taken to have ended as an earlier question to it is over, to which it
# has responded.
def test_a_response_ends_its_question_and_no_later_one():
    sends, sender, other = OpenSends(), SenderRun("a", 1), SenderRun("b", 1)
    sends.add(OpenSend("f", sender, Doubt("w0", 1, 2), 0.0))
    (question,) = sends.find("f", other).asked
    first = sends.number_of(question)
    assert sends.is_undecided("f", other)
    sends.on_response(question)
    assert not sends.is_undecided("f", other)
    assert sends.find("f", other).asked == [question]
    assert sends.number_of(question) not in (None, first)


# Guards against two losses for one request that was sent once, as a worker refused it first.
def test_a_send_with_the_number_of_one_that_was_refused_replaces_it():
    sends, sender = OpenSends(), SenderRun("a", 1)
    sends.add(OpenSend("f", sender, Doubt("w0", 5, 9, sent_ms=5), 0.0))
    sends.add(OpenSend("f", sender, Doubt("w1", 5, 9, sent_ms=5), 0.0))
    assert [send.doubt.worker for send in sends.in_range(15)] == ["w1"]
    sends.settle("f", sender, 5)
    assert len(sends) == 0
