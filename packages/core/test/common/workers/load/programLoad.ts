/** Callers that run programs of two classes, with tools and sub-agents between the turns, in virtual time. */
import type { IRandom, PromptPart } from '@trefoilshunt/core'
import type { EventQueue } from '@trefoilshunt/testing'

export interface ProgramClass {
  name: string
  priority: number
  programsPerS: number
  turns: number
  inputTokens: number
  thinkMs: number
  /** Share of the turns after which two sub-agents of two turns each run. */
  fanShare: number
  objectiveMs: number
  /** The aim is this multiple of the time on idle workers plus the objective. */
  aimRatio: number
  worth: number
  lateWorth: number
  /** Account of a new program; absent without accounts. */
  accountOf?: (random: IRandom) => string
  /** Zone of the callers of a program that starts now. */
  zoneOf?: (nowMs: number) => string
}

/** Figures of the users' sheet for harrow-lisle when grown, on a day of high load. */
export const CONSULT: ProgramClass = { name: 'consult', priority: 0, programsPerS: 73.2, turns: 3, inputTokens: 1_680, thinkMs: 60, fanShare: 0.05, objectiveMs: 209, aimRatio: 1.3, worth: 4.9, lateWorth: 0.19 }
export const REMEASURE: ProgramClass = { name: 'remeasure', priority: 2, programsPerS: 23.6, turns: 9, inputTokens: 840, thinkMs: 20, fanShare: 0.15, objectiveMs: 409, aimRatio: 1.2, worth: 4.3, lateWorth: 0.64 }

const SHARED_PROMPTS = 8
const SHARED_TOKENS = 12_600
const SHARED_SKEW = 0.7
export const TOKENS_PER_EVENT = 36
const MEAN_EVENTS = 7.13
const MAX_EVENTS = 16
/** Time on the way that the aim allows for each turn. */
const WAY_MS = 24
const IDLE_STEP_MS = 1.2
const IDLE_SETUP_MS = 12
const PREFILL_TOKENS_PER_MS = 471
const DEADLINE_MS = 3_000
const FIRST_EVENT_PATIENCE_MS = 2_000
const SENDS_PER_TURN = 3
const ATTEMPTS_PER_SEND = 2

/** One attempt of a turn, as the callers hand it to the system. */
export interface TurnAttempt {
  programId: string
  className: string
  account?: string
  zone: string
  priority: number
  objectiveMs: number
  isFirstTurn: boolean
  prompt: PromptPart[]
  outputTokens: number
  /** Time until the program should be finished. */
  finishMs: number
  onFirstToken: () => void
  onEnd: () => void
  /** Refused as not run. */
  onRefused: (retryAfterMs: number) => void
}

/** The system under test: starts an attempt and returns a function that cancels it. */
export type StartAttempt = (attempt: TurnAttempt) => () => void

export interface ClassResult {
  programs: number
  inAim: number
  late: number
  failed: number
  /** Credit earned relative to the credit of all programs in aim. */
  earnedShare: number
}

interface Program {
  id: string
  class: ProgramClass
  account?: string
  zone: string
  shared: PromptPart
  startedAtMs: number
  idleMs: number
  aimMs: number
  isDone: boolean
  completedTurns: number
}

interface PlannedTurn {
  eventCount: number
  toolsMs: number
  thinkMs: number
  subAgents: number
}

export class ProgramLoad {
  private readonly _results = new Map<string, ClassResult>()
  /** Programs by account, and how many of them ended in aim. */
  readonly byAccount = new Map<string, { programs: number, inAim: number }>()
  private _lastId = 0

  constructor (
    private readonly _events: EventQueue,
    private readonly _random: IRandom,
    private readonly _startAttempt: StartAttempt
  ) {}

