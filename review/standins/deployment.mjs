/** A small deployment on loopback addresses: the daemon's processes with the commands of the deploy file, and stand-ins for everything around them. */
import { spawn } from 'node:child_process'
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request as callHttp } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { LOG_LIMITS, LogStandIn } from './log.mjs'
import { ResettingWorker } from './resettingWorker.mjs'
import { WorkerStandIn } from './worker.mjs'

const READY_TIMEOUT_MS = 20_000
const CONNECT_TIMEOUT_MS = 1_000
const TRY_GRACE_MS = 1_500

export const HOST = 'agents.example'
export const EVENT_TOKENS = 10
const BYTES_PER_TOKEN = 4
/** As that of the engines in sites/plecionka-main.toml. */
const KV_TOKENS = 651_852
/** Exit codes of a case. */
export const Verdict = { Held: 0, Broken: 1, NotRun: 2 }

export const pause = async ms => await new Promise(resolve => { setTimeout(resolve, ms) })

export class Deployment {
  log = new LogStandIn()
  workers = []
  nodes = []
  plainWorkers = []
  _folder = mkdtempSync(join(tmpdir(), 'review-'))
  /** Each machine has a loopback address of its own. */
  _network = `127.${1 + process.pid % 250}.${1 + Math.floor(process.pid / 250) % 250}`
  _startedMs = performance.now()
  _version = 0

