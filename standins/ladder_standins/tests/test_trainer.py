from ladder_standins.scripted import ScriptedTarget, format_response
from ladder_standins.trainer import Trainer

UNUSED = '127.0.0.1:1'


async def accept(request, writer):
    writer.write(format_response(b''))
    await writer.drain()


async def test_step_is_closed_elsewhere_when_its_node_was_killed():
    node = ScriptedTarget(accept)
    await node.start()
    trainer = Trainer('notes', 'secret', [UNUSED, node.address], 1)
    await trainer.close_step(3)
    await node.close()
    assert [request.method for request in node.received] == ['DELETE']


async def test_step_is_left_open_when_no_node_answers():
    trainer = Trainer('notes', 'secret', [UNUSED, UNUSED], 1)
    await trainer.close_step(3)
