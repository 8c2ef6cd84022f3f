/** Parsing of log lines, and which lines a trace contains. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { formatTrace, parseLogLine, traceLogs } from '../../src/node/traceLogs.js'

const LINES = [
  '  12.5 regina-1 time=2026-01-01T00:00:02.000Z level=info event=requestEnded node=regina-1 requestId=r2 program=p outcome=refused status=503 detail="no owner is known"',
  'time=2026-01-01T00:00:01.900Z level=info event=partitionLost node=regina-2 partition=3 detail=fenced',
  'time=2026-01-01T00:00:01.000Z level=info event=workerChosen node=regina-1 requestId=r1 program=p worker=w1',
  'time=2026-01-01T00:00:09.000Z level=info event=partitionLost node=regina-2 partition=4 detail=late',
  'time=2026-01-01T00:00:01.500Z level=info event=workerChosen node=regina-3 requestId=r9 program=q worker=w1',
  'not a log line'
]

test('the prefix of a log collector is ignored, and quoted values keep their spaces', () => {
  assert.equal(parseLogLine(LINES[0])?.fields.detail, 'no owner is known')
  assert.is(parseLogLine(LINES[0])?.fields.node, 'regina-1')
  assert.is(parseLogLine('not a log line'), undefined)
})

test('the trace of a request contains the cluster events shortly before it', () => {
  assert.equal(traceLogs(LINES, 'r2').map(line => line.event), ['partitionLost', 'requestEnded'])
})

test('the trace of a program contains all its requests on all nodes in order of time', () => {
  const trace = traceLogs(LINES, 'p')
  assert.equal(trace.map(line => line.event), ['workerChosen', 'partitionLost', 'requestEnded'])
  assert.ok(formatTrace(trace).includes('no owner is known'))
  assert.equal(traceLogs(LINES, 'unheard-of'), [])
})

test.run()
