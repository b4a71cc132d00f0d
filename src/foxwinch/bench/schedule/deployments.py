"""Workload shapes of the two example deployments: classes, programs, pauses, peaks."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PauseShape:
    """Parameters of a log-normal, heavy-tailed pause."""

    median_seconds: float
    sigma: float
    longest_seconds: float


@dataclass(frozen=True, slots=True)
class ClassShape:
    """Shape of the programs of one class.

    Ranges are inclusive and drawn uniformly; shares are fractions between 0 and 1.
    """

    name: str
    rank: int
    deadline_seconds: float
    share: float
    """Share of all programs."""
    system_prefixes: tuple[int, ...]
    system_tokens: int
    turns: tuple[int, int]
    first_tokens: tuple[int, int]
    """New prompt tokens of the first call."""
    turn_tokens: tuple[int, int]
    """New prompt tokens of each later turn."""
    output_tokens: tuple[int, int]
    tools: tuple[str, ...]
    """Tools that may follow a call."""
    tool_share: float
    """Share of turns with a tool call, which is followed by a second model call."""
    tool_tokens: tuple[int, int]
    """New prompt tokens of a tool result."""
    is_interactive: bool = False
    """Whether the program waits for the user between turns."""
    parallel_share: float = 0.0
    """Share of turns that start sub-agents."""
    abandoned_share: float = 0.0
    loop_share: float = 0.0
    peak_factor: float = 1.0
    """Arrival rate during the peak, relative to the rest of the run."""
    maximum_tokens: int = 512
    """Output bound that callers request; policies do not see the actual output length."""


@dataclass(frozen=True, slots=True)
class DeploymentShape:
    """Shape of one deployment."""

    name: str
    engines: int
    objective: str
    classes: tuple[ClassShape, ...]
    urgent_class: str
    primary_class: str
    pauses: dict[str, PauseShape]


PHYSIO = DeploymentShape(
    name="physio",
    engines=6,
    objective="latency",
    urgent_class="alert",
    primary_class="coaching",
    pauses={
        "user": PauseShape(25.0, 1.0, 300.0),
        "session-log": PauseShape(0.4, 0.6, 10.0),
        "records": PauseShape(1.5, 1.0, 30.0),
        "exercise-library": PauseShape(0.6, 0.6, 10.0),
    },
    classes=(
        ClassShape(
            name="alert",
            rank=0,
            deadline_seconds=5.0,
            share=0.40,
            system_prefixes=(1,),
            system_tokens=512,
            turns=(1, 1),
            first_tokens=(40, 90),
            turn_tokens=(40, 90),
            output_tokens=(25, 50),
            tools=("session-log",),
            tool_share=0.0,
            tool_tokens=(20, 40),
        ),
        ClassShape(
            name="coaching",
            rank=1,
            deadline_seconds=90.0,
            share=0.30,
            system_prefixes=(2, 3),
            system_tokens=1024,
            turns=(3, 7),
            first_tokens=(100, 400),
            turn_tokens=(40, 150),
            output_tokens=(80, 220),
            tools=("session-log", "exercise-library"),
            tool_share=0.4,
            tool_tokens=(60, 300),
            is_interactive=True,
            parallel_share=0.15,
            abandoned_share=0.12,
            loop_share=0.02,
        ),
        ClassShape(
            name="draft",
            rank=2,
            deadline_seconds=90.0,
            share=0.30,
            system_prefixes=(4, 5),
            system_tokens=1536,
            turns=(1, 2),
            first_tokens=(400, 1200),
            turn_tokens=(100, 300),
            output_tokens=(200, 400),
            tools=("records", "exercise-library"),
            tool_share=0.6,
            tool_tokens=(100, 500),
            abandoned_share=0.04,
            loop_share=0.01,
            peak_factor=1.5,
            maximum_tokens=800,
        ),
    ),
)

CLEDWYN = DeploymentShape(
    name="cledwyn",
    engines=7,
    objective="cache",
    urgent_class="booking",
    primary_class="journey",
    pauses={
        "user": PauseShape(20.0, 1.0, 300.0),
        "timetable": PauseShape(0.8, 0.9, 30.0),
        "hold-seats": PauseShape(0.3, 0.6, 10.0),
    },
    classes=(
        ClassShape(
            name="booking",
            rank=0,
            deadline_seconds=5.0,
            share=0.35,
            system_prefixes=(1,),
            system_tokens=512,
            turns=(1, 1),
            first_tokens=(40, 90),
            turn_tokens=(40, 90),
            output_tokens=(25, 50),
            tools=("hold-seats",),
            tool_share=0.5,
            tool_tokens=(20, 40),
            peak_factor=1.5,
        ),
        ClassShape(
            name="journey",
            rank=1,
            deadline_seconds=60.0,
            share=0.20,
            system_prefixes=(2, 3),
            system_tokens=1024,
            turns=(3, 8),
            first_tokens=(60, 200),
            turn_tokens=(30, 120),
            output_tokens=(40, 150),
            tools=("timetable", "hold-seats"),
            tool_share=0.6,
            tool_tokens=(100, 400),
            is_interactive=True,
            parallel_share=0.15,
            abandoned_share=0.15,
            loop_share=0.02,
        ),
        ClassShape(
            name="question",
            rank=2,
            deadline_seconds=20.0,
            share=0.45,
            system_prefixes=(4,),
            system_tokens=768,
            turns=(1, 1),
            first_tokens=(30, 120),
            turn_tokens=(30, 120),
            output_tokens=(50, 160),
            tools=("timetable",),
            tool_share=0.7,
            tool_tokens=(100, 500),
            abandoned_share=0.05,
            loop_share=0.01,
            peak_factor=1.5,
        ),
    ),
)

DEPLOYMENTS = {shape.name: shape for shape in (PHYSIO, CLEDWYN)}
