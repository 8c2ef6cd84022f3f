/** Stand-in of a log with keyed topics, fenced producers and member groups, as a state machine without sockets. */

export interface KeyedLogRecord {
  key: string
  /** Absent for a record that removes its key. */
  value?: Uint8Array
}

export interface KeyedLogProducer {
  producer: string
  epoch: number
  sequence?: number
}

export type KeyedLogAppend =
  | { type: 'appended', offset: number, end: number }
  | { type: 'fenced' }
  | { type: 'outOfSequence', expected: number }

export interface KeyedLogGroupAnswer {
  generation: number
  partitions: number[]
}

interface ProducerState {
  epoch: number
  sequence: number | undefined
  /** The last appends by their sequence numbers, with what was answered. */
  recent: Array<{ sequence: number, answer: KeyedLogAppend }>
}

interface Partition {
  records: Array<{ offset: number, record: KeyedLogRecord }>
  end: number
  first: number
  producers: Map<string, ProducerState>
  waiters: Set<() => void>
}

interface Member {
  heardAtMs: number
  ttlMs: number
  generation: number
}

interface Group {
  generation: number
  members: Map<string, Member>
  /** Who holds each partition, and who shall have it. */
  holders: Map<number, string>
  targets: Map<number, string>
}

/** Appends whose repeat gets its first answer again. */
const REMEMBERED_APPENDS = 5

export interface KeyedLogOptions {
  partitionCount: number
  nowMs: () => number
}

/**
 * @example
 * const log = new KeyedLog({ partitionCount: 12, nowMs: () => 0 })
 * log.append('keyed.turns', 3, [{ key: 'a', value }], { producer: 'owner', epoch: 7, sequence: 1 })
 */
export class KeyedLog {
  private readonly _partitions = new Map<string, Partition>()
  private readonly _groups = new Map<string, Group>()

  constructor (private readonly _options: KeyedLogOptions) {}

  append (topic: string, partition: number, records: readonly KeyedLogRecord[], producer?: KeyedLogProducer): KeyedLogAppend {
    const state = this._partitionOf(topic, partition)
    if (producer === undefined) return this._store(state, records)
    const known = state.producers.get(producer.producer) ?? { epoch: -1, sequence: undefined, recent: [] }
    if (producer.epoch < known.epoch) return { type: 'fenced' }
    if (producer.epoch > known.epoch) {
      known.epoch = producer.epoch
      known.sequence = undefined
      known.recent = []
    }
    state.producers.set(producer.producer, known)
    if (records.length === 0 || producer.sequence === undefined) return this._store(state, records)
    const { sequence } = producer
    const repeated = known.recent.find(append => append.sequence === sequence)
    if (repeated !== undefined) return repeated.answer
    if (known.sequence !== undefined && sequence !== known.sequence + 1) return { type: 'outOfSequence', expected: known.sequence + 1 }
    const answer = this._store(state, records)
    known.sequence = sequence
    known.recent = [...known.recent, { sequence, answer }].slice(-REMEMBERED_APPENDS)
    return answer
  }

  /** Records from an offset on; undefined when they are gone. */
  read (topic: string, partition: number, fromOffset: number): { records: KeyedLogRecord[], first: number, end: number } | undefined {
    const { records, first, end } = this._partitionOf(topic, partition)
    if (fromOffset < first) return undefined
    return { records: records.filter(({ offset }) => offset >= fromOffset).map(({ record }) => record), first, end }
  }

  firstOffset (topic: string, partition: number): number {
    return this._partitionOf(topic, partition).first
  }

  /** Calls back once at the next append to the partition; the result stops the wait. */
  onNextAppend (topic: string, partition: number, listener: () => void): () => void {
    const { waiters } = this._partitionOf(topic, partition)
    waiters.add(listener)
    return () => waiters.delete(listener)
  }

  /** The newest record of each key, ordered by key, after `afterKey`. */
  newest (topic: string, partition: number, afterKey: string | undefined, limit: number): { items: Array<Required<KeyedLogRecord> & { offset: number }>, hasMore: boolean, end: number } {
    const { records, end } = this._partitionOf(topic, partition)
    const byKey = new Map<string, { offset: number, record: KeyedLogRecord }>()
    for (const entry of records) byKey.set(entry.record.key, entry)
    const items = [...byKey.values()]
      .flatMap(({ offset, record: { key, value } }) => value === undefined || (afterKey !== undefined && key <= afterKey) ? [] : [{ key, value, offset }])
      .sort((left, right) => left.key < right.key ? -1 : 1)
    return { items: items.slice(0, limit), hasMore: items.length > limit, end }
  }

