/**
 * Benchmark over real sockets: latency of one and two hops through a fleet of two nodes compared with calling the engine
 * directly, streamed tokens and requests per second, processor time of both nodes and memory of the first. Each node is
 * a separate process; the stand-in engines and the caller share this one.
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
/** Pause after each measurement for background work to finish. */
const PAUSE_AFTER_SAMPLE_MS = 500

/** Latencies in milliseconds. */
interface LatencyPercentiles { p50: number, p99: number }

async function main (): Promise<void> {
  const roundCount = Number(process.argv[2] ?? 3)
  const document = { ...HARROW_DOCUMENT, backends: HARROW_DOCUMENT.backends.map(backend => ({ ...backend, maxConcurrencyPerWorker: 512 })) }
  const fleet = new SoakFleet(document, ['regina'], 2, { stepBaseMs: 2, stepPerSequenceMs: 0, prefillMsPerToken: 0, maxBatch: 512, chunkTokens: 1, kvTokensCapacity: 100_000_000 }, { initialConcurrency: 512, logAppendBudgetPerSecond: 400 })
  await fleet.start()
  const lines: string[] = []
  for (let round = 1; round <= roundCount; round++) {
    const direct = await measureDirect(fleet)
    const oneHop = await measureHops(fleet, 'owner')
    const twoHops = await measureHops(fleet, 'other')
    lines.push(`round ${round}: direct p50 ${formatMs(direct.p50)} p99 ${formatMs(direct.p99)}, one hop p50 ${formatMs(oneHop.p50)} (${formatRatio(oneHop.p50, direct.p50)}) p99 ${formatMs(oneHop.p99)} (${formatRatio(oneHop.p99, direct.p99)}), two hops p50 ${formatMs(twoHops.p50)} (${formatRatio(twoHops.p50, direct.p50)}) p99 ${formatMs(twoHops.p99)} (${formatRatio(twoHops.p99, direct.p99)})`)
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

/** Latency of a complete streamed completion that is requested directly from an engine. */
async function measureDirect (fleet: SoakFleet): Promise<LatencyPercentiles> {
  const address = fleet.engines[0].server.address
  return await sampleLatency(LATENCY_CALLS, async index => {
    const body = { model: 'tailor-models', messages: [{ role: 'user', content: toPrompt(`direct ${index}`, ANSWER_TOKENS) }], max_tokens: ANSWER_TOKENS, stream: true, priority: 0, cache: { session: `direct-${index}`, retain_ms: 0 } }
    const response = await request(`http://${address}${ENGINE_PATHS.completions}`, { method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify(body) })
    await response.body.text()
  })
}

/** Latency of the steps of one program, sent to its owner (one hop) or to the other node, which forwards them (two hops). */
async function measureHops (fleet: SoakFleet, target: 'owner' | 'other'): Promise<LatencyPercentiles> {
  const client = clientOf(fleet)
  const session = await openProgram(client)
  const other = fleet.nodes.map(addressOf).find(address => address !== session.preferredAddress)
  return await sampleLatency(LATENCY_CALLS / 3, async index => {
    if (target === 'other') session.useAddress(other as string)
    const outcome = await session.step({ type: 'model', messages: [{ role: 'user', content: toPrompt(`hop ${index}`, ANSWER_TOKENS) }], maxTokens: ANSWER_TOKENS })
    if (outcome.isLeft()) throw new Error(JSON.stringify(outcome.extract()))
  })
}

/** Streams requested directly from the engines, as the reference for `measureStreams`. */
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
  return `${streams} streams direct: ${Math.round(streams * STREAM_TOKENS / seconds)} tokens/s, gap p50 ${formatMs(gaps.getValueAtPercentile(50) / 1_000)} p99 ${formatMs(gaps.getValueAtPercentile(99) / 1_000)}`
}

/** Concurrent streams through the nodes: tokens per second, processor time and the time between tokens. */
async function measureStreams (fleet: SoakFleet, streams: number): Promise<string> {
  const client = clientOf(fleet)
  const sessions = await Promise.all(Array.from({ length: streams }, async () => await openProgram(client)))
  const gaps = hdr.build({ numberOfSignificantValueDigits: 3 })
  const cpuSecondsBefore = await cpuSecondsOf(fleet.nodes)
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
  const cpuSeconds = (await cpuSecondsOf(fleet.nodes)) - cpuSecondsBefore
  const memoryBytes = await gaugeOf(fleet.nodes[0], 'trefoilshunt_resident_memory_bytes')
  await Promise.all(sessions.map(async session => await session.close()))
  const tokensPerSecond = streams * STREAM_TOKENS / seconds
  return `${streams} streams: ${Math.round(tokensPerSecond)} tokens/s, node processor ${(cpuSeconds / seconds).toFixed(2)} cores (${Math.round(tokensPerSecond / (cpuSeconds / seconds))} tokens/s a core), gap p50 ${formatMs(gaps.getValueAtPercentile(50) / 1_000)} p99 ${formatMs(gaps.getValueAtPercentile(99) / 1_000)}, memory ${(memoryBytes / 1e6).toFixed(0)} MB`
}

/** Short calls without streaming, from 32 programs concurrently. */
async function measureRequests (fleet: SoakFleet): Promise<string> {
  const client = clientOf(fleet)
  const sessions = await Promise.all(Array.from({ length: 32 }, async () => await openProgram(client)))
  const cpuSecondsBefore = await cpuSecondsOf(fleet.nodes)
  const startedMs = performance.now()
  let count = 0
  await Promise.all(sessions.map(async session => {
    for (let step = 0; step < 20; step++) {
      const outcome = await session.step({ type: 'model', messages: [{ role: 'user', content: toPrompt(`call ${step}`, ANSWER_TOKENS) }], maxTokens: ANSWER_TOKENS })
      if (outcome.isRight()) count++
    }
  }))
  const seconds = (performance.now() - startedMs) / 1_000
  const cpuSeconds = (await cpuSecondsOf(fleet.nodes)) - cpuSecondsBefore
  return `requests: ${(count / seconds).toFixed(0)}/s with 32 programs, node processor ${(cpuSeconds / seconds).toFixed(2)} cores (${(count / cpuSeconds).toFixed(0)} requests/s a core)`
}

/** Latency of an action over `count` calls, after one call to warm up that is not counted. */
async function sampleLatency (count: number, action: (index: number) => Promise<void>): Promise<LatencyPercentiles> {
  const histogram = hdr.build({ numberOfSignificantValueDigits: 3 })
  await action(-1)
  for (let index = 0; index < count; index++) {
    const startedMs = performance.now()
    await action(index)
    histogram.recordValue(Math.round((performance.now() - startedMs) * 1_000))
  }
  await realClientHost.sleep(PAUSE_AFTER_SAMPLE_MS)
  return { p50: histogram.getValueAtPercentile(50) / 1_000, p99: histogram.getValueAtPercentile(99) / 1_000 }
}

function clientOf (fleet: SoakFleet): Client {
  return new Client({ customer: 'riders', transport: fleet.callerAccess.transportOf('riders'), host: realClientHost, seeds: fleet.callerAccess.seeds() })
}

async function openProgram (client: Client): Promise<ProgramSession> {
  const opened = await client.open({ kind: 'fitting', retriesOverload: true, timeoutMs: 30_000 })
  if (opened.isLeft()) throw new Error(JSON.stringify(opened.extract()))
  return opened.extract() as ProgramSession
}

/** Processor time of all nodes since their start. */
async function cpuSecondsOf (nodes: SoakNode[]): Promise<number> {
  const values = await Promise.all(nodes.map(async node => await gaugeOf(node, 'trefoilshunt_cpu_seconds')))
  return values.reduce((sum, value) => sum + value, 0)
}

/** Reads a metric of a node; NaN if the node does not have it. */
async function gaugeOf (node: SoakNode, name: string): Promise<number> {
  const text = await (await fetch(`http://${addressOf(node)}/metrics`)).text()
  return Number(new RegExp(`^${name} (.+)$`, 'm').exec(text)?.[1] ?? NaN)
}

function formatMs (value: number): string {
  return `${value.toFixed(2)} ms`
}

function formatRatio (value: number, base: number): string {
  return `${(value / base).toFixed(2)}x`
}

await main()
