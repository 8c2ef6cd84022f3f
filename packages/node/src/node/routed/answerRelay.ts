/** Forwards a worker's answer to the caller: streams event by event, other answers as whole bodies up to a size. */
import { EventSequence, type EventTimes } from '@trefoilshunt/core'
import { type EventBatch, EventFrameSplitter, type StreamEvent } from '../../common/routed/eventFrames.js'
import type { IAnswerSink } from '../../common/routed/routedRequest.js'
import type { WorkerAnswerHead } from '../../common/routed/workerClient.js'
import { ByteCollector } from '../byteCollector.js'
import { steadyNowMs } from '../steadyClock.js'
import { HeldBytes } from './heldBytes.js'

/** Bodies up to this size are forwarded when they are complete, larger ones while they arrive. */
const MAX_BUFFERED_BYTES = 512 * 1024
/** While more than this is held back, no more is read from the worker. */
const MAX_HELD_BYTES = 256 * 1024
/** A stream whose next event is not complete after this many bytes has failed. */
const MAX_EVENT_BYTES = 1024 * 1024
/** A stream that sends more comments and blank lines than this without an event has failed. */
const MAX_BYTES_WITHOUT_EVENT = 64 * 1024
/** Largest output of a turn that can be retained. */
const MAX_OUTPUT_BYTES = 8 * 1024 * 1024
const FIRST_SUCCESS_STATUS = 200
const FIRST_REDIRECT_STATUS = 300
const LINE_FEED = 10
const CARRIAGE_RETURN = 13

export interface AnswerRelayOptions {
  /** Id of the event after which the caller resumes a stream. */
  lastEventId?: string
  /** True if `output` is needed. */
  retainsOutput?: boolean
  /** What the requests of the node hold together. */
  heldBytes?: HeldBytes
  /** Called with events, and frames without data between them, before they go to the caller. */
  onWillForwardEvents?: (bytes: Uint8Array) => void
  /** Called with true when no more should be read from the worker, because what was read can't be forwarded yet, and with false when reading may continue. */
  onBackpressure?: (isPaused: boolean) => void
}

/** What is needed of events until they are forwarded. */
interface EventSummary {
  eventCount: number
  /** Id of the last event; absent if it has none. */
  lastEventId?: string
  /** Their data, each followed by a line feed; absent if it isn't retained. */
  output?: Buffer
}

/**
 * The answer to one request, which may come from several attempts: after a failed one, the next resumes the stream. While
 * forwarding is paused, streams and bodies are held back in order.
 *
 * @example
 * relay.beginAttempt()
 * relay.handleHead(head)
 * relay.handleData(bytes)
 * relay.endAttempt(() => sink.end())
 */
export class AnswerRelay {
  private readonly _deferredActions: Array<() => void> = []
  private readonly _forwardedOutput = new ByteCollector()
  private readonly _nodeHeldBytes: HeldBytes
  /** Bytes that the node's total counts for this answer. */
  private _countedBytes = 0
  private _maxEvents = Number.POSITIVE_INFINITY
  private _receivedEvents = 0
  private _outputBytes = 0
  private _heldBytes = 0
  private _isSinkFull = false
  private _isBackpressured = false
  private _lastEventId: string | undefined
  private _isForwarding = true
  private _isStopped = false
  private _hasBegun = false
  private _head: WorkerAnswerHead | undefined
  private _isStream = false
  private _splitter = new EventFrameSplitter()
  private readonly _buffered = new ByteCollector()
  private _bytesWithoutEvent = 0
  private _firstByteAtMs: number | undefined
  private _eventCount = 0
  private readonly _sequence: EventSequence
  /** Times at which the first and the last event of the current attempt arrived, and their number; undefined after reading was paused, which changes the times. */
  private _arrivals: { firstAtMs: number, lastAtMs: number, count: number } | undefined
  /** True if the forwarded head is that of a stream. */
  private _isBegunStream = false
  private _isLastEventIdentified = true

  constructor (private readonly _sink: IAnswerSink, private readonly _options: AnswerRelayOptions = {}) {
    this._lastEventId = _options.lastEventId
    this._sequence = new EventSequence(_options.lastEventId)
    this._nodeHeldBytes = _options.heldBytes ?? new HeldBytes()
    _sink.onDrained = () => {
      this._isSinkFull = false
      this._updateBackpressure()
    }
  }

  /** True once the head of the answer was forwarded to the caller. */
  get hasBegun (): boolean {
    return this._hasBegun
  }

  /** True once the worker of the current attempt has sent the head of its answer. */
  get hasHead (): boolean {
    return this._head !== undefined
  }

  /** True if the current attempt's answer is an event stream with a status below 300. */
  get isStream (): boolean {
    return this._isStream
  }

  /** HTTP status of the current attempt's answer; 0 before its head. */
  get status (): number {
    return this._head?.status ?? 0
  }

