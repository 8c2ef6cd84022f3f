/** What the callers of a run saw; the checkers read nothing else of them. */
import type { AttemptRecord, ClientError } from '@trefoilshunt/client'
import type { StepResult, Turn } from '@trefoilshunt/core'

/** One step of one program, from the caller's side. */
export interface StepObservation {
  programId: string
  step: number
  /** Unique for the step; services count executions by it. Empty for model calls. */
  checkId: string
  isRepeatable: boolean
  /** The prompt of a model call. */
  prompt: string
  attempts: AttemptRecord[]
  startedAtMs: number
  endedAtMs?: number
  result?: StepResult
  error?: ClientError
  /** Text that was streamed, when the step was. */
  streamedText?: string
  isDurable?: boolean
}

export interface ProgramObservation {
  index: number
  kind: string
  rank: string
  customer: string
  programId?: string
  root?: string
  arrivedAtMs: number
  openedAtMs?: number
  endedAtMs?: number
  isFinished: boolean
  /** Refused at opening, with the reason. */
  refusal?: ClientError
  steps: StepObservation[]
  /** The caller's copy of the history at the end. */
  turns: Turn[]
  historyDigest?: string
  wasClosed: boolean
  /** The caller left without closing the program. */
  hasVanished: boolean
  /** The program was meant to fail. */
  isHopeless: boolean
  /** Tokens that the plan asked for. */
  plannedTokens: number
  targetMs: number
}

export class RunRecord {
  readonly programs: ProgramObservation[] = []

  get steps (): StepObservation[] {
    return this.programs.flatMap(program => program.steps)
  }
}
