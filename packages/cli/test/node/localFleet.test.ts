/** Callers, broken requests and untrusted peers against a local fleet over real sockets. */
import { connect } from 'node:net'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { Client, realClientHost } from '@trefoilshunt/client'
import { HARROW_DOCUMENT } from '@trefoilshunt/testing'
import { toPrompt } from '@trefoilshunt/standins'
import { LocalFleet } from '../../src/node/localFleet.js'

const STREAM_COUNT = 50
const RIDERS_HEADERS = { authorization: 'Bearer loopback-riders', 'content-type': 'application/json' }

async function withFleet (action: (fleet: LocalFleet) => Promise<void>): Promise<void> {
  const fleet = new LocalFleet({ zones: ['regina', 'saskatoon', 'brandon'], nodesPerZone: 1, document: HARROW_DOCUMENT, workers: { 'tailor-models': 6, 'shop-ledger': 2 } })
  await fleet.start()
  try {
    await action(fleet)
  } finally {
    await fleet.close()
  }
}

function createClient (fleet: LocalFleet): Client {
  const { callerAccess } = fleet
  return new Client({ customer: 'riders', transport: callerAccess.transportOf('riders'), host: realClientHost, seeds: callerAccess.seeds() })
}

test('a planned stop while 50 streams run cuts off none of them', async () => {
  await withFleet(async fleet => {
    const client = createClient(fleet)
    const sessions = await Promise.all(Array.from({ length: STREAM_COUNT }, async () => (await client.open({ kind: 'fitting', retriesOverload: true, timeoutMs: 60_000 })).unsafeCoerce()))
    const failures: string[] = []
    client.options.onAttempt = attempt => { if (attempt.failure !== undefined) failures.push(attempt.failure.detail) }
    const runs = sessions.map(async (session, index) => {
      let streamed = ''
      const outcome = await session.step({ type: 'model', messages: [{ role: 'user', content: toPrompt(`stream ${index}`, 60) }], maxTokens: 60 }, { onChunk: text => { streamed = text } })
      const result = outcome.unsafeCoerce().result
      assert.ok(result.type === 'model' && result.text === streamed && result.completionTokens === 60)
    })
    await realClientHost.sleep(300)
    fleet.daemons[0].stop()
    await Promise.all(runs)
    assert.equal(failures, [])
    for (const session of sessions) {
      const next = await session.step({ type: 'model', messages: [{ role: 'user', content: toPrompt('after the stop', 3) }], maxTokens: 3 })
      assert.ok(next.isRight())
    }
  })
})

test('invalid requests get the status of their error, and the node keeps serving', async () => {
  await withFleet(async fleet => {
    const base = `http://${fleet.daemons[0].address}`
    const post = async (path: string, body: string, headers: Record<string, string> = RIDERS_HEADERS) => (await fetch(`${base}${path}`, { method: 'POST', headers, body })).status
    assert.is(await post('/v1/programs', '{"kind":'), 400)
    assert.is(await post('/v1/programs', '{"kind":"fitting","key":"a","colour":"red"}'), 422)
    assert.is(await post('/v1/programs', '[]'), 422)
    assert.is(await post('/v1/programs', JSON.stringify({ kind: 'fitting', key: 'x'.repeat(3_000_000) })), 413)
    assert.is(await post('/v1/programs', '{"kind":"fitting","key":"a"}', { 'content-type': 'application/json' }), 401)
    assert.is(await post('/v1/programs', '{"kind":"nothing","key":"a"}'), 404)
    assert.is(await post('/v1/admin/promotions', '{"from":"trial","to":"production","revision":1,"baseRevision":0}'), 401)
    assert.is(await post('/v1/programs/nowhere/steps', '{}'), 422)
    assert.is((await fetch(`${base}/nothing`)).status, 404)
    assert.is((await fetch(`${base}/healthz`)).status, 200)
    assert.is((await fetch(`${base}/readyz`)).status, 200)
    assert.match(await (await fetch(`${base}/metrics`)).text(), /trefoilshunt_requests_total\{route="open",status="404"\} 1/)
  })
})

test('a malformed request line gets status 400 and does not stop the node', async () => {
  await withFleet(async fleet => {
    const [host, port] = fleet.daemons[0].address.split(':')
    const answer = await new Promise<string>(resolve => {
      const socket = connect(Number(port), host, () => socket.write('\u0000\u0001 nonsense\r\n\r\n'))
      let text = ''
      socket.on('data', data => { text += data.toString() })
      socket.on('close', () => resolve(text))
      socket.on('error', () => resolve(text))
    })
    assert.match(answer, /^HTTP\/1\.1 400/)
    assert.is((await fetch(`http://${fleet.daemons[0].address}/healthz`)).status, 200)
  })
})

test('no node shows a program to another customer than its own', async () => {
  await withFleet(async fleet => {
    const opened = (await createClient(fleet).open({ kind: 'fitting' })).unsafeCoerce()
    for (const daemon of fleet.daemons) {
      const read = async (key: string) => (await fetch(`http://${daemon.address}/v1/programs/${opened.programId}`, { headers: { authorization: `Bearer ${key}` } })).status
      assert.is(await read('loopback-riders'), 200)
      assert.is(await read('loopback-dealers'), 404)
      assert.is(await read('nobody'), 401)
    }
  })
})

test('messages of peers without the secret are rejected', async () => {
  await withFleet(async fleet => {
    const address = fleet.daemons[0].peerAddress
    const forward = await fetch(`http://${address}/forward`, { method: 'POST', headers: { 'x-peer-secret': 'guess' }, body: JSON.stringify({ request: { type: 'programs' }, hops: 0 }) })
    assert.is(forward.status, 403)
    const envelope = { from: { node: 'x', incarnation: 'x', address: 'x', peerAddress: 'x', zone: 'x' }, to: 'regina-1', messageId: 1, body: { type: 'configurationRequest' } }
    const deliver = await fetch(`http://${address}/deliver`, { method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify({ envelopes: [envelope] }) })
    assert.equal(await deliver.json(), { result: { data: { isTaken: false } } })
  })
})

test.run()
