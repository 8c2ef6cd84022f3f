/** What the callers of a run observed. The history checkers use nothing else from the callers' side. */
import type { AttemptRecord, ClientError } from '@trefoilshunt/client'
import type { StepResult, Turn } from '@trefoilshunt/core'

/** One step of one program, as its caller observed it. */
export interface StepObservation {
  programId: string
  step: number
  /** Unique id of the step, by which stand-in services count executions; empty for model calls. */
  checkId: string
  isRepeatable: boolean
  /** The prompt of a model call; empty for service calls. */
  prompt: string
  attempts: AttemptRecord[]
  startedAtMs: number
  /** Undefined while the step is in progress. */
  endedAtMs?: number
  /** Set when the step ended with a result, which may be of type `unknown`. */
  result?: StepResult
  /** Set when the step failed. */
  error?: ClientError
  /** Text that the last attempt received in chunks; undefined if the step was not streamed or no chunk arrived. */
  streamedText?: string
  /** The fleet reported the completed step as durable. */
  isDurable?: boolean
}

/** One program, as its caller observed it. */
export interface ProgramObservation {
  /** Number of the program within the run, from 1. */
  index: number
  kind: string
  rank: string
  customer: string
  /** Undefined until the program is opened. */
  programId?: string
  /** Id of the top-level program: its own, or that of the ancestor of a sub-agent. Undefined until that is opened. */
  root?: string
  arrivedAtMs: number
  openedAtMs?: number
  endedAtMs?: number
  /** All steps of the plan completed. */
  isFinished: boolean
  /** Why the opening failed; undefined for an opened program. */
  refusal?: ClientError
  steps: StepObservation[]
  /** The caller's copy of the history at the end. */
  turns: Turn[]
  historyDigest?: string
  /** The fleet confirmed that the program is closed. */
  wasClosed: boolean
  /** The caller left without closing the program. */
  hasVanished: boolean
  /** The program was expected to fail, so checks of finished programs leave it out. */
  isFailureExpected: boolean
  /** Answer tokens of all model steps of the plan. */
  plannedTokens: number
  targetMs: number
}

/** Observations of all programs of a run, in the order in which they began. */
export class RunRecord {
  readonly programs: ProgramObservation[] = []

  /** The steps of all programs. */
  get steps (): StepObservation[] {
    return this.programs.flatMap(program => program.steps)
  }
}
