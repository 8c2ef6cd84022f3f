/** A node's way to the log, with the troubles of the search: answers late or lost, calls refused or carried out later. */
import type { SeededRandom } from '@trefoilshunt/core'
import type { KeyedLog } from '@trefoilshunt/standins'
import type { AppendRequest, AppendResult, ILogClient, JoinRequest, JoinResult, NewestRequest, NewestResult, ReadResult } from '@trefoilshunt/node'
import type { VirtualTime } from './virtualTime.js'

const PAGE = 20
const MAX_LATENCY_MS = 6
const MAX_LATE_MS = 1_500

/** What is wrong with the log now; times are virtual. */
export interface LogTrouble {
  /** Nodes that get no answer until then. */
  silentUntilMs: Map<string, number>
  /** Nodes whose calls are refused until then. */
  refusedUntilMs: Map<string, number>
  lossyUntilMs: number
  lossShare: number
}

export interface SearchLogOptions {
  node: string
  log: KeyedLog
  time: VirtualTime
  random: SeededRandom
  trouble: LogTrouble
}

export class SearchLog implements ILogClient {
  constructor (private readonly _options: SearchLogOptions) {}

  async append ({ topic, partition, records, producer, timeoutMs }: AppendRequest): Promise<AppendResult> {
    const answer = await this._call(timeoutMs, () => this._options.log.append(topic, partition, records, producer))
    if (typeof answer === 'string') return { type: answer, detail: answer }
    return answer.type === 'appended' ? { type: 'appended', endOffset: answer.end } : answer
  }

  async read (): Promise<ReadResult> {
    return { type: 'failed', detail: 'not used' }
  }

  async readNewest ({ topic, partition, afterKey, timeoutMs }: NewestRequest): Promise<NewestResult> {
    const answer = await this._call(timeoutMs, () => this._options.log.newest(topic, partition, afterKey, PAGE))
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

  /** The answer, or 'refused' when nothing was done, or 'unknown' when that can't be told. */
  private async _call<T> (timeoutMs: number, carryOut: () => T): Promise<T | 'refused' | 'unknown'> {
    const { node, time, random, trouble } = this._options
    const latencyMs = 1 + random.nextInt(MAX_LATENCY_MS)
    await pause(latencyMs)
    if (time.nowMs < (trouble.refusedUntilMs.get(node) ?? 0)) return 'refused'
    const isSilent = time.nowMs < (trouble.silentUntilMs.get(node) ?? 0)
    const isLossy = time.nowMs < trouble.lossyUntilMs && random.next() < trouble.lossShare
    if (!isSilent && !isLossy) return carryOut()
    const fate = random.nextInt(3)
    if (isLossy && fate === 0) carryOut()
    if (isLossy && fate === 1) setTimeout(carryOut, random.nextInt(MAX_LATE_MS))
    await pause(Math.max(1, timeoutMs - latencyMs))
    return 'unknown'
  }
}

async function pause (ms: number): Promise<void> {
  await new Promise<void>(resolve => { setTimeout(resolve, ms) })
}
