/** Stand-in for a log with keyed topics, fenced producers and member groups, as a state machine without sockets. */

/** A record of a topic. */
export interface KeyedLogRecord {
  key: string
  /** Absent for a record that removes its key. */
  value?: Uint8Array
}

/** Who appends. */
export interface KeyedLogProducer {
  producer: string
  /** An append with a lower epoch than the highest one seen is fenced. */
  epoch: number
  /** Number of the append within the epoch; without it, repeats are not recognized. */
  sequence?: number
}

/** Result of an append; `offset` is the one of its first record and `end` the one after its last. */
export type KeyedLogAppend =
  | { type: 'appended', offset: number, end: number }
  | { type: 'fenced' }
  | { type: 'outOfSequence', expected: number }

/** Assignment that a member gets when it joins. */
export interface KeyedLogGroupAnswer {
  generation: number
  /** Partitions that the member holds now; those that another member has not released yet are missing. */
  partitions: number[]
}

interface ProducerState {
  epoch: number
  /** Sequence number of the last append; undefined before the first one of the epoch. */
  sequence: number | undefined
  /** The latest appends with their answers. */
  recent: Array<{ sequence: number, answer: KeyedLogAppend }>
}

interface Partition {
  records: Array<{ offset: number, record: KeyedLogRecord }>
  /** Offset of the next record. */
  end: number
  /** Offset of the first record that can be read. */
  first: number
  producers: Map<string, ProducerState>
  waiters: Set<() => void>
}

interface Member {
  lastJoinAtMs: number
  /** The member is removed when it has not joined again for this long. */
  ttlMs: number
  /** Generation that the member reported when it last joined. */
  generation: number
}

interface Group {
  generation: number
  members: Map<string, Member>
  /** The member that holds each partition. */
  holders: Map<number, string>
  /** The member that each partition is assigned to; it becomes the holder once the current one has released the partition. */
  targets: Map<number, string>
}

/** Number of latest appends of a producer whose repeats get the first answer again. */
const RECENT_APPENDS = 5

/** Size and clock of the log. */
export interface KeyedLogOptions {
  /** Partitions that a group distributes among its members. */
  partitionCount: number
  nowMs: () => number
}

/**
 * The log with all its topics and groups; a topic's partition exists from its first use.
 *
 * @example
 * const log = new KeyedLog({ partitionCount: 12, nowMs: () => 0 })
 * log.append('keyed.turns', 3, [{ key: 'a', value }], { producer: 'owner', epoch: 7, sequence: 1 })
 */
export class KeyedLog {
  private readonly _partitions = new Map<string, Partition>()
  private readonly _groups = new Map<string, Group>()

  constructor (private readonly _options: KeyedLogOptions) {}

  /** Appends records. A new epoch of a producer takes effect even without records, which fences its older epochs. */
  append (topic: string, partition: number, records: readonly KeyedLogRecord[], producer?: KeyedLogProducer): KeyedLogAppend {
    const partitionState = this._partitionOf(topic, partition)
    if (producer === undefined) return this._store(partitionState, records)
    const producerState = partitionState.producers.get(producer.producer) ?? { epoch: -1, sequence: undefined, recent: [] }
    if (producer.epoch < producerState.epoch) return { type: 'fenced' }
    if (producer.epoch > producerState.epoch) {
      producerState.epoch = producer.epoch
      producerState.sequence = undefined
      producerState.recent = []
    }
    partitionState.producers.set(producer.producer, producerState)
    if (records.length === 0 || producer.sequence === undefined) return this._store(partitionState, records)
    const { sequence } = producer
    const repeated = producerState.recent.find(append => append.sequence === sequence)
    if (repeated !== undefined) return repeated.answer
    if (producerState.sequence !== undefined && sequence !== producerState.sequence + 1) return { type: 'outOfSequence', expected: producerState.sequence + 1 }
    const answer = this._store(partitionState, records)
    producerState.sequence = sequence
    producerState.recent = [...producerState.recent, { sequence, answer }].slice(-RECENT_APPENDS)
    return answer
  }

  /** Records from an offset on; undefined when the offset is before the first that can be read. */
  read (topic: string, partition: number, fromOffset: number): { records: KeyedLogRecord[], first: number, end: number } | undefined {
    const { records, first, end } = this._partitionOf(topic, partition)
    if (fromOffset < first) return undefined
    return { records: records.filter(({ offset }) => offset >= fromOffset).map(({ record }) => record), first, end }
  }

  /** Offset of the first record that can be read. */
  firstOffset (topic: string, partition: number): number {
    return this._partitionOf(topic, partition).first
  }

  /** Calls the listener once, at the next append of a record to the partition; the result cancels the wait. */
  onNextAppend (topic: string, partition: number, listener: () => void): () => void {
    const { waiters } = this._partitionOf(topic, partition)
    waiters.add(listener)
    return () => waiters.delete(listener)
  }

  /** The newest record of each key that has a value, ordered by key, from the first key after `afterKey` on. */
  newest (topic: string, partition: number, afterKey: string | undefined, limit: number): { items: Array<Required<KeyedLogRecord> & { offset: number }>, hasMore: boolean, end: number } {
    const { records, end } = this._partitionOf(topic, partition)
    const byKey = new Map<string, { offset: number, record: KeyedLogRecord }>()
    for (const entry of records) byKey.set(entry.record.key, entry)
    const items = [...byKey.values()]
      .flatMap(({ offset, record: { key, value } }) => value === undefined || (afterKey !== undefined && key <= afterKey) ? [] : [{ key, value, offset }])
      .sort((left, right) => left.key < right.key ? -1 : 1)
    return { items: items.slice(0, limit), hasMore: items.length > limit, end }
  }

