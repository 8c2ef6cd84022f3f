/** An `ILogClient` on the stand-in of the log, with faults that a test sets. */
import { KeyedLog } from '@trefoilshunt/standins'
import type { AppendRequest, AppendResult, ILogClient, JoinRequest, JoinResult, NewestRequest, NewestResult, ReadRequest, ReadResult } from '@trefoilshunt/node'

const PAGE_RECORDS = 50

/** Several clients may share one `KeyedLog`. Each answers after `answerMs` unless a fault is set. */
export class FakeLog implements ILogClient {
  /** Time to an answer. A call with a shorter time-out is executed without an answer. */
  answerMs = 1
  /** Number of calls whose time-out ended before the answer. */
  unansweredCount = 0
  /** True while all calls fail at once, without an effect. */
  isDown = false
  /** Number of next appends that are executed without an answer, so that their callers wait for the time-out. */
  lostAppendAnswers = 0
  /** Number of next joins and leaves that are lost before they are executed. */
  lostJoins = 0
  lostLeaves = 0
  /** Number of next reads of pages that get no answer. */
  lostPages = 0
  /** Number of joins, lost ones included. */
  joinCount = 0
  /** Number of appends that reached the log, including those whose answer was lost. */
  appendCount = 0
  /** Largest record and largest call; larger ones are rejected. */
  maxRecordBytes = Number.POSITIVE_INFINITY
  maxCallBytes = Number.POSITIVE_INFINITY
  /** Appends with such a record are rejected. */
  isRejected: (record: { key: string, value?: Uint8Array }) => boolean = () => false
  /** Sizes of the calls that were appended or rejected. */
  readonly callBytes: number[] = []
  rejectedCount = 0
  /** True while appends are neither answered nor executed before `executeHeldAppends`, which may be after the end of the process that sent them. */
  holdsAppends = false
  private readonly _heldAppends: AppendRequest[] = []

  constructor (readonly log = new KeyedLog({ partitionCount: 4, nowMs: () => performance.now() })) {}

  get heldAppendCount (): number {
    return this._heldAppends.length
  }

  /** Executes the held appends in the order of their sending, if their conditions still hold. */
  executeHeldAppends (): void {
    for (const { topic, partition, records, producer } of this._heldAppends.splice(0)) this.log.append(topic, partition, records, producer)
  }

  async append (request: AppendRequest): Promise<AppendResult> {
    const { topic, partition, records, producer, timeoutMs } = request
    if (this.holdsAppends) {
      this._heldAppends.push(request)
      await pause(timeoutMs)
      return { type: 'unknown', detail: 'no answer' }
    }
    const isAnswered = await this._waitForAnswer(timeoutMs)
    if (this.isDown) return { type: 'refused', detail: 'down' }
    this.appendCount++
    const sizes = records.map(({ key, value }) => 5 + Buffer.byteLength(key) + (value?.length ?? 0))
    const bytes = sizes.reduce((total, size) => total + size, 0)
    this.callBytes.push(bytes)
    if (bytes > this.maxCallBytes || sizes.some(size => size > this.maxRecordBytes) || records.some(record => this.isRejected(record))) {
      this.rejectedCount++
      return { type: 'rejected', detail: 'too large' }
    }
    const answer = this.log.append(topic, partition, records, producer)
    if (!isAnswered) return { type: 'unknown', detail: 'late' }
    if (this.lostAppendAnswers > 0) {
      this.lostAppendAnswers--
      await pause(timeoutMs)
      return { type: 'unknown', detail: 'lost' }
    }
    return answer.type === 'appended' ? { type: 'appended', endOffset: answer.end } : answer
  }

  async read ({ topic, partition, fromOffset, waitMs }: ReadRequest): Promise<ReadResult> {
    await pause()
    if (this.isDown) return { type: 'failed', detail: 'down' }
    let found = this.log.read(topic, partition, fromOffset)
    if (found !== undefined && found.records.length === 0) {
      await new Promise<void>(resolve => {
        const timer = setTimeout(resolve, waitMs)
        this.log.onNextAppend(topic, partition, () => {
          clearTimeout(timer)
          resolve()
        })
      })
      found = this.log.read(topic, partition, fromOffset)
    }
    if (found === undefined) return { type: 'truncated', firstOffset: this.log.firstOffset(topic, partition) }
    return { type: 'read', records: found.records, nextOffset: fromOffset + found.records.length }
  }

  async readNewest ({ topic, partition, afterKey, timeoutMs }: NewestRequest): Promise<NewestResult> {
    if (!await this._waitForAnswer(timeoutMs)) return { type: 'failed', detail: 'late' }
    if (this.lostPages > 0) {
      this.lostPages--
      await pause(timeoutMs)
      return { type: 'failed', detail: 'no answer' }
    }
    if (this.isDown) return { type: 'failed', detail: 'down' }
    const { items, hasMore, end } = this.log.newest(topic, partition, afterKey, PAGE_RECORDS)
    return { type: 'page', records: items, hasMore, endOffset: end }
  }

  async join ({ group, member, ttlMs, generation, timeoutMs }: JoinRequest): Promise<JoinResult> {
    this.joinCount++
    const isAnswered = await this._waitForAnswer(timeoutMs)
    if (this.isDown) return { type: 'failed', detail: 'down' }
    if (this.lostJoins > 0) {
      this.lostJoins--
      await pause(timeoutMs)
      return { type: 'failed', detail: 'no answer' }
    }
    const joined = this.log.join(group, member, ttlMs, generation)
    return isAnswered ? { type: 'joined', ...joined } : { type: 'failed', detail: 'late' }
  }

  async leave (group: string, member: string, timeoutMs: number): Promise<boolean> {
    await pause()
    if (this.isDown) return false
    if (this.lostLeaves > 0) {
      this.lostLeaves--
      await pause(timeoutMs)
      return false
    }
    this.log.leave(group, member)
    return true
  }

  async close (): Promise<void> {}

  private async _waitForAnswer (timeoutMs: number): Promise<boolean> {
    await pause(Math.min(this.answerMs, timeoutMs))
    const isAnswered = this.answerMs <= timeoutMs
    if (!isAnswered) this.unansweredCount++
    return isAnswered
  }
}

async function pause (ms = 1): Promise<void> {
  await new Promise<void>(resolve => { setTimeout(resolve, ms) })
}
