/** Tests the settings file, log lines and metrics. */
import { readFileSync } from 'node:fs'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { formatLogLine, loadSettings, Metrics, settingsSchema } from '@trefoilshunt/node'
import { parseJsonc } from '@trefoilshunt/protocol'

test('the sample settings are valid', () => {
  assert.ok(loadSettings('samples/settings.jsonc').isRight())
})

test('each wrong setting is reported with its key, line and column', () => {
  const text = readFileSync('samples/settings.jsonc', 'utf8').replace('"callerPort": 7300', '"callerPort": 73000').replace('"environment": "production"', '"environment": "prod"')
  const problems = parseJsonc('s.jsonc', text, settingsSchema).swap().unsafeCoerce()
  assert.equal(problems.map(problem => [problem.line, problem.message.split(':')[0]]), [[5, 'environment'], [7, 'callerPort']])
})

test('a missing file is reported as a problem', () => {
  assert.match(loadSettings('no-such-file.jsonc').swap().unsafeCoerce()[0], /no such file/i)
})

test('a log line has key=value pairs and no secrets', () => {
  assert.is(formatLogLine('info', 'opened', { program: 'p.1', detail: 'two words', key: 'secret', none: undefined }, 'T'), 'time=T level=info event=opened program=p.1 detail="two words" key=***')
})

test('metrics are rendered as Prometheus text', () => {
  const metrics = new Metrics()
  metrics.count('requests_total', { route: 'open' })
  metrics.count('requests_total', { route: 'open' })
  metrics.observeMs('request_duration_ms', 40, { route: 'open' })
  const text = metrics.render({ programs: 3 })
  assert.match(text, /trefoilshunt_programs 3/)
  assert.match(text, /trefoilshunt_requests_total\{route="open"\} 2/)
  assert.match(text, /trefoilshunt_request_duration_ms_count\{route="open"\} 1/)
})

test.run()
