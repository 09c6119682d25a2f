"""Example tables for the demo, the golden tests and the process tests."""


def row(partner, kind, workload, urgency, guaranteed, **limits):
    return {"partner": partner, "kind": kind, "workload": workload, "weight": 1.0,
            "guaranteed": guaranteed, "urgency": urgency, "disruption_limit": 1,
            "limits": {"queue_length": 5000, **limits}}


def mixed_rows(batch_guaranteed=0.3):
    return [row("andes", "web", "request", 0, 0.2),
            row("andes", "service", "service", 2, 0.1),
            row("savanna", "batch", "batch", 7, batch_guaranteed),
            row("savanna", "gang", "gang", 4, 0.2),
            row("savanna", "web", "request", 0, 0.1)]
