/**
 * Speed of one node over real sockets: added latency of one and two hops against calling the engine directly, streamed
 * tokens and requests per second, processor time and memory. The node runs as a process of its own.
 *
 * Usage: npm run bench -- [rounds]
 */
import { request } from 'undici'
import hdr from 'hdr-histogram-js'
import { HARROW_DOCUMENT } from '@trefoilshunt/testing'
import { Client, realClientHost, type ProgramSession } from '@trefoilshunt/client'
import { toPrompt } from '@trefoilshunt/standins'
import { ENGINE_PATHS, EventStreamReader } from '@trefoilshunt/protocol'
import { addressOf, SoakFleet, type SoakNode } from './soakFleet.js'

const LATENCY_CALLS = 150
const ANSWER_TOKENS = 4
const STREAM_TOKENS = 200
const STREAMS = [16, 64, 128, 256]
const SETTLE_MS = 500

interface Sample { p50: number, p99: number }

async function main (): Promise<void> {
  const rounds = Number(process.argv[2] ?? 3)
  const document = { ...HARROW_DOCUMENT, backends: HARROW_DOCUMENT.backends.map(backend => ({ ...backend, maxConcurrencyPerWorker: 512 })) }
  const fleet = new SoakFleet(document, ['regina'], 2, { stepBaseMs: 2, stepPerSequenceMs: 0, prefillMsPerToken: 0, maxBatch: 512, chunkTokens: 1, kvTokensCapacity: 100_000_000 }, { initialConcurrency: 512, logAppendBudgetPerSecond: 400 })
  await fleet.start()
  const lines: string[] = []
  for (let round = 1; round <= rounds; round++) {
    const direct = await measureDirect(fleet)
    const one = await measureHops(fleet, 'home')
    const two = await measureHops(fleet, 'other')
    lines.push(`round ${round}: direct p50 ${ms(direct.p50)} p99 ${ms(direct.p99)}, one hop p50 ${ms(one.p50)} (${ratio(one.p50, direct.p50)}) p99 ${ms(one.p99)} (${ratio(one.p99, direct.p99)}), two hops p50 ${ms(two.p50)} (${ratio(two.p50, direct.p50)}) p99 ${ms(two.p99)} (${ratio(two.p99, direct.p99)})`)
  }
  for (const streams of STREAMS) {
    lines.push(await measureDirectStreams(fleet, streams))
    lines.push(await measureStreams(fleet, streams))
  }
  lines.push(await measureRequests(fleet))
  await fleet.close()
  process.stdout.write(`${lines.join('\n')}\n`)
  process.exit(0)
}

/** A completion straight at an engine, whole. */
async function measureDirect (fleet: SoakFleet): Promise<Sample> {
  const address = fleet.engines[0].server.address
  return await sample(LATENCY_CALLS, async index => {
    const body = { model: 'tailor-models', messages: [{ role: 'user', content: toPrompt(`direct ${index}`, ANSWER_TOKENS) }], max_tokens: ANSWER_TOKENS, stream: true, priority: 0, cache: { session: `direct-${index}`, retain_ms: 0 } }
    const response = await request(`http://${address}${ENGINE_PATHS.completions}`, { method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify(body) })
    await response.body.text()
  })
}

/** Steps of one program, sent to its home or to the other node. */
async function measureHops (fleet: SoakFleet, target: 'home' | 'other'): Promise<Sample> {
  const client = clientOf(fleet)
  const session = await open(client)
  const other = fleet.nodes.map(addressOf).find(address => address !== session.home)
  return await sample(LATENCY_CALLS / 3, async index => {
    if (target === 'other') session.useAddress(other as string)
    const outcome = await session.step({ type: 'model', messages: [{ role: 'user', content: toPrompt(`hop ${index}`, ANSWER_TOKENS) }], maxTokens: ANSWER_TOKENS })
    if (outcome.isLeft()) throw new Error(JSON.stringify(outcome.extract()))
  })
}

/** The same streams straight at the engines, to tell what the nodes add. */
async function measureDirectStreams (fleet: SoakFleet, streams: number): Promise<string> {
  const gaps = hdr.build({ numberOfSignificantValueDigits: 3 })
  const startedMs = performance.now()
  await Promise.all(Array.from({ length: streams }, async (_, index) => {
    const address = fleet.engines[index % fleet.engines.length].server.address
    const body = { model: 'tailor-models', messages: [{ role: 'user', content: toPrompt(`direct stream ${index}`, STREAM_TOKENS) }], max_tokens: STREAM_TOKENS, stream: true, priority: 0, cache: { session: `direct-stream-${index}`, retain_ms: 0 } }
    const response = await request(`http://${address}${ENGINE_PATHS.completions}`, { method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify(body) })
    const reader = new EventStreamReader()
    const decoder = new TextDecoder()
    let lastMs = performance.now()
    for await (const bytes of response.body) {
      for (const event of reader.push(decoder.decode(bytes as Uint8Array, { stream: true }))) {
        if (!event.data.includes('"content"')) continue
        const nowMs = performance.now()
        gaps.recordValue(Math.round((nowMs - lastMs) * 1_000))
        lastMs = nowMs
      }
    }
  }))
  const seconds = (performance.now() - startedMs) / 1_000
  return `${streams} streams direct: ${Math.round(streams * STREAM_TOKENS / seconds)} tokens/s, gap p50 ${ms(gaps.getValueAtPercentile(50) / 1_000)} p99 ${ms(gaps.getValueAtPercentile(99) / 1_000)}`
}