  /** Drops the history; the newest record of each key stays readable by `newest`. */
  dropHistory (topic: string, partition: number): void {
    const state = this._partitionOf(topic, partition)
    const newest = new Map<string, { offset: number, record: KeyedLogRecord }>()
    for (const entry of state.records) newest.set(entry.record.key, entry)
    state.records = [...newest.values()].filter(({ record }) => record.value !== undefined)
    state.first = state.end
  }

  join (name: string, member: string, ttlMs: number, generation: number): KeyedLogGroupAnswer {
    const group = this._groups.get(name) ?? { generation: 0, members: new Map<string, Member>(), holders: new Map<number, string>(), targets: new Map<number, string>() }
    this._groups.set(name, group)
    this._dropSilent(group)
    if (!group.members.has(member)) {
      group.members.set(member, { heardAtMs: 0, ttlMs, generation: 0 })
      this._deal(group)
    }
    group.members.set(member, { heardAtMs: this._options.nowMs(), ttlMs, generation })
    this._settle(group)
    const partitions = [...group.targets].filter(([partition, owner]) => owner === member && group.holders.get(partition) === member).map(([partition]) => partition)
    return { generation: group.generation, partitions }
  }

  leave (name: string, member: string): void {
    const group = this._groups.get(name)
    if (group === undefined || !group.members.delete(member)) return
    this._deal(group)
  }

  /** Deals all partitions anew without anybody's request. */
  rebalance (name: string): void {
    const group = this._groups.get(name)
    if (group === undefined) return
    const members = [...group.members.keys()]
    group.generation++
    for (let partition = 0; partition < this._options.partitionCount; partition++) group.targets.set(partition, members[(partition + group.generation) % members.length])
  }

  private _store (state: Partition, records: readonly KeyedLogRecord[]): KeyedLogAppend {
    const offset = state.end
    for (const record of records) state.records.push({ offset: state.end++, record })
    const waiters = [...state.waiters]
    if (records.length > 0) state.waiters.clear()
    if (records.length > 0) for (const waiter of waiters) waiter()
    return { type: 'appended', offset, end: state.end }
  }

  private _dropSilent (group: Group): void {
    const nowMs = this._options.nowMs()
    const silent = [...group.members].filter(([, { heardAtMs, ttlMs }]) => nowMs - heardAtMs > ttlMs).map(([member]) => member)
    for (const member of silent) group.members.delete(member)
    if (silent.length > 0) this._deal(group)
  }

  /** Spreads the partitions evenly and moves as few as it can. */
  private _deal (group: Group): void {
    group.generation++
    const members = [...group.members.keys()]
    group.targets.clear()
    if (members.length === 0) return
    const least = Math.floor(this._options.partitionCount / members.length)
    const counts = new Map(members.map(member => [member, 0]))
    const open: number[] = []
    for (let partition = 0; partition < this._options.partitionCount; partition++) {
      const holder = group.holders.get(partition) ?? ''
      const count = counts.get(holder)
      if (count === undefined || count >= least) open.push(partition)
      else this._assign(group, counts, partition, holder)
    }
    for (const partition of open) {
      const fewest = Math.min(...counts.values())
      const holder = group.holders.get(partition) ?? ''
      const [first] = [...counts].filter(([, count]) => count === fewest).map(([member]) => member)
      this._assign(group, counts, partition, counts.get(holder) === fewest ? holder : first)
    }
  }

  private _assign (group: Group, counts: Map<string, number>, partition: number, member: string): void {
    group.targets.set(partition, member)
    counts.set(member, (counts.get(member) ?? 0) + 1)
  }

  /** A partition changes hands once its holder has seen the generation, has left or is silent. */
  private _settle (group: Group): void {
    for (const [partition, target] of group.targets) {
      const holder = group.holders.get(partition)
      const isFree = holder === undefined || holder === target || (group.members.get(holder)?.generation ?? group.generation) >= group.generation
      if (isFree) group.holders.set(partition, target)
    }
  }

  private _partitionOf (topic: string, partition: number): Partition {
    const key = `${topic}/${partition}`
    let state = this._partitions.get(key)
    if (state === undefined) {
      state = { records: [], end: 0, first: 0, producers: new Map(), waiters: new Set() }
      this._partitions.set(key, state)
    }
    return state
  }
}
