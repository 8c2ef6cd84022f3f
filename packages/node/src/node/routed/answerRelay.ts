/** Passes a worker's answer on to the caller: whole events of streams, whole bodies of anything else. */
import { type EventFrame, EventFrameSplitter } from '../../common/routed/eventFrames.js'
import type { IAnswerSink } from '../../common/routed/routedRequest.js'
import type { WorkerAnswerHead } from '../../common/routed/workerClient.js'
import { steadyNowMs } from '../steadyClock.js'

/** Larger bodies are passed on while they arrive. */
const MAX_BUFFERED_BYTES = 512 * 1024
const FIRST_REDIRECT_STATUS = 300

/**
 * One answer, made by one run of the request or, after a break, by several. While the gate is closed nothing reaches the
 * caller; what arrives waits in order.
 *
 * @example
 * relay.beginRun()
 * relay.takeHead(head)
 * relay.takeData(bytes)
 * relay.endRun(() => sink.end())
 */
export class AnswerRelay {
  private readonly _held: Array<() => void> = []
  private readonly _outputs: string[] = []
  private _isGateOpen = true
  private _isOver = false
  private _hasBegun = false
  private _head: WorkerAnswerHead | undefined
  private _isStream = false
  private _splitter = new EventFrameSplitter()
  private _buffered: Uint8Array[] = []
  private _bufferedBytes = 0
  private _firstByteAtMs: number | undefined
  private _eventCount = 0

  constructor (private readonly _sink: IAnswerSink, private _lastEventId: string | undefined) {}

  /** True once the caller has a part of the answer. */
  get hasBegun (): boolean {
    return this._hasBegun
  }

  /** True once the present run has answered anything. */
  get hasHead (): boolean {
    return this._head !== undefined
  }

  get isStream (): boolean {
    return this._isStream
  }

  get status (): number {
    return this._head?.status ?? 0
  }

  /** Events that the caller was given. */
  get eventCount (): number {
    return this._eventCount
  }

  /** Event after which another run has to go on. */
  get lastEventId (): string | undefined {
    return this._lastEventId
  }

  get firstByteAtMs (): number | undefined {
    return this._firstByteAtMs
  }

  /** The data of each event that was passed on, each with a line feed. */
  get output (): Buffer {
    return Buffer.from(this._outputs.map(data => `${data}\n`).join(''), 'latin1')
  }

  closeGate (): void {
    this._isGateOpen = false
  }

  openGate (): void {
    this._isGateOpen = true
    for (const action of this._held.splice(0)) action()
  }

  /** Runs `action` once everything before it has reached the caller. */
  whenOpen (action: () => void): void {
    if (this._isGateOpen) action()
    else this._held.push(action)
  }

  beginRun (): void {
    this._head = undefined
    this._isStream = false
    this._splitter = new EventFrameSplitter()
    this._buffered = []
    this._bufferedBytes = 0
  }

  takeHead (head: WorkerAnswerHead): void {
    this._firstByteAtMs ??= steadyNowMs()
    this._head = head
    this._isStream = head.isEventStream && head.status < FIRST_REDIRECT_STATUS
    if (this._isStream) this.whenOpen(() => this._begin(head))
  }

  takeData (bytes: Uint8Array): void {
    if (this._isStream) {
      for (const frame of this._splitter.push(bytes)) this.whenOpen(() => this._passEvent(frame))
      return
    }
    this._buffered.push(bytes)
    this._bufferedBytes += bytes.length
    if (this._bufferedBytes > MAX_BUFFERED_BYTES) this._passBuffered()
  }

  /** The run is complete: passes on what is left, then calls back. */
  endRun (onPassed: () => void): void {
    this.whenOpen(() => {
      if (this._isOver) return
      if (!this._isStream) this._passBuffered()
      else if (this._splitter.rest.length > 0) this._sink.write(this._splitter.rest)
      onPassed()
    })
  }

  /** Nothing more is passed on. */
  stop (): void {
    this._isOver = true
    this._held.length = 0
  }

  private _begin (head: WorkerAnswerHead): void {
    if (this._hasBegun || this._isOver) return
    this._hasBegun = true
    this._sink.begin(head)
  }

  private _passEvent (frame: EventFrame): void {
    if (this._isOver) return
    this._sink.write(frame.bytes)
    if (frame.data === undefined) return
    this._eventCount++
    this._outputs.push(frame.data)
    if (frame.id !== undefined) this._lastEventId = frame.id
  }

  private _passBuffered (): void {
    if (this._head === undefined) return
    this._begin(this._head)
    for (const bytes of this._buffered.splice(0)) this._sink.write(bytes)
  }
}