/** Many streams at one node: tokens per second and what the node adds to the time between tokens. */
async function measureStreams (fleet: SoakFleet, streams: number): Promise<string> {
  const client = clientOf(fleet)
  const sessions = await Promise.all(Array.from({ length: streams }, async () => await open(client)))
  const gaps = hdr.build({ numberOfSignificantValueDigits: 3 })
  const cpuBefore = await cpuOf(fleet.nodes)
  const startedMs = performance.now()
  await Promise.all(sessions.map(async (session, index) => {
    let lastMs = performance.now()
    await session.step({ type: 'model', messages: [{ role: 'user', content: toPrompt(`stream ${index}`, STREAM_TOKENS) }], maxTokens: STREAM_TOKENS }, {
      onChunk: () => {
        const nowMs = performance.now()
        gaps.recordValue(Math.round((nowMs - lastMs) * 1_000))
        lastMs = nowMs
      }
    })
  }))
  const seconds = (performance.now() - startedMs) / 1_000
  const cpu = (await cpuOf(fleet.nodes)) - cpuBefore
  const memory = await gaugeOf(fleet.nodes[0], 'trefoilshunt_resident_memory_bytes')
  await Promise.all(sessions.map(async session => await session.close()))
  const rate = streams * STREAM_TOKENS / seconds
  return `${streams} streams: ${Math.round(rate)} tokens/s, node processor ${(cpu / seconds).toFixed(2)} cores (${Math.round(rate / (cpu / seconds))} tokens/s a core), gap p50 ${ms(gaps.getValueAtPercentile(50) / 1_000)} p99 ${ms(gaps.getValueAtPercentile(99) / 1_000)}, memory ${(memory / 1e6).toFixed(0)} MB`
}

/** Short whole calls from many programs at once. */
async function measureRequests (fleet: SoakFleet): Promise<string> {
  const client = clientOf(fleet)
  const sessions = await Promise.all(Array.from({ length: 32 }, async () => await open(client)))
  const cpuBefore = await cpuOf(fleet.nodes)
  const startedMs = performance.now()
  let count = 0
  await Promise.all(sessions.map(async session => {
    for (let step = 0; step < 20; step++) {
      const outcome = await session.step({ type: 'model', messages: [{ role: 'user', content: toPrompt(`call ${step}`, ANSWER_TOKENS) }], maxTokens: ANSWER_TOKENS })
      if (outcome.isRight()) count++
    }
  }))
  const seconds = (performance.now() - startedMs) / 1_000
  const cpu = (await cpuOf(fleet.nodes)) - cpuBefore
  return `requests: ${(count / seconds).toFixed(0)}/s with 32 programs, node processor ${(cpu / seconds).toFixed(2)} cores (${(count / cpu).toFixed(0)} requests/s a core)`
}

async function sample (count: number, action: (index: number) => Promise<void>): Promise<Sample> {
  const histogram = hdr.build({ numberOfSignificantValueDigits: 3 })
  await action(-1)
  for (let index = 0; index < count; index++) {
    const startedMs = performance.now()
    await action(index)
    histogram.recordValue(Math.round((performance.now() - startedMs) * 1_000))
  }
  await realClientHost.sleep(SETTLE_MS)
  return { p50: histogram.getValueAtPercentile(50) / 1_000, p99: histogram.getValueAtPercentile(99) / 1_000 }
}

function clientOf (fleet: SoakFleet): Client {
  return new Client({ customer: 'riders', transport: fleet.callerWorld.transportOf('riders'), host: realClientHost, seeds: fleet.callerWorld.seeds() })
}

async function open (client: Client): Promise<ProgramSession> {
  const opened = await client.open({ kind: 'fitting', retriesOverload: true, timeoutMs: 30_000 })
  if (opened.isLeft()) throw new Error(JSON.stringify(opened.extract()))
  return opened.extract() as ProgramSession
}

async function cpuOf (nodes: SoakNode[]): Promise<number> {
  const values = await Promise.all(nodes.map(async node => await gaugeOf(node, 'trefoilshunt_cpu_seconds')))
  return values.reduce((sum, value) => sum + value, 0)
}

async function gaugeOf (node: SoakNode, name: string): Promise<number> {
  const text = await (await fetch(`http://${addressOf(node)}/metrics`)).text()
  return Number(new RegExp(`^${name} (.+)$`, 'm').exec(text)?.[1] ?? NaN)
}

function ms (value: number): string {
  return `${value.toFixed(2)} ms`
}

function ratio (value: number, base: number): string {
  return `${(value / base).toFixed(2)}x`
}

await main()