  constructor (recordFile) {
    this._record = createWriteStream(recordFile)
    // No process outlives the case, however it ends.
    process.once('exit', () => { for (const { child } of this.nodes) child?.kill('SIGKILL') })
    for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => process.exit(Verdict.NotRun))
  }

  /** Time since the start. */
  get nowMs () {
    return performance.now() - this._startedMs
  }

  note (text) {
    this._record.write(`${(this.nowMs / 1_000).toFixed(3).padStart(8)} ${text}\n`)
  }

  async start ({ nodes, workers, slots, retainS, canResume = false, bodyBytes = 4_194_304 }) {
    await this.log.listen(`${this._network}.200`)
    for (let index = 0; index < workers; index++) {
      const worker = new WorkerStandIn({ id: `w${index}`, service: 'engines', log: this.log, slots, eventTokens: EVENT_TOKENS })
      await worker.start(`${this._network}.${100 + index}`)
      this.workers.push(worker)
    }
    this._publishManifest({ slots, retainS, canResume, bodyBytes })
    for (let index = 0; index < nodes; index++) this.nodes.push(await this._createNode(index))
    for (const node of this.nodes) this.startNode(node)
    await this.waitUntilReady()
    this.note(`${nodes} nodes are ready`)
  }

  async waitUntilReady () {
    const endMs = performance.now() + READY_TIMEOUT_MS
    for (;;) {
      const answers = await Promise.all(this.nodes.map(async ({ listen }) => await fetch(`http://${listen.ready}/-/ready`).then(({ status }) => status, () => 0)))
      if (answers.every(status => status === 200)) return
      if (performance.now() > endMs) throw new Error('the nodes are not ready')
      await pause(50)
    }
  }

  startNode (node) {
    const [program, ...args] = runCommand().split(' ')
    const child = spawn(program, args, { stdio: ['ignore', 'pipe', 'pipe'], env: { PATH: process.env.PATH, HOME: process.env.HOME, TREFOILSHUNT_NODE_FILE: node.file } })
    const output = createWriteStream(join(this._folder, `${node.name}.log`), { flags: 'a' })
    child.stdout.pipe(output, { end: false })
    child.stderr.pipe(output, { end: false })
    node.child = child
    node.exited = new Promise(resolve => { child.once('exit', resolve) })
    this.note(`process of ${node.name} started`)
  }

  /** Kills processes and starts them again, as the platform does. */
  async restart (nodes, delayMs) {
    for (const { name, child } of nodes) {
      child.kill('SIGKILL')
      this.note(`${name} killed`)
    }
    await Promise.all(nodes.map(async ({ exited }) => await exited))
    await pause(delayMs)
    for (const node of nodes) this.startNode(node)
  }

  async stop () {
    for (const { child } of this.nodes) child?.kill('SIGKILL')
    await Promise.all(this.nodes.map(async ({ exited }) => await exited))
    await Promise.all([...this.workers, ...this.plainWorkers].map(async worker => await worker.stop()))
    await this.log.close()
    if (process.env.KEEP_LOGS === undefined) rmSync(this._folder, { recursive: true, force: true })
    else console.log(this._folder)
    await new Promise(resolve => { this._record.end(resolve) })
  }

  /** Adds plain workers for `sendLookup`. */
  async addResettingWorkers (count, options) {
    for (let index = 0; index < count; index++) {
      const worker = new ResettingWorker({ id: `s${index}`, service: 'shop', log: this.log, ...options })
      await worker.start(`${this._network}.${150 + index}`)
      this.plainWorkers.push(worker)
    }
  }

  /** Sends a safe request once, on a new channel. Status 0: no answer. */
  async sendLookup ({ name, listen }, attemptId) {
    const [host, port] = listen.front.split(':')
    const result = await new Promise(resolve => {
      const headers = { host: HOST, 'attempt-id': attemptId, 'deadline-ms': 1_200, connection: 'close' }
      const request = callHttp({ host, port, method: 'GET', path: '/orders/1', headers, agent: false }, response => {
        let body = ''
        response.on('data', chunk => { body += chunk.toString('latin1') })
        response.on('error', () => {})
        response.on('close', () => resolve({ status: response.statusCode, seal: response.headers['server-seal'], body, isWhole: response.complete }))
      })
      request.setTimeout(3_000, () => request.destroy(new Error('the client gives up')))
      request.on('error', () => resolve({ status: 0, body: '', isWhole: false }))
      request.end()
    })
    this.note(`lookup ${attemptId} sent to ${name}: ${result.status}, ${result.body.length} B${result.isWhole ? '' : ', not whole'}, seal ${result.seal ?? 'none'}`)
    return result
  }

  /** True if a worker began to run the client attempt. */
  hasRun (attemptId) {
    return this.workers.some(({ runs }) => runs.some(run => run.attemptId === attemptId))
  }

  /** Sends a turn once, on a new channel, and resolves when it has ended. Status 0: no answer. */
  async sendTurn (node, { attemptId, programId, previousTurnId, body, budget = 100_000, deadlineMs = 3_000, finishMs = 60_000, events = 3, gapMs = 10, takeUp, onData = () => {} }) {
    const promptTokens = Math.ceil(body.length / BYTES_PER_TOKEN)
    const headers = {
      host: HOST,
      'attempt-id': attemptId,
      'program-id': programId,
      'session-id': programId,
      'finish-ms': finishMs,
      'token-budget': budget,
      'token-usage': `${promptTokens},${events * EVENT_TOKENS}`,
      'prompt-prefix': `${Buffer.from(programId).toString('hex')}:${promptTokens}`,
      'deadline-ms': deadlineMs,
      model: 'm',
      'x-events': events,
      'x-gap-ms': gapMs,
      'content-length': body.length,
      connection: 'close',
      ...(previousTurnId === undefined ? {} : { 'previous-turn': previousTurnId }),
      ...(takeUp === undefined ? {} : { 'last-event-id': takeUp.lastEventId, resumes: takeUp.attemptId })
    }
    const [address, port] = node.listen.front.split(':')
    const sentAtMs = this.nowMs
    const result = await new Promise(resolve => {
      const request = callHttp({ host: address, port, method: 'POST', path: '/turns/1', headers, agent: false })
      const timer = setTimeout(() => request.destroy(new Error('the client gives up')), deadlineMs + TRY_GRACE_MS)
      const end = (status, isWhole) => {
        clearTimeout(timer)
        resolve({ status, isWhole })
      }
      request.setTimeout(deadlineMs + CONNECT_TIMEOUT_MS)
      request.on('error', () => end(0, false))
      request.on('response', response => {
        response.on('data', onData)
        response.on('error', () => {})
        response.on('close', () => end(response.statusCode, response.complete))
      })
      request.end(body)
    })
    const endedAtMs = this.nowMs
    const hasRun = this.hasRun(attemptId)
    this.note(`turn ${attemptId} of ${programId} (${body.length} B, previous ${previousTurnId ?? 'none'}${takeUp === undefined ? '' : `, takes up ${takeUp.attemptId} after event ${takeUp.lastEventId}`}) sent to ${node.name} at ${(sentAtMs / 1_000).toFixed(3)}: ${result.status}${result.isWhole ? '' : ', not whole'}, ${hasRun ? 'run' : 'not run'}`)
    return { ...result, hasRun, sentAtMs, endedAtMs }
  }

  _publishManifest ({ slots, retainS, canResume, bodyBytes }) {
    this._version += 2
    this.log.put('keyed.op', 'config', {
      version: this._version,
      routes: [{ name: 'turns', host: HOST, path_prefix: '/turns/', kind: 'stream', timeout_ms: 3_000, slo_ms: 200, priority: 0, service: 'engines', attempts: 1, retain: true, retain_s: retainS, sticky: true, can_resume: canResume, gap_aim_ms: 200 }, { name: 'orders', host: HOST, path_prefix: '/orders/', kind: 'safe', timeout_ms: 1_200, slo_ms: 150, priority: 2, service: 'shop', attempts: 1 }],
      services: [{ name: 'engines', health_path: '/health', max_conns: 150, engine: { slots, kv_tokens: KV_TOKENS, event_tokens: EVENT_TOKENS } }, { name: 'shop', health_path: '/health', max_conns: 96 }],
      limits: { header_bytes: 16_384, body_bytes: bodyBytes, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 }
    })
  }

  async _createNode (index) {
    const ip = `${this._network}.${1 + index}`
    const ports = await Promise.all(Array.from({ length: 4 }, async () => await findFreePort(ip)))
    const [front, ready, control, directory] = ports.map(port => `${ip}:${port}`)
    const name = `edge-a-${index + 1}`
    const listen = { front, ready, control, directory }
    const seeds = [...this.nodes.map(node => node.listen.control), control].slice(0, 3)
    const file = join(this._folder, `${name}.jsonc`)
    writeFileSync(file, fillTemplate(readFileSync('deploy/settings.jsonc', 'utf8'), {
      node_name: name,
      zone: 'a',
      listen,
      seeds,
      limits: { cpu_share: 0.675, cores: 2 },
      infra: { addr: this.log.address, ...LOG_LIMITS },
      bounds: { grace_s: 8, ttl_max_s: 5 }
    }))
    return { name, listen, file }
  }
}

