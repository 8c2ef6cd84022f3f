/** Stand-in of the platform's log, as far as the system uses it: topics with partitions, newest records of each key, fenced producers and member groups. */
import { createServer } from 'node:http'

const RECORD_BYTES = 262_144
const CALL_BYTES = 2_097_152
const PAGE_ITEMS = 500
const PAGE_BYTES = 1_000_000
const READ_BYTES = 1_048_576
const RECENT_APPENDS = 5
const MIN_LATE_MS = 1_000
const MAX_LATE_MS = 6_000

/** Nothing is lost while the process runs. */
export class Log {
  /** Milliseconds that each append takes. */
  appendMs = 2
  /** Calls by path. */
  calls = new Map()
  _partitions = new Map()
  _groups = new Map()
  _lostChannels = new WeakSet()

  /** Hosts of the log whose callers get no answer; each machine may call it at a host of its own. */
  turnedAway = new Set()
  /** Share of the appends of one host that are carried out later, 1 to 6 s, and not answered. */
  late = { host: undefined, share: 0 }
  /** Raised epochs that were carried out late, with what they have replaced. */
  lateEpochs = []
  /** Late calls so far that raise an epoch. */
  lateRaises = 0
  /** Late calls that are not carried out yet. */
  lateCount = 0
  _servers = []

  constructor ({ port, parts }) {
    this.port = port
    this.parts = parts
  }

  async listen (host) {
    const server = createServer((request, response) => { void this._handle(request, response) })
    server.keepAliveTimeout = 30_000
    this._servers.push(server)
    await new Promise((resolve, reject) => server.once('error', reject).listen(this.port, host, resolve))
  }

  close () {
    for (const server of this._servers) {
      server.closeAllConnections()
      server.close()
    }
  }

  /** Writes a record as the operator and the workers do. */
  put (topic, key, value) {
    this._store(this._partitionOf(topic, 0), [{ key, value: value === undefined ? undefined : Buffer.from(JSON.stringify(value)) }])
  }

  /** The member of a group that holds the partition of a topic in which a key lies; undefined without the key. */
  holderOf (topic, key) {
    const [name] = [...this._partitions].find(([name, { newest }]) => name.startsWith(`${topic}/`) && newest.has(key)) ?? []
    const [group] = this._groups.values()
    return name === undefined ? undefined : group?.holders.get(Number(name.split('/')[1]))
  }

  /** Bytes of the newest records of a topic. */
  bytesOf (topic) {
    let bytes = 0
    for (const [name, { newest }] of this._partitions) {
      if (name.startsWith(`${topic}/`)) for (const { value } of newest.values()) bytes += value.length
    }
    return bytes
  }

  async _handle (request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const body = Buffer.concat(chunks)
    const { pathname, searchParams } = new URL(request.url, 'http://log')
    if (this.turnedAway.has(request.socket.localAddress) || this._lostChannels.has(request.socket)) return
    this.calls.set(pathname, (this.calls.get(pathname) ?? 0) + 1)
    const partition = () => this._partitionOf(searchParams.get('topic'), Number(searchParams.get('part')))
    switch (pathname) {
      case '/-/log-append': return await this._append(partition(), searchParams, body, response)
      case '/-/log-read': return this._read(partition(), Number(searchParams.get('from')), Number(searchParams.get('wait_ms') ?? 0), response)
      case '/-/log-newest': return this._newest(partition(), searchParams.get('after'), response)
      case '/-/log-join': return answer(response, 200, this._join(JSON.parse(body)))
      case '/-/log-leave': return answer(response, 200, this._leave(JSON.parse(body)))
      default: return answer(response, 404, {})
    }
  }

  async _append (partition, query, body, response) {
    const records = []
    for (let offset = 0; offset < body.length;) {
      const length = body.readUInt32BE(offset)
      const content = body.subarray(offset + 4, offset + 4 + length)
      if (length > RECORD_BYTES) return answer(response, 413, { error: 'record' })
      const value = content.subarray(1 + content[0])
      records.push({ key: content.toString('utf8', 1, 1 + content[0]), value: value.length === 0 ? undefined : Buffer.from(value) })
      offset += 4 + length
    }
    if (body.length > CALL_BYTES) return answer(response, 413, { error: 'call' })
    if (this.late.host === response.socket.localAddress && Math.random() < this.late.share) {
      this._appendLate(partition, query, records)
      // A channel on which a response is lost returns nothing further.
      this._lostChannels.add(response.socket)
      return
    }
    // Appends of a partition are carried out one after the other.
    partition.turn = partition.turn.then(async () => {
      await new Promise(resolve => setTimeout(resolve, this.appendMs))
      const { status, ...fields } = this._appendNow(partition, query, records)
      answer(response, status, fields)
    })
    await partition.turn
  }

  _appendLate (partition, query, records) {
    this.lateCount++
    if (records.length === 0) this.lateRaises++
    setTimeout(() => {
      const earlier = partition.producers.get(query.get('producer'))?.epoch
      const { status } = this._appendNow(partition, query, records)
      this.lateCount--
      if (records.length === 0 && status === 200 && Number(query.get('epoch')) > earlier) this.lateEpochs.push({ part: Number(query.get('part')), earlier, epoch: Number(query.get('epoch')) })
    }, MIN_LATE_MS + Math.random() * (MAX_LATE_MS - MIN_LATE_MS))
  }