  /** Starts programs of the class at its rate, multiplied by `burst.factor` from `burst.fromMs` to `burst.toMs`. */
  run (programClass: ProgramClass, untilMs: number, burst?: { factor: number, fromMs: number, toMs: number }): void {
    const factor = burst !== undefined && this._events.nowMs() >= burst.fromMs && this._events.nowMs() < burst.toMs ? burst.factor : 1
    this._events.after(this._random.nextExponential(1_000 / (programClass.programsPerS * factor)), () => {
      if (this._events.nowMs() >= untilMs) return
      this._startProgram(programClass)
      this.run(programClass, untilMs, burst)
    })
  }

  resultOf ({ name }: ProgramClass): ClassResult {
    return this._results.get(name) ?? { programs: 0, inAim: 0, late: 0, failed: 0, earnedShare: 0 }
  }

  private _startProgram (programClass: ProgramClass): void {
    const turns = Array.from({ length: Math.max(1, Math.round(programClass.turns * (0.6 + 0.8 * this._random.next()))) }, () => this._planTurn(programClass))
    const idleMs = turns.reduce((total, turn) => total + this._idleMsOf(programClass, turn), 0)
    const program: Program = {
      id: `p${++this._lastId}`,
      class: programClass,
      account: programClass.accountOf?.(this._random),
      zone: programClass.zoneOf?.(this._events.nowMs()) ?? 'a',
      shared: this._drawSharedPrompt(programClass),
      startedAtMs: this._events.nowMs(),
      idleMs,
      aimMs: programClass.aimRatio * idleMs + programClass.objectiveMs,
      isDone: false,
      completedTurns: 0
    }
    const result = this.resultOf(programClass)
    result.programs++
    this._results.set(programClass.name, result)
    this._runLine(program, `${program.id}/0`, turns, 0, () => this._finish(program, true))
  }

  private _planTurn ({ thinkMs, fanShare }: ProgramClass): PlannedTurn {
    const toolsMs = Math.max(
      this._random.next() < 0.7 ? 25 * (0.5 + this._random.next()) : 0,
      this._random.next() < 0.4 ? 102 * (0.5 + this._random.next()) : 0,
      this._random.next() < 0.2 ? 68 * (0.5 + this._random.next()) : 0
    )
    return {
      eventCount: Math.max(1, Math.min(MAX_EVENTS, Math.round(this._random.nextExponential(MEAN_EVENTS)))),
      toolsMs,
      thinkMs: thinkMs * (0.5 + this._random.next()),
      subAgents: this._random.next() < fanShare ? 2 : 0
    }
  }

  private _idleMsOf ({ inputTokens }: ProgramClass, { eventCount, toolsMs, thinkMs, subAgents }: PlannedTurn): number {
    const turnMs = WAY_MS + IDLE_SETUP_MS + inputTokens / PREFILL_TOKENS_PER_MS + eventCount * TOKENS_PER_EVENT * IDLE_STEP_MS
    const subAgentMs = subAgents === 0 ? 0 : 2 * (WAY_MS + IDLE_SETUP_MS + MEAN_EVENTS * TOKENS_PER_EVENT * IDLE_STEP_MS)
    return turnMs + toolsMs + thinkMs + subAgentMs
  }

  private _drawSharedPrompt ({ name }: ProgramClass): PromptPart {
    const weights = Array.from({ length: SHARED_PROMPTS }, (_, index) => (index + 1) ** -SHARED_SKEW)
    let rest = this._random.next() * weights.reduce((total, weight) => total + weight, 0)
    const index = weights.findIndex(weight => (rest -= weight) < 0)
    return { id: `${name}-shared-${index}`, tokens: SHARED_TOKENS }
  }

  /** Runs the turns of one line, each with the tokens of the line so far. */
  private _runLine (program: Program, sessionId: string, turns: readonly PlannedTurn[], historyTokens: number, onDone: () => void): void {
    const [turn, ...rest] = turns
    if (turn === undefined) {
      onDone()
      return
    }
    const ownTokens = historyTokens + program.class.inputTokens
    this._sendTurn(program, [program.shared, { id: sessionId, tokens: ownTokens }], turn.eventCount, SENDS_PER_TURN, () => {
      const tokens = ownTokens + turn.eventCount * TOKENS_PER_EVENT
      this._events.after(turn.toolsMs + turn.thinkMs, () => {
        this._runSubAgents(program, turn.subAgents, tokens, () => this._runLine(program, sessionId, rest, tokens, onDone))
      })
    })
  }

