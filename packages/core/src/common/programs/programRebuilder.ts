/** Rebuilds programs of which the log holds no record from the caller's copy of their history. */
import { inject, injectable } from 'tsyringe'
import type { StepCall, Turn } from '../kernel/callerMessages.js'
import { IClock } from '../kernel/clock.js'
import { ILogger } from '../kernel/effectQueue.js'
import { IConfiguration } from '../configuration/configuration.js'
import { IJournal } from '../journal/journal.js'
import { cloneProgram } from '../journal/journalFold.js'
import { promptTokensOf } from './budget.js'
import { createLiveProgram, type LiveProgram } from './liveProgram.js'
import { historyDigestOf, type ProgramState, type RecordedTurn } from './programState.js'
import { IProgramTable } from './programTable.js'
import { verifyHistory } from './stepDecision.js'

/** A caller's copy of its program. */
export interface CallerCopy {
  programId: string
  customer: string
  /** Name of the work kind; without a known one the program cannot be rebuilt. */
  kind: string | undefined
  history: Turn[]
  /** Completed steps that the caller counts; the history must have as many. */
  steps: number
  historyDigest: string
  /** Tokens that a step in flight at the unavailable owner may have used; counted as spent. */
  possiblyUsedTokens: number
}

@injectable()
export class ProgramRebuilder {
  constructor (
    @inject(IClock) private readonly _clock: IClock,
    @inject(IConfiguration) private readonly _configuration: IConfiguration,
    @inject(IJournal) private readonly _journal: IJournal,
    @inject(IProgramTable) private readonly _programs: IProgramTable,
    @inject(ILogger) private readonly _logger: ILogger
  ) {}

  /**
   * Makes this node the program's owner and records a snapshot.
   *
   * @returns undefined when the copy is incomplete, its digests do not match, or its work kind is not configured.
   */
  rebuild (copy: CallerCopy): LiveProgram | undefined {
    const state = this._createState(copy)
    if (state === undefined || copy.history.length !== copy.steps) return undefined
    const isFirstStep = copy.history.length === 0
    if (isFirstStep && copy.historyDigest !== historyDigestOf(state)) return undefined
    const turns = verifyHistory(state, copy.history, copy.historyDigest)
    if (turns === undefined) return undefined
    state.turns = turns
    state.spent = spendingOf(turns)
    state.spent.tokens += copy.possiblyUsedTokens
    const program = { ...createLiveProgram(state, this._journal.current, this._clock.nowMs()), hasFormerOwner: true }
    this._logger.warn('programRebuilt', { program: copy.programId, turns: turns.length })
    this._programs.add(program)
    program.journal.append({ type: 'programSnapshot', program: cloneProgram(state) }, () => {})
    return program
  }

  private _createState ({ programId, customer, kind: kindName }: CallerCopy): ProgramState | undefined {
    const kind = this._configuration.findKind(kindName ?? '')
    if (kind === undefined) return undefined
    const nowMs = this._clock.nowMs()
    return {
      programId,
      customer,
      kind: kind.name,
      rank: kind.rank,
      openKey: '',
      root: programId,
      depth: 0,
      budget: kind.budget,
      openedAtMs: nowMs,
      dueAtMs: nowMs + kind.targetMs,
      turns: [],
      spent: { tokens: 0, steps: 0, toolCalls: 0 },
      reservedTokens: 0,
      workers: []
    }
  }
}

/** The most tokens that one attempt of a call can use. */
export function reservedTokensOf (call: StepCall): number {
  return call.type === 'model' ? promptTokensOf(call) + call.maxTokens : 0
}

function spendingOf (turns: RecordedTurn[]): ProgramState['spent'] {
  const spent = { tokens: 0, steps: turns.length, toolCalls: 0 }
  for (const { call, result } of turns) {
    if (call.type === 'service') spent.toolCalls++
    else spent.tokens += promptTokensOf(call) + (result.type === 'model' ? result.completionTokens : 0)
  }
  return spent
}
