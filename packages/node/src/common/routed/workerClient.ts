/** The client for calls to workers, which a platform adapter implements. */
import type { AnswerNotice, ProbeResult } from '@trefoilshunt/core'
import type { HeaderList } from './routedRequest.js'

export interface WorkerCall {
  workerId: string
  /** `host:port`. */
  address: string
  requestId: string
  method: string
  path: string
  headers: HeaderList
  body: ReadonlyArray<Uint8Array>
  /** Time after which the worker stops the call. */
  deadlineMs: number
  /** 0 is served first, 9 last; absent for plain services. */
  urgency?: number
  /** Id of the event after which the worker resumes the stream. */
  lastEventId?: string
  /** Client account of the request, which the worker is told. */
  account?: string
  /** Connections to this worker that this node may open. */
  maxConnections: number
  /** True if the caller may repeat the request after a failure, so that an early one is better than an answer that hangs. */
  isRepeatable: boolean
}

export interface WorkerAnswerHead {
  status: number
  /** End-to-end headers of the answer. */
  headers: HeaderList
  isEventStream: boolean
  /** True if its framing tells where the answer ends. Otherwise the end of the connection ends it, which may also be the end of the worker. Absent from relays of earlier builds. */
  isSelfDelimiting?: boolean
  /** What the worker says of itself. */
  notice: AnswerNotice
}

/** Why nodes end or don't begin a call by themselves; these are no failures of the worker. */
export const CallEndCause = {
  /** This node is cut off from the workers, and no peer could make the call. */
  CutOff: 'cutOff',
  /** The worker takes no new requests, or is gone. */
  WorkerLost: 'workerLost'
} as const
export type CallEndCause = typeof CallEndCause[keyof typeof CallEndCause]

/** Why an answer that arrived doesn't count as the answer to the call. */
export const AnswerRejection = {
  /** It doesn't say which request it answers. */
  NoRequestId: 'noRequestId',
  OtherRequestId: 'otherRequestId',
  NoSignature: 'noSignature'
} as const
export type AnswerRejection = typeof AnswerRejection[keyof typeof AnswerRejection]

/** Why a call brought no complete answer. `cause` is absent if the worker or the connection to it failed. */
export type CallFailure =
  /** No byte of the request was sent. */
  | { type: 'notSent', detail: string, cause?: CallEndCause }
  /** The worker reported that it did not run the request; `isMisdirected` if it isn't the worker that the call names. */
  | { type: 'refused', isMisdirected: boolean, detail: string, notice: AnswerNotice }
  /** The call ended early after the request was sent; it may have run. `rejection` is present if an answer arrived that doesn't count. */
  | { type: 'broken', detail: string, cause?: CallEndCause, rejection?: AnswerRejection }

/** Receives the answer or the failure of one call. */
export interface IWorkerCallListener {
  /** Called once, before any data. */
  onHead (head: WorkerAnswerHead): void
  onData (bytes: Uint8Array): void
  /** The answer is complete. */
  onEnd (): void
  /** The call failed, possibly after `onHead` and a part of the data. */
  onFailed (failure: CallFailure): void
}

export interface IOpenWorkerCall {
  /** True once a byte of the request may have been sent. */
  readonly isSent: boolean
  /** Aborts the call; no method of the listener is called afterwards. */
  abort (): void
  /** Stops reading the answer, apart from a limited amount that is already on its way, until `resume`. */
  pause (): void
  resume (): void
}

export interface IWorkerClient {
  /** Called when a worker sends too many bytes that no call waits for, and the connection is closed. */
  onMisbehaved: (workerId: string, detail: string) => void
  /** Starts a call. The listener gets either `onEnd` or `onFailed`, once, unless the call is aborted. */
  call (call: WorkerCall, listener: IWorkerCallListener): IOpenWorkerCall
  /** True when a call to the address needs no new connection. */
  hasIdleConnection (address: string): boolean
  /** Closes the connections to an address that no worker uses any more, or to all addresses; calls in flight may finish. */
  closeConnections (address?: string): void
  /** Opens a connection to an address and closes it again. */
  probe (address: string, timeoutMs: number): Promise<ProbeResult>
  /** Closes all connections at once; calls in flight fail. */
  close (): Promise<void>
}
