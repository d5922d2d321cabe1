import pytest
from click.testing import CliRunner

from cedarshift.cli.main import main
from cedarshift.deployment import InvalidFile, load
from cedarshift.deployment.deployment import diff_settings
from cedarshift.deployment.render import render
from cedarshift.rehearsal.day import load_day

VALID = open("examples/lone.hcl").read()


def load_errors(tmp_path, text):
    path = tmp_path / "f.hcl"
    path.write_text(text)
    with pytest.raises(InvalidFile) as raised:
        load(str(path))
    return [str(p).split("f.hcl", 1)[1] for p in raised.value.problems]


@pytest.mark.parametrize(
    "old, new, line, expected",
    [
        ('"6s"', '"6 s"', 10, 'op_timeout = "6 s" in op_type "tile-fetch"'),
        ("slices       = 32", "slices = -1", 3, "from 0 to"),
        ("slices       =", "slicez =", 3, "slicez is unknown"),
        ('repeats        = "once-only"\n', "", 14, "repeats is missing"),
        ("32", "1 + 2", 3, "only plain values"),
        ("32", "", 3, "not HCL"),
        ('pick         = "even"', 'pick = "odd"', 6, '"chance"'),
        ('"127.0.0.1:7180"', '"127.0.0.1:99999"', 24, "an address such as"),
        ('zone   = "north"', 'zone = "mars"', 25, "mars"),
        ('"127.0.0.1:7180"', '"127.0.0.1:7100"', 22, "is the address of pilot p0 and of admin of p0"),
        ('"3200ms"', '"2s"', 36, "in_flight_most is under the op_timeout of 'tile-order'"),
        ('  list {\n    file = "lone-endpoints.json"\n  }\n', "", 2, "0 blocks list"),
        ('file = "lone', 'service = "127.0.0.1:1"\n    file = "lone', 32, "either service or file"),
        ('pilot "p0" {', "pilot {", 22, "has 0 names"),
        ("writes         = true", "writes = 1", 19, "true or false"),
        ("zones        =", "slices = 3\n  zones =", 4, "slices is set twice"),
        ("slices       = 32", 'slices = 32\n  secret_file = "gone"', 4, "No such file"),
    ],
)
def test_every_error_has_its_line_and_what_is_allowed(tmp_path, old, new, line, expected):
    assert old in VALID
    problems = load_errors(tmp_path, VALID.replace(old, new, 1))
    assert any(p.startswith(f":{line}: ") and expected in p for p in problems), problems


def test_all_problems_are_reported_at_once(tmp_path):
    assert (
        len(
            load_errors(
                tmp_path, VALID.replace('"6s"', "6").replace("= 32", '= "x"').replace('"even"', '"odd"')
            )
        )
        == 3
    )


@pytest.mark.parametrize(
    "path",
    [
        "examples/lone.hcl",
        "cedarshift/rehearsal/days/deployment-tiles.hcl",
        "cedarshift/rehearsal/days/deployment-cyclone.hcl",
    ],
)
def test_a_rendered_deployment_reads_back_as_the_same(tmp_path, path):
    before = load(path)
    rendered_file = tmp_path / "out.hcl"
    rendered_file.write_text(render(before))
    reloadable, restart_only = diff_settings(before, load(str(rendered_file)))
    assert (reloadable, restart_only) == ([], [])


def test_a_reload_separates_reloadable_settings_from_others(tmp_path):
    path = tmp_path / "f.hcl"
    path.write_text(VALID.replace("slices       = 32", "slices = 33\n  intake_per_s = 9"))
    assert diff_settings(load("examples/lone.hcl"), load(str(path))) == (["intake_per_s"], ["slices"])


@pytest.mark.parametrize(
    "name",
    [
        "quiet",
        "bad-day",
        "cyclone-morning",
        "broken",
        "newcomer-cold",
        "newcomer-taught",
        "newcomer-spared",
        "newcomer-misled",
        "newcomer-alone",
        "budgets-day",
        "flood",
        "retry-storm",
        "probe-storm",
        "herd",
        "half-blind",
        "stopped",
        "slow-many",
        "surge-quiet",
        "surge-mix",
        "zk-rolling-deploy",
        "zk-expiry-storm",
        "zk-losses",
        "file-losses",
        "list-losses",
    ],
)
def test_the_bundled_days_are_valid(name):
    assert load_day(name).name == name