  _appendNow (partition, query, records) {
    const producer = query.get('producer')
    if (producer === null) return this._store(partition, records)
    const epoch = Number(query.get('epoch'))
    const state = partition.producers.get(producer) ?? { epoch: -1, sequence: undefined, recent: new Map() }
    partition.producers.set(producer, state)
    if (epoch < state.epoch) return { status: 409, why: 'fenced' }
    if (epoch > state.epoch) Object.assign(state, { epoch, sequence: undefined, recent: new Map() })
    if (records.length === 0 || !query.has('call_seq')) return this._store(partition, records)
    const sequence = Number(query.get('call_seq'))
    if (state.recent.has(sequence)) return state.recent.get(sequence)
    if (state.sequence !== undefined && sequence !== state.sequence + 1) return { status: 409, why: 'seq', expected: state.sequence + 1 }
    const stored = this._store(partition, records)
    state.sequence = sequence
    state.recent.set(sequence, stored)
    if (state.recent.size > RECENT_APPENDS) state.recent.delete(state.recent.keys().next().value)
    return stored
  }

  _store (partition, records) {
    const offset = partition.end
    for (const { key, value } of records) {
      if (value === undefined) partition.newest.delete(key)
      else partition.newest.set(key, { value, offset: partition.end })
      // Records of turns are read by their keys only.
      if (partition.keepsHistory) partition.history.push({ key, value })
      partition.end++
    }
    if (records.length > 0) for (const wake of partition.waiting.splice(0)) wake()
    return { status: 200, offset, end: partition.end }
  }

  _read (partition, from, waitMs, response) {
    const send = () => {
      const header = Buffer.alloc(16)
      header.writeBigUInt64BE(BigInt(partition.end), 0)
      const parts = [header]
      let bytes = 0
      for (const { key, value } of partition.history.slice(from)) {
        const encoded = encode(key, value)
        if (bytes > 0 && bytes + encoded.length > READ_BYTES) break
        bytes += encoded.length
        parts.push(encoded)
      }
      response.end(Buffer.concat(parts))
    }
    if (from < partition.end || waitMs === 0) {
      send()
      return
    }
    const wake = () => {
      clearTimeout(timer)
      send()
    }
    const timer = setTimeout(() => {
      partition.waiting = partition.waiting.filter(other => other !== wake)
      send()
    }, waitMs)
    partition.waiting.push(wake)
  }

  _newest (partition, after, response) {
    const items = []
    let bytes = 0
    let hasMore = false
    for (const key of [...partition.newest.keys()].sort()) {
      if (after !== null && key <= after) continue
      const { value, offset } = partition.newest.get(key)
      if (items.length === PAGE_ITEMS || (items.length > 0 && bytes + value.length > PAGE_BYTES)) {
        hasMore = true
        break
      }
      bytes += value.length
      items.push({ key, value: value.toString('base64'), offset })
    }
    answer(response, 200, { items, has_more: hasMore, end: partition.end })
  }

  _join ({ group: name, member, topics, ttl_ms: ttlMs, generation }) {
    const group = this._groups.get(name) ?? { generation: 0, members: new Map(), holders: new Map(), targets: new Map() }
    this._groups.set(name, group)
    const nowMs = performance.now()
    const expired = [...group.members].filter(([, { joinedAtMs, ttlMs: memberTtlMs }]) => nowMs - joinedAtMs > memberTtlMs)
    for (const [gone] of expired) group.members.delete(gone)
    if (expired.length > 0) this._assign(group)
    const isNew = !group.members.has(member)
    group.members.set(member, { joinedAtMs: nowMs, ttlMs, generation })
    if (isNew) this._assign(group)
    for (const [part, target] of group.targets) {
      const holder = group.members.get(group.holders.get(part))
      if (holder === undefined || holder.generation >= group.generation) group.holders.set(part, target)
    }
    const parts = [...group.targets].filter(([part, target]) => target === member && group.holders.get(part) === member)
    return { generation: group.generation, ttl_ms: ttlMs, parts: parts.map(([part]) => [topics[0], part, 0]) }
  }

  _leave ({ group: name, member }) {
    const group = this._groups.get(name)
    if (group?.members.delete(member) === true) this._assign(group)
    return {}
  }

  /** Distributes the partitions evenly and moves as few as possible. */
  _assign (group) {
    group.generation++
    const members = [...group.members.keys()]
    const counts = new Map(members.map(member => [member, 0]))
    const most = Math.ceil(this.parts / Math.max(1, members.length))
    group.targets.clear()
    const left = []
    for (let part = 0; part < this.parts; part++) {
      const holder = group.holders.get(part)
      if (!counts.has(holder) || counts.get(holder) >= most) {
        left.push(part)
        continue
      }
      group.targets.set(part, holder)
      counts.set(holder, counts.get(holder) + 1)
    }
    for (const part of left) {
      const [member] = [...counts].sort(([, a], [, b]) => a - b)[0] ?? []
      if (member === undefined) return
      group.targets.set(part, member)
      counts.set(member, counts.get(member) + 1)
    }
  }

  _partitionOf (topic, part) {
    const name = `${topic}/${part}`
    let partition = this._partitions.get(name)
    if (partition === undefined) {
      partition = { end: 0, history: [], newest: new Map(), producers: new Map(), waiting: [], turn: Promise.resolve(), keepsHistory: topic !== 'keyed.turns' }
      this._partitions.set(name, partition)
    }
    return partition
  }
}

function answer (response, status, fields) {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(fields))
}

function encode (key, value) {
  const keyBytes = Buffer.from(key)
  const header = Buffer.alloc(5)
  header.writeUInt32BE(1 + keyBytes.length + (value?.length ?? 0), 0)
  header.writeUInt8(keyBytes.length, 4)
  return Buffer.concat([header, keyBytes, value ?? Buffer.alloc(0)])
}
