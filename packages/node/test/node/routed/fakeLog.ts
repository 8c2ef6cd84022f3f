/** An `ILogClient` over the stand-in's state machine, with faults on request. */
import { KeyedLog } from '@trefoilshunt/standins'
import type { AppendRequest, AppendResult, ILogClient, JoinRequest, JoinResult, NewestRequest, NewestResult, ReadRequest, ReadResult } from '@trefoilshunt/node'

const PAGE = 50

export class FakeLog implements ILogClient {
  isDown = false
  /** Appends that are carried out without an answer, from now on: their callers wait until their time-out. */
  lostAnswers = 0
  /** Joins and leaves that are lost on their way, from now on. */
  lostJoins = 0
  lostLeaves = 0
  /** Reads of pages that get no answer, from now on. */
  lostPages = 0
  /** Appends asked for so far, without those that failed. */
  appendCount = 0

  constructor (readonly log = new KeyedLog({ partitionCount: 4, nowMs: () => performance.now() })) {}

  async append ({ topic, partition, records, producer, timeoutMs }: AppendRequest): Promise<AppendResult> {
    await pause()
    if (this.isDown) return { type: 'refused', detail: 'down' }
    this.appendCount++
    const answer = this.log.append(topic, partition, records, producer)
    if (this.lostAnswers > 0) {
      this.lostAnswers--
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
    await pause()
    if (this.lostPages > 0) {
      this.lostPages--
      await pause(timeoutMs)
      return { type: 'failed', detail: 'no answer' }
    }
    if (this.isDown) return { type: 'failed', detail: 'down' }
    const { items, hasMore, end } = this.log.newest(topic, partition, afterKey, PAGE)
    return { type: 'page', records: items, hasMore, endOffset: end }
  }

  async join ({ group, member, ttlMs, generation, timeoutMs }: JoinRequest): Promise<JoinResult> {
    await pause()
    if (this.isDown) return { type: 'failed', detail: 'down' }
    if (this.lostJoins > 0) {
      this.lostJoins--
      await pause(timeoutMs)
      return { type: 'failed', detail: 'no answer' }
    }
    return { type: 'joined', ...this.log.join(group, member, ttlMs, generation) }
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
}

async function pause (ms = 1): Promise<void> {
  await new Promise<void>(resolve => { setTimeout(resolve, ms) })
}