@pytest.mark.parametrize(
    "fault, expected",
    [
        ('fault "flood" { at = "1s" }', "fault 'flood' is unknown; known: "),
        ('fault "hang" { at = "1s" }', 'for is missing in fault "hang"'),
        ('fault "hang" {\n at = "99s"\n for = "1s"\n }', "begins after the day's end"),
        ('fault "kill_proxy" {\n at = "1s"\n for = "1s"\n which = 7\n }', "which = 7, there are 5"),
    ],
)
def test_the_faults_of_a_day_are_validated_by_kind(tmp_path, fault, expected):
    day = open("cedarshift/rehearsal/days/quiet.hcl").read().rstrip().rstrip("}") + fault + "\n}\n"
    (tmp_path / "deployment-tiles.hcl").write_text(
        open("cedarshift/rehearsal/days/deployment-tiles.hcl").read()
    )
    (tmp_path / "day.hcl").write_text(day)
    with pytest.raises(InvalidFile, match=expected):
        load_day(str(tmp_path / "day.hcl"))


ROSTER = """roster "zookeeper" {
    servers = ["127.0.0.1:2181", "127.0.0.1:2182"]
    path = "/svc/tiles"
    auth = "zk-auth"
  }"""
LIST = """list {
    file = "lone-endpoints.json"
  }"""


@pytest.mark.parametrize(
    "old, new, line, expected",
    [
        ('"127.0.0.1:2182"', '"127.0.0.1:2181"', 33, "different addresses"),
        ('["127.0.0.1:2181", "127.0.0.1:2182"]', "[]", 33, "servers = []"),
        ('"/svc/tiles"', '"svc"', 34, "does not begin with /"),
        ('"/svc/tiles"', '"/"', 34, "the root"),
        ('"zookeeper"', '"consul"', 32, 'known: "zookeeper"'),
        ("path =", 'format = "xml"\n    path =', 34, '"serverset", "curator", "plain"'),
        ("path =", 'hold = "4s"\n    path =', 34, "leaves no time"),
        ("path =", 'port_name = "x"\n    format = "plain"\n    path =', 34, "no meaning"),
        ('"zk-auth"', '"nowhere"', 35, "No such file"),
        ('"zk-auth"', '"zk-bad"', 35, 'zk-bad:3: "digest user:password"'),
        ("  roster", '  list {\n    file = "x"\n  }\n  roster', 2, "2 blocks list and roster"),
    ],
)
def test_every_error_of_a_roster_has_its_line(tmp_path, old, new, line, expected):
    (tmp_path / "zk-auth").write_text("digest p0:secret\n")
    (tmp_path / "zk-bad").write_text("digest p0:secret\n\nsasl x\n")
    text = VALID.replace(LIST, ROSTER)
    assert old in text and text != VALID
    problems = load_errors(tmp_path, text.replace(old, new, 1))
    assert any(p.startswith(f":{line}: ") and expected in p for p in problems), problems


def test_a_roster_is_read_with_its_credentials_and_rendered_as_the_same(tmp_path):
    (tmp_path / "zk-auth").write_text("digest p0:secret\n")
    (tmp_path / "f.hcl").write_text(VALID.replace(LIST, ROSTER))
    before = load(str(tmp_path / "f.hcl"))
    nodes = before.listed.nodes
    assert (
        nodes.auth == (("digest", b"p0:secret"),)
        and nodes.servers[1] == ("127.0.0.1", 2182)
        and nodes.hold == 1_000_000
    )
    (tmp_path / "out.hcl").write_text(render(before))
    assert diff_settings(before, load(str(tmp_path / "out.hcl"))) == ([], [])


