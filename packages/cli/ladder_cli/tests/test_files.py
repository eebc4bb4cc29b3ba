import yaml

from ladder_cli.files import update_revision, write_lists
from ladder_core.settings import read_lists
from ladder_core.values import Allowance, HeadlineMetric, Lists, Plan

LISTS = Lists(
    3,
    (
        Plan('notes', 'cellarwatch', 'a' * 64, 'cask', 64, 1),
        Plan('offers', 'ergasia', 'b' * 64, weighs=HeadlineMetric.staleness),
    ),
    (Allowance('notes', ('brewmind',), ('cask',), ('leith',), 4),),
)


def test_written_files_are_read_back_unchanged(tmp_path):
    files = (tmp_path / 'plans.yaml', tmp_path / 'allowances.yaml')
    write_lists(LISTS, *files)
    assert read_lists(*files) == LISTS


def test_only_the_revision_of_a_file_is_updated(tmp_path):
    path = tmp_path / 'plans.yaml'
    path.write_text('# ours\nrevision: 3\nplans: []  # none yet\n')
    update_revision(path, 4)
    assert path.read_text() == '# ours\nrevision: 4\nplans: []  # none yet\n'


def test_file_without_a_revision_is_not_changed(tmp_path):
    path = tmp_path / 'plans.yaml'
    path.write_text('plans: []\n')
    update_revision(path, 4)
    assert yaml.safe_load(path.read_text()) == {'plans': []}
