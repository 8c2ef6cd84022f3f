/** Stand-in for the platform's store in its form as a log, in memory, on one loopback address. */
import { createServer } from 'node:http'

const ANSWER_MS = 4
const APPEND_MS = 2
const RECENT_APPENDS = 5
const PAGE_ITEMS = 500
const PAGE_BYTES = 1024 * 1024

/** Limits as in the example of the settings in DEPLOY.md. */
export const LOG_LIMITS = { parts: 12, record_bytes: 262_144, call_bytes: 2_097_152, ttl_min_ms: 1_000 }

export const LogMode = {
  Up: 'up',
  /** Down: nothing is done and nothing is answered. */
  Silent: 'silent'
}

const pause = async ms => await new Promise(resolve => { setTimeout(resolve, ms) })

export class LogStandIn {
  mode = LogMode.Up
  _partitions = new Map()
  _groups = new Map()
  _server = createServer((request, response) => { this._handle(request, response).catch(() => response.destroy()) })

  async listen (host) {
    await new Promise(resolve => { this._server.listen(0, host, resolve) })
    this.address = `${host}:${this._server.address().port}`
  }

  async close () {
    this._server.closeAllConnections()
    await new Promise(resolve => { this._server.close(resolve) })
  }

  /** Writes a record of the operator or of a worker; without a value it removes the key. */
  put (topic, key, value) {
    this._store(this._partitionOf(topic, 0), [encodeRecord(key, value === undefined ? undefined : Buffer.from(JSON.stringify(value)))])
  }

  async _handle (request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const body = Buffer.concat(chunks)
    if (this.mode === LogMode.Silent) return
    const url = new URL(request.url, 'http://log')
    await pause(ANSWER_MS + (url.pathname === '/-/log-append' ? APPEND_MS : 0))
    const query = url.searchParams
    switch (url.pathname) {
      case '/-/log-append': return this._append(query, body, response)
      case '/-/log-read': return this._read(query, response)
      case '/-/log-newest': return this._newest(query, response)
      case '/-/log-join': return this._join(JSON.parse(body), response)
      case '/-/log-leave': return this._leave(JSON.parse(body), response)
      default: answer(response, 404, {})
    }
  }

  _append (query, body, response) {
    const topic = query.get('topic')
    const part = Number(query.get('part'))
    const records = splitRecords(body)
    const bytes = records.reduce((total, { length }) => total + length - 4, 0)
    if (bytes > LOG_LIMITS.call_bytes || records.some(({ length }) => length - 4 > LOG_LIMITS.record_bytes)) {
      return answer(response, 413, { why: 'size' })
    }
    const partition = this._partitionOf(topic, part)
    const producer = query.get('producer')
    if (producer === null) return answer(response, 200, this._store(partition, records))
    const epoch = Number(query.get('epoch'))
    const state = partition.producers.get(producer) ?? { epoch: -1, sequence: undefined, recent: [] }
    if (epoch < state.epoch) return answer(response, 409, { why: 'fenced' })
    if (epoch > state.epoch) Object.assign(state, { epoch, sequence: undefined, recent: [] })
    partition.producers.set(producer, state)
    if (records.length === 0) return answer(response, 200, { offset: partition.end, end: partition.end })
    const sequence = Number(query.get('call_seq'))
    const repeated = state.recent.find(append => append.sequence === sequence)
    if (repeated !== undefined) return answer(response, 200, repeated.result)
    if (state.sequence !== undefined && sequence !== state.sequence + 1) return answer(response, 409, { why: 'seq', expected: state.sequence + 1 })
    const result = this._store(partition, records)
    state.sequence = sequence
    state.recent = [...state.recent, { sequence, result }].slice(-RECENT_APPENDS)
    answer(response, 200, result)
  }

  _store (partition, records) {
    const offset = partition.end
    for (const record of records) {
      const { key, value } = decodeRecord(record)
      partition.records.push(record)
      if (value.length === 0) partition.newest.delete(key)
      else partition.newest.set(key, { key, value, offset: partition.end })
      partition.end++
    }
    if (records.length > 0) for (const wake of [...partition.waiters]) wake()
    return { offset, end: partition.end }
  }

  _read (query, response) {
    const partition = this._partitionOf(query.get('topic'), Number(query.get('part')))
    const from = Number(query.get('from'))
    const send = () => {
      clearTimeout(timer)
      partition.waiters.delete(send)
      const head = Buffer.alloc(16)
      head.writeBigUInt64BE(BigInt(partition.end), 0)
      if (this.mode !== LogMode.Silent) response.end(Buffer.concat([head, ...partition.records.slice(from)]))
    }
    const timer = setTimeout(send, partition.end > from ? 0 : Number(query.get('wait_ms') ?? 0))
    partition.waiters.add(send)
  }