@pytest.mark.parametrize("like, expected", [("nowhere", "no such day beside this one"), ("a", "ring")])
def test_a_day_with_a_missing_or_circular_base_is_refused(tmp_path, like, expected):
    (tmp_path / "a.hcl").write_text(f'rehearsal "a" {{\n  like = "{like}"\n}}\n')
    with pytest.raises(InvalidFile, match=expected):
        load_day(str(tmp_path / "a.hcl"))


def test_a_day_overrides_attributes_and_adds_blocks_to_its_base():
    cold, taught, misled = (load_day(f"newcomer-{name}") for name in ("cold", "taught", "misled"))
    assert (cold.learn, taught.learn, misled.learn) == (False, True, True) and cold.rate == misled.rate
    assert [f.kind for f in cold.faults] == [f.kind for f in taught.faults]
    assert sorted(f.kind for f in misled.faults) == sorted([f.kind for f in cold.faults] + ["cut_list"])


BUDGETS = """
  budgets {
    budget "all" { rate = 60 }
    budget "again" {
      use    = "retries"
      rate   = 50
      floor  = 2
      within = "all"
    }
    budget "trials" {
      use  = "probes"
      rate = 20
    }
  }
}
"""


def with_budgets(text=BUDGETS):
    return VALID.rstrip().removesuffix("}") + text


@pytest.mark.parametrize(
    "old, new, expected",
    [
        ("floor  = 2", "floor  = 51", "floors of 1 holders sum to 51000 parts, the capacity is 50000"),
        ("rate   = 50", "rate   = 70", "is over that of 'all'"),
        ('within = "all"', 'within = "none"', "which is no budget"),
        ('use  = "probes"', 'use  = "retries"', "limited by 'again' already"),
        ('use  = "probes"\n', "", "nobody could spend it"),
        ("  budgets {", '  budgets {\n    proxy_lease = "700ms"', "proxy_lease is under 800000 us"),
        ("rate = 20", "rate = 20\n      of_fresh = 0.5", "retries only"),
        ('budget "trials"', 'budget "again"', "is declared twice"),
        ("rate = 60", 'rate = 60\n      use = "list_calls"\n    ', "others draw on it"),
        ("rate = 20", "", "either a rate or a number held"),
        ("rate = 20", "rate = 20\n      held = 3", "either a rate or a number held"),
        ("rate = 20", "held = 20", "probes are limited by rate"),
        ('use  = "probes"', 'use  = "handovers"', "handovers are limited by held"),
        (
            'use  = "probes"\n      rate = 20',
            'use  = "handovers"\n      held = 4\n      floor = 0.5',
            "whole units",
        ),
        (
            'use  = "probes"\n      rate = 20',
            'use  = "handovers"\n      held = 4\n      within = "all"',
            "draws on no other",
        ),
        (
            "  budgets {",
            '  budgets {\n    claim_cold = true\n    lease = "2s"',
            "is valid for another 1.47 s, less than the store's session_lease of 2 s",
        ),
        ('use  = "probes"', 'use = "all"', 'one of "retries"'),
    ],
)
def test_inconsistent_budgets_are_refused_with_their_line(tmp_path, old, new, expected):
    line = with_budgets()[: with_budgets().index(old)].count("\n") + 1
    problems = load_errors(tmp_path, with_budgets().replace(old, new, 1))
    assert any(expected in problem and abs(int(problem.split(":")[1]) - line) <= 5 for problem in problems), (
        problems
    )


def test_budgets_are_rendered_and_read_back_and_need_a_restart_to_change(tmp_path):
    held_budget = (
        '  budgets {\n    claim_cold = true\n    lease = "9s"\n'
        '    budget "moves" {\n      use = "handovers"\n      held = 4\n    }'
    )
    (tmp_path / "a.hcl").write_text(with_budgets().replace("  budgets {", held_budget))
    before = load(str(tmp_path / "a.hcl"))
    (tmp_path / "b.hcl").write_text(render(before))
    assert diff_settings(before, load(str(tmp_path / "b.hcl"))) == ([], [])
    (tmp_path / "c.hcl").write_text(
        with_budgets().replace("  budgets {", held_budget).replace("rate = 20", "rate = 21")
    )
    assert diff_settings(before, load(str(tmp_path / "c.hcl"))) == ([], ["budgets"])


