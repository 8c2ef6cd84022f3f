/** A node's client of the log that injects the faults of a random schedule: calls are refused, unanswered, lost or executed late. */
import type { SeededRandom } from '@trefoilshunt/core'
import type { KeyedLog } from '@trefoilshunt/standins'
import type { AppendRequest, AppendResult, ILogClient, JoinRequest, JoinResult, NewestRequest, NewestResult, ReadResult } from '@trefoilshunt/node'
import type { VirtualTime } from '../virtualTime.js'

const PAGE_RECORDS = 20
const MAX_LATENCY_MS = 6
const MAX_LATE_EXECUTION_MS = 1_500

/** The faults of the log, shared by the clients of all nodes. Times are virtual. */
export interface LogFaults {
  /** Until when the calls of a node are dropped without an answer. */
  unresponsiveUntilMs: Map<string, number>
  /** Until when the calls of a node are refused. */
  refusedUntilMs: Map<string, number>
  /** Until when calls of any node may be lost, each with `lossProbability`. */
  lossyUntilMs: number
  lossProbability: number
}

export interface FaultInjectingLogOptions {
  node: string
  log: KeyedLog
  time: VirtualTime
  random: SeededRandom
  faults: LogFaults
}

/** Executes calls on the shared log after a random latency, unless a fault applies. */
export class FaultInjectingLog implements ILogClient {
  constructor (private readonly _options: FaultInjectingLogOptions) {}

  async append ({ topic, partition, records, producer, timeoutMs }: AppendRequest): Promise<AppendResult> {
    const answer = await this._call(timeoutMs, () => this._options.log.append(topic, partition, records, producer))
    if (typeof answer === 'string') return { type: answer, detail: answer }
    return answer.type === 'appended' ? { type: 'appended', endOffset: answer.end } : answer
  }

  async read (): Promise<ReadResult> {
    return { type: 'failed', detail: 'not used' }
  }

  async readNewest ({ topic, partition, afterKey, timeoutMs }: NewestRequest): Promise<NewestResult> {
    const answer = await this._call(timeoutMs, () => this._options.log.newest(topic, partition, afterKey, PAGE_RECORDS))
    return typeof answer === 'string' ? { type: 'failed', detail: answer } : { type: 'page', records: answer.items, hasMore: answer.hasMore, endOffset: answer.end }
  }

  async join ({ group, member, ttlMs, generation, timeoutMs }: JoinRequest): Promise<JoinResult> {
    const answer = await this._call(timeoutMs, () => this._options.log.join(group, member, ttlMs, generation))
    return typeof answer === 'string' ? { type: 'failed', detail: answer } : { type: 'joined', ...answer }
  }

  async leave (group: string, member: string, timeoutMs: number): Promise<boolean> {
    return typeof await this._call(timeoutMs, () => { this._options.log.leave(group, member) }) !== 'string'
  }

  async close (): Promise<void> {}

  /** The answer; 'refused' when the call was not executed; 'unknown' when it may have been executed, or may still be. */
  private async _call<T> (timeoutMs: number, execute: () => T): Promise<T | 'refused' | 'unknown'> {
    const { node, time, random, faults } = this._options
    const latencyMs = 1 + random.nextInt(MAX_LATENCY_MS)
    await pause(latencyMs)
    if (time.nowMs < (faults.refusedUntilMs.get(node) ?? 0)) return 'refused'
    const isUnresponsive = time.nowMs < (faults.unresponsiveUntilMs.get(node) ?? 0)
    const isLost = time.nowMs < faults.lossyUntilMs && random.next() < faults.lossProbability
    if (!isUnresponsive && !isLost) return execute()
    const outcome = random.nextInt(3)
    if (isLost && outcome === 0) execute()
    if (isLost && outcome === 1) setTimeout(execute, random.nextInt(MAX_LATE_EXECUTION_MS))
    await pause(Math.max(1, timeoutMs - latencyMs))
    return 'unknown'
  }
}

async function pause (ms: number): Promise<void> {
  await new Promise<void>(resolve => { setTimeout(resolve, ms) })
}
