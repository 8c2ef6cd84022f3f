/** Starts the daemon as the deploy file says, each node on a loopback address of its own. */
import { spawn } from 'node:child_process'
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs'
import { connect, createServer } from 'node:net'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

/** Several cases may run at the same time. */
export const NETWORK = `127.0.${10 + Math.floor(Math.random() * 200)}`
const MAX_OUTPUT_CHARACTERS = 4_000_000
/** The platform starts a process again after this. */
const RESTART_MS = 150
const ROOT = join(dirname(fileURLToPath(import.meta.url)), '../..')

/** What the platform tells a process of a small deployment (three zones, 220 MB). `overrides` replaces fields. */
export function fieldsOf ({ index, ports, log, count, overrides = {} }) {
  const zones = ['regina', 'saskatoon', 'brandon']
  const ip = hostOf(index)
  return {
    node_name: `edge-${zones[index % zones.length]}-${index + 1}`,
    zone: zones[index % zones.length],
    listen: { front: `${ip}:${ports.front}`, ready: `${ip}:${ports.ready}`, control: `${ip}:${ports.control}`, directory: `${ip}:${ports.directory}` },
    seeds: Array.from({ length: Math.min(3, count) }, (_, seed) => `${hostOf(seed)}:${ports.control}`),
    limits: { cpu_share: 0.675, cores: 2, memory_mb: 220, fds: 8_200 },
    bounds: { grace_s: 8, ttl_max_s: 5 },
    infra: { addr: `${logHostOf(index)}:${log.port}`, parts: log.parts, record_bytes: 262_144, call_bytes: 2_097_152, ttl_min_ms: 1_000 },
    ...overrides
  }
}

export function hostOf (index) {
  return `${NETWORK}.${index + 1}`
}

/** The host at which a machine calls the log. */
export function logHostOf (index) {
  return `${NETWORK}.${index + 101}`
}

/** One machine: its process is started with the `run` line, and again after each end, like the platform does. */
export class Node {
  /** Ends of its process: code or signal. */
  ends = []
  output = ''
  _isStopped = false

  constructor ({ fields, folder }) {
    this.fields = fields
    this.front = fields.listen.front
    this.name = fields.node_name
    this._folder = join(folder, this.name)
    mkdirSync(this._folder, { recursive: true })
  }

  start () {
    const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
    const [program, ...words] = /^run = "(.*)"$/m.exec(deploy)[1].split(' ')
    const template = /^template = "(.*)"$/m.exec(deploy)[1]
    const file = join(this._folder, 'boot.jsonc')
    writeFileSync(file, render(readFileSync(join(ROOT, template), 'utf8'), this.fields))
    const child = spawn(program === 'node' ? process.execPath : program, words, { cwd: ROOT, env: { PATH: process.env.PATH, HOME: this._folder, TREFOILSHUNT_NODE_FILE: file }, stdio: ['ignore', 'pipe', 'pipe'] })
    this._child = child
    const keep = chunk => { this.output = `${this.output}${chunk}`.slice(-MAX_OUTPUT_CHARACTERS) }
    child.stdout.on('data', keep)
    child.stderr.on('data', keep)
    child.once('exit', (code, signal) => {
      this.ends.push(String(signal ?? code))
      if (!this._isStopped) this._restart = setTimeout(() => this.start(), RESTART_MS)
    })
  }

  get pid () {
    return this._child.pid
  }

  /** Private memory of the process in MB, or undefined while it doesn't run. */
  get privateMb () {
    try {
      return Number(/^RssAnon:\s+(\d+)/m.exec(readFileSync(`/proc/${this.pid}/status`, 'latin1'))[1]) / 1_024
    } catch {
      return undefined
    }
  }

  kill (signal) {
    this._child.kill(signal)
  }

  async stop () {
    this._isStopped = true
    clearTimeout(this._restart)
    if (this._child.exitCode !== null || this._child.signalCode !== null) return
    const ended = new Promise(resolve => this._child.once('exit', resolve))
    this._child.kill('SIGCONT')
    this._child.kill('SIGKILL')
    await ended
  }
}

/** Free ports, equal on all `hosts`. */
export async function findPorts (names, hosts) {
  const ports = {}
  let port = 20_000 + Math.floor(Math.random() * 10_000)
  for (const name of names) {
    for (;;) {
      port++
      const free = await Promise.all(hosts.map(async host => await isFree(host, port)))
      if (free.every(Boolean)) break
    }
    ports[name] = port
  }
  return ports
}

async function isFree (host, port) {
  return await new Promise(resolve => {
    const server = createServer().once('error', () => resolve(false))
    server.listen(port, host, () => server.close(() => resolve(true)))
  })
}

/** True once something listens at `host:port`. */
export async function accepts (address) {
  const [host, port] = address.split(':')
  return await new Promise(resolve => {
    const socket = connect(Number(port), host)
    socket.once('connect', () => resolve(true)).once('error', () => resolve(false))
    socket.once('connect', () => socket.destroy())
  })
}

/** Fills in a template as the platform does: values, `|json`, sections and inverted sections. */
function render (template, fields) {
  const find = path => path.split('.').reduce((value, name) => value?.[name], fields)
  return template
    .replace(/\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs, (_, path, inner) => find(path) === undefined || find(path) === false ? '' : inner)
    .replace(/\{\{\^([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs, (_, path, inner) => find(path) === undefined || find(path) === false ? inner : '')
    .replace(/\{\{([\w.]+)\|json\}\}/g, (_, path) => JSON.stringify(find(path)))
    .replace(/\{\{([\w.]+)\}\}/g, (_, path) => find(path) ?? '')
}
