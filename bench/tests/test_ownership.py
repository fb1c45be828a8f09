"""Test what is read from the output of a play."""

from bench.ownership import Takeover, read_play

OUTPUT = """\
 -11.3902 entry-c-2 {"event": "taken-over", "instance": "entry-c-2", "epoch": 1}
  12.2272 entry-a-2 {"event": "owner-begins", "instance": "entry-a-2", "epoch": 2}
  12.2512 entry-a-2 {"event": "taken-over", "instance": "entry-a-2", "epoch": 2}
  13.0000 entry-a-2 {"event": "taken-ov
worth 0.636 = whole day 0.990 (weight 0.35) less prices

what happened
    12.0 s to     16.5 s  store-trouble (busy) entry-c-2
     3.2 s  configuration-change

seen
- 381 jobs
"""


class TestReading:
    """Test one play."""

    def test_owners_gaps_and_worth_are_read(self):
        play = read_play(OUTPUT.splitlines())
        assert play.worth == 0.636
        assert play.takeovers == [
            Takeover(-11.3902, "entry-c-2", 1),
            Takeover(12.2512, "entry-a-2", 2),
        ]
        assert [round(gap, 3) for gap in play.gaps()] == [0.251]
