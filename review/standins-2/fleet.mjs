/** A small deployment on loopback addresses: the log, two services and the nodes. */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { send, newId } from './client.mjs'
import { Log } from './log.mjs'
import { accepts, fieldsOf, findPorts, hostOf, logHostOf, NETWORK, Node } from './node.mjs'
import { pause, Worker } from './worker.mjs'

export const HOST = 'ficu95.example'
const SERVICE_HOST = `${NETWORK}.200`
const READY_TIMEOUT_MS = 20_000

/** The operator's document of the sheet of Harrow & Lisle, as `fleetbench wire` shows it; the routes of a tool and of two kinds of programs. */
export const MANIFEST = {
  version: 7,
  routes: [
    { name: 'consult', host: HOST, path_prefix: '/lohu930/', kind: 'stream', timeout_ms: 3_000, slo_ms: 200, priority: 0, service: 'models', attempts: 1, retain: true, retain_s: 60, sticky: true, can_resume: false, gap_aim_ms: 200 },
    { name: 'remeasure', host: HOST, path_prefix: '/pufi791/', kind: 'stream', timeout_ms: 3_000, slo_ms: 400, priority: 2, service: 'models', attempts: 1, retain: false, retain_s: 60, sticky: true, can_resume: true, gap_aim_ms: 200 },
    { name: 'lookup', host: HOST, path_prefix: '/pule252/', kind: 'safe', timeout_ms: 1_200, slo_ms: 152, priority: 2, service: 'ledger', attempts: 2, retain: false, retain_s: 60, sticky: false, can_resume: false }
  ],
  services: [
    { name: 'models', health_path: '/health', max_conns: 150, engine: { slots: 12, kv_tokens: 416_087, event_tokens: 27, models: [{ name: 'm' }] } },
    { name: 'ledger', health_path: '/health', max_conns: 96 }
  ],
  limits: { header_bytes: 16_384, body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 }
}

/** Starts everything and waits until each node serves. */
export async function startFleet ({ nodeCount = 3, modelWorkers = 8, ledgerWorkers = 5, workMs = 30, manifest = MANIFEST, workerOptions = {}, overrides } = {}) {
  const indexes = Array.from({ length: nodeCount }, (_, index) => index)
  const hosts = [SERVICE_HOST, ...indexes.map(hostOf), ...indexes.map(logHostOf)]
  const workerNames = [...Array.from({ length: modelWorkers }, (_, index) => `models-${index}`), ...Array.from({ length: ledgerWorkers }, (_, index) => `ledger-${index}`)]
  const ports = await findPorts(['front', 'ready', 'control', 'directory', 'log', ...workerNames], hosts)
  const log = new Log({ port: ports.log, parts: 12 })
  for (const index of indexes) await log.listen(logHostOf(index))
  log.put('keyed.op', 'config', manifest)
  const zones = ['regina', 'saskatoon', 'brandon']
  const workers = workerNames.map((name, index) => new Worker({ log, id: `i-${index}${newId().slice(-6)}`, service: name.split('-')[0], host: SERVICE_HOST, port: ports[name], zone: zones[index % zones.length], workMs, ...workerOptions }))
  for (const worker of workers) await worker.listen()
  const folder = mkdtempSync(join(tmpdir(), 'trefoilshunt-review-'))
  const nodes = indexes.map(index => new Node({ fields: fieldsOf({ index, ports, log, count: nodeCount, overrides }), folder }))
  for (const node of nodes) node.start()
  const fleet = { log, workers, nodes, ports }
  fleet.stop = async () => {
    await Promise.all(nodes.map(async node => await node.stop()))
    for (const worker of workers) worker.close()
    log.close()
    rmSync(folder, { recursive: true, force: true })
  }
  const untilMs = performance.now() + READY_TIMEOUT_MS
  for (const node of nodes) {
    while (!await accepts(node.front) || !(await lookUp(node.front)).isWhole || (await takeTurn(node.front)).status !== 200) {
      if (performance.now() > untilMs) {
        await fleet.stop()
        throw new Error(`${node.name} is not ready`)
      }
      await pause(100)
    }
  }
  return fleet
}

/** A call of a tool that may be repeated. */
export async function lookUp (address, options = {}) {
  return await send(address, { method: 'GET', path: '/pule252/2f', headers: { host: HOST, 'attempt-id': newId(), 'deadline-ms': '1200' }, ...options })
}

/** A turn of a program: `tokens` in and 297 out at most. */
export async function takeTurn (address, { program = newId(), previous, id = newId(), body = 'x'.repeat(6_720), prompt, tokens = 14_280, budget = 4_536, path = '/lohu930/4b', headers = {}, ...options } = {}) {
  return await send(address, {
    path,
    body,
    headers: {
      host: HOST,
      'attempt-id': id,
      'deadline-ms': '3000',
      model: 'm',
      'program-id': program,
      'session-id': `${program}0`,
      'finish-ms': '5200',
      'token-budget': String(budget),
      'token-usage': `${tokens},297`,
      'prompt-prefix': prompt ?? `5c1e07a2:12600,${id}:1680`,
      ...(previous === undefined ? {} : { 'previous-turn': previous }),
      ...headers
    },
    ...options
  })
}