  private _runSubAgents (program: Program, count: number, historyTokens: number, onDone: () => void): void {
    if (count === 0) {
      onDone()
      return
    }
    let open = count
    for (let index = 0; index < count; index++) {
      const turns = [this._planTurn(program.class), this._planTurn(program.class)].map(turn => ({ ...turn, subAgents: 0, toolsMs: 0, thinkMs: 0 }))
      this._runLine(program, `${program.id}/${++this._lastId}`, turns, historyTokens, () => {
        if (--open === 0) onDone()
      })
    }
  }

  private _sendTurn (program: Program, prompt: PromptPart[], eventCount: number, sendsLeft: number, onDone: () => void): void {
    if (program.isDone) return
    this._sendAttempt(program, prompt, eventCount, ATTEMPTS_PER_SEND, this._events.nowMs() + DEADLINE_MS, onDone, () => {
      if (sendsLeft <= 1) this._finish(program, false)
      else this._events.after(100 + 300 * this._random.next(), () => this._sendTurn(program, prompt, eventCount, sendsLeft - 1, onDone))
    })
  }

  private _sendAttempt (program: Program, prompt: PromptPart[], eventCount: number, attemptsLeft: number, deadlineAtMs: number, onDone: () => void, onFailed: () => void): void {
    let isOver = false
    let hasBegun = false
    const end = (next: () => void): void => {
      if (isOver) return
      isOver = true
      next()
    }
    const cancel = this._startAttempt({
      programId: program.id,
      className: program.class.name,
      account: program.account,
      zone: program.zone,
      priority: program.class.priority,
      objectiveMs: program.class.objectiveMs,
      isFirstTurn: program.completedTurns === 0,
      prompt,
      outputTokens: eventCount * TOKENS_PER_EVENT,
      finishMs: program.startedAtMs + program.aimMs - this._events.nowMs(),
      onFirstToken: () => { hasBegun = true },
      onEnd: () => end(() => {
        program.completedTurns++
        onDone()
      }),
      onRefused: retryAfterMs => end(() => {
        const timeLeftMs = deadlineAtMs - this._events.nowMs()
        if (attemptsLeft <= 1 || retryAfterMs > timeLeftMs / 3) onFailed()
        else this._events.after(retryAfterMs, () => this._sendAttempt(program, prompt, eventCount, attemptsLeft - 1, deadlineAtMs, onDone, onFailed))
      })
    })
    const giveUp = (): void => end(() => {
      cancel()
      onFailed()
    })
    this._events.after(FIRST_EVENT_PATIENCE_MS, () => { if (!hasBegun) giveUp() })
    this._events.after(Math.max(0, deadlineAtMs - this._events.nowMs()), giveUp)
  }

  private _finish (program: Program, isComplete: boolean): void {
    if (program.isDone) return
    program.isDone = true
    const result = this.resultOf(program.class)
    const tookMs = this._events.nowMs() - program.startedAtMs
    if (!isComplete || tookMs > 2 * program.aimMs) result.failed++
    else if (tookMs <= program.aimMs) result.inAim++
    else result.late++
    if (program.account !== undefined) {
      const counts = this.byAccount.get(program.account) ?? { programs: 0, inAim: 0 }
      const isInAim = isComplete && tookMs <= program.aimMs
      this.byAccount.set(program.account, { programs: counts.programs + 1, inAim: counts.inAim + Number(isInAim) })
    }
    const { worth, lateWorth } = program.class
    result.earnedShare = (result.inAim * worth + result.late * lateWorth) / (result.programs * worth)
  }
}