  _newest (query, response) {
    const partition = this._partitionOf(query.get('topic'), Number(query.get('part')))
    const after = query.get('after')
    const entries = [...partition.newest.values()].filter(({ key }) => after === null || key > after).sort((left, right) => left.key < right.key ? -1 : 1)
    const items = []
    let bytes = 0
    for (const { key, value, offset } of entries) {
      if (items.length >= PAGE_ITEMS || (items.length > 0 && bytes + value.length > PAGE_BYTES)) break
      items.push({ key, value: value.toString('base64'), offset })
      bytes += value.length
    }
    answer(response, 200, { items, has_more: items.length < entries.length, end: partition.end })
  }

  _join ({ group: name, member, topics, ttl_ms: ttlMs, generation }, response) {
    const group = this._groupOf(name)
    if (!group.members.has(member)) {
      group.members.set(member, {})
      this._assign(group)
    }
    const state = group.members.get(member)
    clearTimeout(state.timer)
    Object.assign(state, { generation, timer: this._watchMember(group, member, ttlMs) })
    this._handOver(group)
    const parts = [...group.targets].filter(([part, target]) => target === member && group.holders.get(part) === member).map(([part]) => [topics[0], part, 0])
    answer(response, 200, { generation: group.generation, parts })
  }

  /** Memberships don't expire while the log is down. */
  _watchMember (group, member, ttlMs) {
    const timer = setTimeout(() => {
      if (this.mode === LogMode.Silent) group.members.get(member).timer = this._watchMember(group, member, ttlMs)
      else this._removeMember(group, member)
    }, Math.max(ttlMs, LOG_LIMITS.ttl_min_ms))
    timer.unref()
    return timer
  }

  _leave ({ group: name, member }, response) {
    const group = this._groupOf(name)
    if (group.members.has(member)) this._removeMember(group, member)
    answer(response, 200, {})
  }

  _removeMember (group, member) {
    clearTimeout(group.members.get(member)?.timer)
    group.members.delete(member)
    this._assign(group)
    this._handOver(group)
  }

  /** Begins a generation that spreads the partitions evenly; those that may stay do. */
  _assign (group) {
    group.generation++
    const members = [...group.members.keys()]
    group.targets.clear()
    if (members.length === 0) return
    const most = Math.ceil(LOG_LIMITS.parts / members.length)
    const least = Math.floor(LOG_LIMITS.parts / members.length)
    const counts = new Map(members.map(member => [member, 0]))
    const assign = (part, member) => {
      group.targets.set(part, member)
      counts.set(member, counts.get(member) + 1)
    }
    for (let part = 0; part < LOG_LIMITS.parts; part++) {
      const holder = group.holders.get(part)
      if (counts.has(holder) && counts.get(holder) < least) assign(part, holder)
    }
    for (let part = 0; part < LOG_LIMITS.parts; part++) {
      if (group.targets.has(part)) continue
      const holder = group.holders.get(part)
      const lowest = members.reduce((left, right) => counts.get(right) < counts.get(left) ? right : left)
      assign(part, counts.has(holder) && counts.get(holder) < most && counts.get(holder) === counts.get(lowest) ? holder : lowest)
    }
  }

  /** A partition goes to its new member when the old one has joined with the current generation or is no member. */
  _handOver (group) {
    for (const [part, target] of group.targets) {
      const holder = group.members.get(group.holders.get(part))
      if (holder === undefined || holder.generation >= group.generation) group.holders.set(part, target)
    }
  }

  _groupOf (name) {
    if (!this._groups.has(name)) this._groups.set(name, { generation: 0, members: new Map(), holders: new Map(), targets: new Map() })
    return this._groups.get(name)
  }

  _partitionOf (topic, part) {
    const key = `${topic}/${part}`
    if (!this._partitions.has(key)) this._partitions.set(key, { records: [], newest: new Map(), end: 0, producers: new Map(), waiters: new Set() })
    return this._partitions.get(key)
  }
}

function answer (response, status, body) {
  if (response.destroyed) return
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(body))
}

function splitRecords (body) {
  const records = []
  for (let offset = 0; offset < body.length; offset += 4 + body.readUInt32BE(offset)) records.push(body.subarray(offset, offset + 4 + body.readUInt32BE(offset)))
  return records
}

function decodeRecord (record) {
  const keyBytes = record[4]
  return { key: record.toString('utf8', 5, 5 + keyBytes), value: record.subarray(5 + keyBytes) }
}

function encodeRecord (key, value = Buffer.alloc(0)) {
  const keyBytes = Buffer.from(key)
  const head = Buffer.alloc(5)
  head.writeUInt32BE(1 + keyBytes.length + value.length, 0)
  head.writeUInt8(keyBytes.length, 4)
  return Buffer.concat([head, keyBytes, value])
}