  /** True if a complete answer with the current attempt's head shows that the worker ran the request and did not end under it. */
  get provesService (): boolean {
    return this.status >= FIRST_SUCCESS_STATUS && this.status < FIRST_REDIRECT_STATUS && this.isSelfDelimiting
  }

  /** False if the current attempt's answer ends with its connection, which may also be the end of the worker. */
  get isSelfDelimiting (): boolean {
    return this._head?.isSelfDelimiting === true
  }

  /** True if another attempt can go on where the forwarded part of the answer ends. */
  get isContinuable (): boolean {
    return this._isBegunStream && this._isLastEventIdentified
  }

  /** Events with data that were forwarded to the caller. */
  get eventCount (): number {
    return this._eventCount
  }

  /** Id of the event after which the next attempt has to resume: the last one that was forwarded or, before it, the one that the caller named. */
  get lastEventId (): string | undefined {
    return this._lastEventId
  }

  /** Times of the current attempt's events, if it was sent at `sentAtMs` and brought the whole stream; undefined if reading it was paused. */
  eventTimesSince (sentAtMs: number): EventTimes | undefined {
    if (this._arrivals === undefined || this._arrivals.count === 0 || this._receivedEvents !== this._arrivals.count || this._options.lastEventId !== undefined) return undefined
    const { firstAtMs, lastAtMs, count } = this._arrivals
    return [Math.round(firstAtMs - sentAtMs), Math.round(lastAtMs - firstAtMs), count]
  }

  /** Steady time at which the first head of an answer arrived; undefined before. */
  get firstByteAtMs (): number | undefined {
    return this._firstByteAtMs
  }

  /** True while the worker's answer is not read because it can't be forwarded yet. */
  get isBackpressured (): boolean {
    return this._isBackpressured
  }

  /** The caller holds output from an earlier attempt, which the output of this one follows. To be called before the first attempt at a worker. */
  continueOutput (output: Uint8Array): void {
    this._outputBytes += output.length
    this._forwardedOutput.add(output)
  }

  /** Returns the data of each event that the caller holds, each followed by a line feed; empty without `retainsOutput`. To be called once. */
  takeOutput (): Buffer {
    return this._forwardedOutput.concat()
  }

  /** Holds back streams and buffered bodies until `resumeForwarding`. */
  pauseForwarding (): void {
    this._isForwarding = false
  }

  /** Forwards what was held back, in order, and from now on what arrives. */
  resumeForwarding (): void {
    this._isForwarding = true
    for (const action of this._deferredActions.splice(0)) action()
    this._heldBytes = 0
    this._updateBackpressure()
  }

  /** Runs `action` at once, or while forwarding is paused, after everything that was held back before it; never after `stop`. */
  whenForwarding (action: () => void): void {
    if (this._isForwarding) action()
    else this._deferredActions.push(action)
  }

  /** Prepares for the answer of another attempt; what was buffered of an earlier one is discarded. All attempts together may bring `maxEvents`. */
  beginAttempt (maxEvents = Number.POSITIVE_INFINITY): void {
    this._maxEvents = maxEvents
    this._sequence.beginAttempt(this._hasBegun)
    this._arrivals = this._isBackpressured ? undefined : { firstAtMs: 0, lastAtMs: 0, count: 0 }
    this._head = undefined
    this._isStream = false
    this._splitter = new EventFrameSplitter()
    this._bytesWithoutEvent = 0
    this._buffered.drain()
    this._countHeldBytes()
  }

  handleHead (head: WorkerAnswerHead): void {
    this._firstByteAtMs ??= steadyNowMs()
    this._head = head
    this._isStream = head.isEventStream && head.status < FIRST_REDIRECT_STATUS
    if (this._isStream) this.whenForwarding(() => this._begin(head))
  }

  /** Returns why the answer can't be accepted any further, and undefined while it can. */
  handleData (bytes: Uint8Array): string | undefined {
    if (!this._isForwarding) this._heldBytes += bytes.length
    const problem = this._isStream ? this._handleStreamData(bytes) : this._handleBodyData(bytes)
    this._updateBackpressure()
    return problem
  }

  /** Returns why the attempt's answer, which has ended, isn't complete; undefined if it is. */
  findEndProblem (): string | undefined {
    if (!this._isStream) return undefined
    return isBlank(this._splitter.rest) ? this._sequence.endAttempt() : 'the stream ended inside an event'
  }

  /** The attempt's answer is complete: forwards the rest of it, then calls `onForwarded`, unless the relay was stopped. */
  endAttempt (onForwarded: () => void): void {
    this.whenForwarding(() => {
      if (this._isStopped) return
      if (!this._isStream) this._forwardBuffered()
      else if (this._splitter.rest.length > 0) this._write(this._splitter.rest)
      onForwarded()
    })
  }