  /** Drops the history: `read` has no records before the current end, while the newest record of each key stays readable by `newest`. */
  dropHistory (topic: string, partition: number): void {
    const partitionState = this._partitionOf(topic, partition)
    const newest = new Map<string, { offset: number, record: KeyedLogRecord }>()
    for (const entry of partitionState.records) newest.set(entry.record.key, entry)
    partitionState.records = [...newest.values()].filter(({ record }) => record.value !== undefined)
    partitionState.first = partitionState.end
  }

  /**
   * Joins a group or renews the membership, for `ttlMs`.
   *
   * @param generation the latest generation that the member knows: with the current one it has released all partitions that moved to others.
   */
  join (name: string, member: string, ttlMs: number, generation: number): KeyedLogGroupAnswer {
    const group = this._groups.get(name) ?? { generation: 0, members: new Map<string, Member>(), holders: new Map<number, string>(), targets: new Map<number, string>() }
    this._groups.set(name, group)
    this._removeExpiredMembers(group)
    if (!group.members.has(member)) {
      group.members.set(member, { lastJoinAtMs: 0, ttlMs, generation: 0 })
      this._recomputeTargets(group)
    }
    group.members.set(member, { lastJoinAtMs: this._options.nowMs(), ttlMs, generation })
    this._transferReleased(group)
    const partitions = [...group.targets].filter(([partition, target]) => target === member && group.holders.get(partition) === member).map(([partition]) => partition)
    return { generation: group.generation, partitions }
  }

  /** Removes a member and reassigns its partitions. */
  leave (name: string, member: string): void {
    const group = this._groups.get(name)
    if (group === undefined || !group.members.delete(member)) return
    this._recomputeTargets(group)
  }

  /** Assigns the partitions anew although no member has joined or left. */
  rebalance (name: string): void {
    const group = this._groups.get(name)
    if (group === undefined) return
    const members = [...group.members.keys()]
    group.generation++
    for (let partition = 0; partition < this._options.partitionCount; partition++) group.targets.set(partition, members[(partition + group.generation) % members.length])
  }

  private _store (partitionState: Partition, records: readonly KeyedLogRecord[]): KeyedLogAppend {
    const offset = partitionState.end
    for (const record of records) partitionState.records.push({ offset: partitionState.end++, record })
    const waiters = [...partitionState.waiters]
    if (records.length > 0) partitionState.waiters.clear()
    if (records.length > 0) for (const waiter of waiters) waiter()
    return { type: 'appended', offset, end: partitionState.end }
  }

  /** Removes the members that have not joined again within their `ttlMs`. */
  private _removeExpiredMembers (group: Group): void {
    const nowMs = this._options.nowMs()
    const expired = [...group.members].filter(([, { lastJoinAtMs, ttlMs }]) => nowMs - lastJoinAtMs > ttlMs).map(([member]) => member)
    for (const member of expired) group.members.delete(member)
    if (expired.length > 0) this._recomputeTargets(group)
  }

  /** Starts a generation that spreads the partitions evenly over the members and moves as few as possible. */
  private _recomputeTargets (group: Group): void {
    group.generation++
    const members = [...group.members.keys()]
    group.targets.clear()
    if (members.length === 0) return
    const minPerMember = Math.floor(this._options.partitionCount / members.length)
    const counts = new Map(members.map(member => [member, 0]))
    const unassigned: number[] = []
    for (let partition = 0; partition < this._options.partitionCount; partition++) {
      const holder = group.holders.get(partition) ?? ''
      const count = counts.get(holder)
      if (count === undefined || count >= minPerMember) unassigned.push(partition)
      else this._setTarget(group, counts, partition, holder)
    }
    for (const partition of unassigned) {
      const minCount = Math.min(...counts.values())
      const holder = group.holders.get(partition) ?? ''
      const [firstCandidate] = [...counts].filter(([, count]) => count === minCount).map(([member]) => member)
      this._setTarget(group, counts, partition, counts.get(holder) === minCount ? holder : firstCandidate)
    }
  }

  private _setTarget (group: Group, counts: Map<string, number>, partition: number, member: string): void {
    group.targets.set(partition, member)
    counts.set(member, (counts.get(member) ?? 0) + 1)
  }

  /** Moves a partition to its assigned member once its holder has reported the current generation, has left or was removed. */
  private _transferReleased (group: Group): void {
    for (const [partition, target] of group.targets) {
      const holder = group.holders.get(partition)
      const isReleased = holder === undefined || holder === target || (group.members.get(holder)?.generation ?? group.generation) >= group.generation
      if (isReleased) group.holders.set(partition, target)
    }
  }

  private _partitionOf (topic: string, partition: number): Partition {
    const key = `${topic}/${partition}`
    let partitionState = this._partitions.get(key)
    if (partitionState === undefined) {
      partitionState = { records: [], end: 0, first: 0, producers: new Map(), waiters: new Set() }
      this._partitions.set(key, partitionState)
    }
    return partitionState
  }
}