/** Runs a case: `play` resolves to true if the rule held. Ends with the exit code of its verdict. */
export async function runCase (recordFile, play) {
  const deployment = new Deployment(recordFile)
  let verdict = Verdict.NotRun
  try {
    const isTrouble = process.env.TROUBLE !== '0'
    const { hasHeld, summary } = await play(deployment, isTrouble)
    verdict = hasHeld ? Verdict.Held : Verdict.Broken
    deployment.note(summary)
    console.log(summary)
  } catch (error) {
    deployment.note(`the case could not run: ${error.stack}`)
    console.log(String(error))
  }
  await deployment.stop()
  process.exit(verdict)
}

function runCommand () {
  return readFileSync('deploy/system.toml', 'utf8').match(/^run = "(.*)"$/m)[1]
}

/** Fills in a template of settings as DEPLOY.md describes: values, JSON values, and sections for present and missing values. */
function fillTemplate (template, fields) {
  const find = path => path.split('.').reduce((value, name) => value?.[name], fields)
  return template
    .replace(/\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/g, (_, path, content) => find(path) === undefined ? '' : content)
    .replace(/\{\{\^([\w.]+)\}\}(.*?)\{\{\/\1\}\}/g, (_, path, content) => find(path) === undefined ? content : '')
    .replace(/\{\{([\w.]+)\|json\}\}/g, (_, path) => JSON.stringify(find(path)))
    .replace(/\{\{([\w.]+)\}\}/g, (_, path) => String(find(path)))
}

async function findFreePort (host) {
  const server = createServer()
  await new Promise(resolve => { server.listen(0, host, resolve) })
  const { port } = server.address()
  await new Promise(resolve => { server.close(resolve) })
  return port
}