  /** From now on nothing is forwarded. */
  stop (): void {
    this._isStopped = true
    this._deferredActions.length = 0
    this._heldBytes = 0
    this._buffered.drain()
    this._countHeldBytes()
  }

  private _begin (head: WorkerAnswerHead): void {
    if (this._hasBegun || this._isStopped) return
    this._hasBegun = true
    this._isBegunStream = this._isStream
    this._sink.begin(head)
  }

  private _handleStreamData (bytes: Uint8Array): string | undefined {
    const batch = this._splitter.push(bytes)
    for (const [index, event] of batch.events.entries()) {
      const problem = this._checkEvent(event)
      if (problem === undefined) continue
      const events = batch.events.slice(0, index)
      this._acceptEvents({ bytes: batch.bytes.subarray(0, events.at(-1)?.endOffset ?? 0), events })
      return problem
    }
    this._recordArrival(batch.events.length)
    this._acceptEvents(batch)
    const lastEnd = batch.events.at(-1)?.endOffset
    this._bytesWithoutEvent = batch.bytes.length - (lastEnd ?? 0) + (lastEnd === undefined ? this._bytesWithoutEvent : 0)
    if (this._bytesWithoutEvent > MAX_BYTES_WITHOUT_EVENT) return 'comments and blank lines without an event'
    if (this._outputBytes > MAX_OUTPUT_BYTES) return 'the output is too large to be retained'
    return this._splitter.rest.length > MAX_EVENT_BYTES ? 'an event without end' : undefined
  }

  private _recordArrival (count: number): void {
    if (this._arrivals === undefined || count === 0) return
    const nowMs = steadyNowMs()
    if (this._arrivals.count === 0) this._arrivals.firstAtMs = nowMs
    this._arrivals.lastAtMs = nowMs
    this._arrivals.count += count
  }

  private _checkEvent ({ id }: StreamEvent): string | undefined {
    return ++this._receivedEvents > this._maxEvents ? 'more events than the request may generate' : this._sequence.accept(id)
  }

  private _acceptEvents ({ bytes, events }: EventBatch): void {
    if (bytes.length === 0) return
    // Many events may be held back: their objects must not be.
    const summary = this._summarize(events)
    this.whenForwarding(() => this._forwardEvents(bytes, summary))
  }

  private _summarize (events: readonly StreamEvent[]): EventSummary {
    const last = events.at(-1)
    if (last === undefined) return { eventCount: 0 }
    const summary = { eventCount: events.length, lastEventId: last.id }
    if (this._options.retainsOutput !== true) return summary
    const output = Buffer.from(events.map(({ data }) => `${data}\n`).join(''), 'latin1')
    this._outputBytes += output.length
    return { ...summary, output }
  }

  private _handleBodyData (bytes: Uint8Array): undefined {
    this._buffered.add(bytes)
    this._countHeldBytes()
    if ((this._buffered.byteCount > MAX_BUFFERED_BYTES || this._nodeHeldBytes.isExceeded) && this._isForwarding) this._forwardBuffered()
  }

  private _forwardEvents (bytes: Buffer, { eventCount, lastEventId, output }: EventSummary): void {
    if (this._isStopped) return
    this._options.onWillForwardEvents?.(bytes)
    this._write(bytes)
    if (eventCount === 0) return
    this._eventCount += eventCount
    if (output !== undefined) this._forwardedOutput.add(output)
    this._isLastEventIdentified = lastEventId !== undefined
    if (lastEventId !== undefined) this._lastEventId = lastEventId
  }

  private _forwardBuffered (): void {
    if (this._head === undefined) return
    this._begin(this._head)
    for (const bytes of this._buffered.drain()) this._write(bytes)
    this._countHeldBytes()
  }

  private _write (bytes: Uint8Array): void {
    if (!this._sink.write(bytes)) this._isSinkFull = true
  }

  /** Updates what the node's total counts for this answer. */
  private _countHeldBytes (): void {
    const heldBytes = Math.max(this._heldBytes, this._buffered.byteCount)
    this._nodeHeldBytes.change(heldBytes - this._countedBytes)
    this._countedBytes = heldBytes
  }

  private _updateBackpressure (): void {
    this._countHeldBytes()
    const isHoldingEnough = this._heldBytes > (this._nodeHeldBytes.isExceeded ? 0 : MAX_HELD_BYTES)
    const isBackpressured = this._isSinkFull || (!this._isForwarding && isHoldingEnough)
    if (isBackpressured === this._isBackpressured) return
    this._isBackpressured = isBackpressured
    this._arrivals = undefined
    this._options.onBackpressure?.(isBackpressured)
  }
}

function isBlank (bytes: Uint8Array): boolean {
  return bytes.every(byte => byte === LINE_FEED || byte === CARRIAGE_RETURN)
}