@pytest.mark.parametrize(
    "options, expected",
    [
        (["--plan"], "again: 50/s of 50/s in use"),
        (["--plan", "--demand", "again:p0=7"], "again: 7/s of 50/s"),
        (["--plan", "--down", "p0"], "again: 0/s of 50/s in use"),
        (["--plan", "--down", "p9"], "pilots are p0"),
        (["--plan", "--demand", "again:p0=x"], "is no number"),
        (["--plan", "--demand", "all:p0=3"], "BUDGET:PILOT=TOKENS"),
        (["--down", "p0"], "go with --plan"),
    ],
)
def test_shares_are_planned_without_a_running_fleet(tmp_path, options, expected):
    (tmp_path / "a.hcl").write_text(with_budgets())
    result = CliRunner().invoke(main, ["budgets", str(tmp_path / "a.hcl"), *options])
    assert expected in result.output


SURGE = "cedarshift/rehearsal/days/deployment-surge.hcl"


@pytest.mark.parametrize(
    "old, new, expected",
    [
        ('op "tile-order" {', 'op "tile-send" {', "op 'tile-send' is none of tile-fetch, tile-order"),
        ('op "tile-order" {', 'op "tile-fetch" {', "op 'tile-fetch' is declared twice"),
        ('op "tile-order" { cost = 1 }', 'op "tile-order" { cost = 0 }', "cost = 0"),
        ('  membership {\n    period = "500ms"\n  }\n', "", "there is no block membership"),
        ("earnings       = 2", "earnings       = 0", "'tile-order' earns nothing"),
        ('report_every   = "500ms"', "joins_per_s = 0", "joins_per_s = 0"),
    ],
)
def test_inconsistent_overload_settings_are_refused(tmp_path, old, new, expected):
    text = open(SURGE).read()
    assert old in text
    if "membership" in old:
        text = "\n".join(line for line in text.splitlines() if "gossip" not in line) + "\n"
    assert any(expected in problem for problem in load_errors(tmp_path, text.replace(old, new, 1)))


def test_overload_is_rendered_and_read_back_and_needs_a_restart_to_change(tmp_path):
    text = open(SURGE).read()
    (tmp_path / "a.hcl").write_text(
        text.replace('op "tile-order" { cost = 1 }', 'op "tile-order" { cost = 2.5 }')
    )
    before = load(str(tmp_path / "a.hcl"))
    assert before.overload.costs == {"tile-fetch": 1.0, "tile-order": 2.5}
    (tmp_path / "b.hcl").write_text(render(before))
    assert diff_settings(before, load(str(tmp_path / "b.hcl"))) == ([], [])
    (tmp_path / "c.hcl").write_text(text)
    assert diff_settings(before, load(str(tmp_path / "c.hcl"))) == ([], ["overload"])


@pytest.mark.parametrize(
    "answer, expected",
    [
        ('answer {\n cause_at = "9s"\n calm_at = "8s"\n }', "cause_at comes before calm_at"),
        ('mix = ["flood"]', "mix names one day"),
        ('answer {\n cause_at = "1s"\n calm_at = "8s"\n top = "x"\n }', "top 'x' is no op type"),
        ('mix = ["flood", "x"]', "there is no day 'x'"),
    ],
)
def test_the_overload_settings_of_a_day_are_validated(tmp_path, answer, expected):
    for name in ("deployment-surge", "flood", "surge-quiet"):
        (tmp_path / f"{name}.hcl").write_text(open(f"cedarshift/rehearsal/days/{name}.hcl").read())
    (tmp_path / "day.hcl").write_text(
        open("cedarshift/rehearsal/days/surge-quiet.hcl").read().rstrip().rstrip("}") + answer + "\n}\n"
    )
    with pytest.raises(InvalidFile, match=expected):
        load_day(str(tmp_path / "day.hcl"))
