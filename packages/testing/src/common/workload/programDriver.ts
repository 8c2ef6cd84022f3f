/** Runs program plans through the client library and records what the callers observe. */
import { Client, type AttemptRecord, type ICallerTransport, type IClientHost, type ProgramSession } from '@trefoilshunt/client'
import type { StepCall } from '@trefoilshunt/core'
import { toPoisonPrompt, toPrompt } from '@trefoilshunt/standins'
import type { PlanStep, ProgramPlan } from './programPlan.js'
import { answerTokensOf } from './programPlan.js'
import type { ProgramObservation, RunRecord, StepObservation } from './runRecord.js'

const CHARACTERS_PER_TOKEN = 4
const STEP_TIMEOUT_MS = 120_000
const FILLER = 'the seam at the left shoulder pulls when the rider leans into the wind and the collar rubs '

/** How callers reach a fleet, over simulated links or real sockets. */
export interface ICallerAccess {
  readonly host: IClientHost
  readonly zones: string[]
  /** Addresses that a new client starts with. */
  seeds (): string[]
  /** Transport that authenticates as the customer. */
  transportOf (customer: string): ICallerTransport
}

/** Options of a `ProgramDriver`. */
export interface DriverOptions {
  access: ICallerAccess
  /** Receives the observation of every program. */
  record: RunRecord
  /** Target in milliseconds and rank of each work kind. */
  targets: Record<string, { targetMs: number, rank: string }>
  /** Time limit of each step; 120 s when undefined. */
  stepTimeoutMs?: number
  /** Stream the model steps whose step number is a multiple of this; 0 or undefined streams none. */
  streamEvery?: number
  /** Wait and try again when the opening of a program is refused for overload. */
  retriesOverload?: boolean
  /** Time limit for opening a program; that of the client library when undefined. */
  openTimeoutMs?: number
}

/** The callers of a run: opens programs, runs their steps and records every observation and attempt. */
export class ProgramDriver {
  private readonly _options: DriverOptions
  private readonly _clients = new Map<string, Client>()
  private readonly _stepObservations = new Map<string, StepObservation>()
  private _lastIndex = 0

  constructor (options: DriverOptions) {
    this._options = options
  }

  /** Runs one program, with its sub-agents, from its arrival to its end. Refusals and failed steps are recorded, not thrown. */
  async run (plan: ProgramPlan): Promise<ProgramObservation> {
    const observation = this._startObservation(plan.kind, plan.customer, answerTokensOf(plan.steps))
    observation.isFailureExpected = plan.isExpectedToFail === true
    await this._runObserved(plan, observation, undefined)
    return observation
  }

  private async _runObserved (plan: ProgramPlan, observation: ProgramObservation, parent: ProgramSession | undefined): Promise<void> {
    const { host } = this._options.access
    const client = this._clientFor(plan.customer, observation.index)
    const opened = await client.open({ kind: plan.kind, parent, retriesOverload: this._options.retriesOverload, timeoutMs: this._options.openTimeoutMs })
    if (opened.isLeft()) {
      observation.refusal = opened.extract() as ProgramObservation['refusal']
      observation.endedAtMs = host.nowMs()
      return
    }
    const session = opened.extract() as ProgramSession
    observation.programId = session.programId
    observation.root ??= session.programId
    observation.openedAtMs = host.nowMs()
    observation.isFinished = await this._runSteps(plan, session, observation)
    observation.endedAtMs = host.nowMs()
    observation.turns = [...session.turns]
    observation.historyDigest = session.historyDigest
    if (!observation.hasVanished) observation.wasClosed = await session.close()
  }

  private async _runSteps (plan: ProgramPlan, session: ProgramSession, observation: ProgramObservation): Promise<boolean> {
    let modelSteps = 0
    for (const [index, step] of plan.steps.entries()) {
      observation.hasVanished = index === plan.vanishesAtStep
      if (observation.hasVanished) return false
      if (step.type === 'pause') {
        await this._options.access.host.sleep(step.durationMs)
      } else if (step.type === 'children') {
        if (!await this._runChildren(plan, step.plans, session, observation)) return false
      } else {
        const isPoison = step.type === 'model' && modelSteps === plan.poisonStep
        if (step.type === 'model') modelSteps++
        if (!await this._runStep(plan, step, isPoison, session, observation)) return false
      }
    }
    return true
  }

  private async _runChildren (plan: ProgramPlan, plans: PlanStep[][], session: ProgramSession, parent: ProgramObservation): Promise<boolean> {
    const children = plans.map(async steps => {
      const observation = this._startObservation(plan.kind, plan.customer, answerTokensOf(steps))
      observation.root = parent.root
      await this._runObserved({ ...plan, steps, poisonStep: undefined, vanishesAtStep: undefined }, observation, session)
      return observation.isFinished
    })
    return (await Promise.all(children)).every(Boolean)
  }

  private async _runStep (plan: ProgramPlan, step: Extract<PlanStep, { type: 'model' | 'tool' }>, isPoison: boolean, session: ProgramSession, observation: ProgramObservation): Promise<boolean> {
    const checkId = step.type === 'tool' ? `${session.programId}/${session.nextStep}` : ''
    const call = this._toCall(plan, step, isPoison, session, checkId)
    const stepObservation: StepObservation = {
      programId: session.programId,
      step: session.nextStep,
      checkId,
      isRepeatable: call.type === 'model' || call.isRepeatable,
      prompt: call.type === 'model' ? call.messages[0].content : '',
      attempts: [],
      startedAtMs: this._options.access.host.nowMs()
    }
    observation.steps.push(stepObservation)
    this._stepObservations.set(`${session.programId}/${session.nextStep}`, stepObservation)
    const isStreamed = this._isStreamed(stepObservation, call)
    const outcome = await session.step(call, {
      timeoutMs: this._options.stepTimeoutMs ?? STEP_TIMEOUT_MS,
      onChunk: isStreamed ? text => { stepObservation.streamedText = text } : undefined
    })
    stepObservation.endedAtMs = this._options.access.host.nowMs()
    outcome.caseOf({
      Right: ({ result, durable }) => {
        stepObservation.result = result
        stepObservation.isDurable = durable
      },
      Left: error => { stepObservation.error = error }
    })
    return outcome.isRight()
  }

  private _isStreamed (step: StepObservation, call: StepCall): boolean {
    const every = this._options.streamEvery ?? 0
    return call.type === 'model' && every > 0 && step.step % every === 0
  }

  private _toCall (plan: ProgramPlan, step: Extract<PlanStep, { type: 'model' | 'tool' }>, isPoison: boolean, session: ProgramSession, checkId: string): StepCall {
    if (step.type === 'tool') {
      return { type: 'service', service: plan.service, path: '/orders', body: { checkId, programId: session.programId }, isRepeatable: step.isRepeatable }
    }
    const text = createFillerText(step.promptTokens, isPoison ? 'poison' : `${session.programId}/${session.nextStep}`)
    const prompt = toPrompt(isPoison ? toPoisonPrompt(text) : text, step.answerTokens)
    return { type: 'model', messages: [{ role: 'user', content: prompt }], maxTokens: step.answerTokens }
  }

  private _startObservation (kind: string, customer: string, plannedTokens: number): ProgramObservation {
    const target = this._options.targets[kind]
    const observation: ProgramObservation = {
      index: ++this._lastIndex,
      kind,
      rank: target.rank,
      customer,
      arrivedAtMs: this._options.access.host.nowMs(),
      isFinished: false,
      steps: [],
      turns: [],
      wasClosed: false,
      hasVanished: false,
      isFailureExpected: false,
      plannedTokens,
      targetMs: target.targetMs
    }
    this._options.record.programs.push(observation)
    return observation
  }

  /** One client per customer and zone; each keeps its own list of node addresses. */
  private _clientFor (customer: string, index: number): Client {
    const { host, zones } = this._options.access
    const zone = zones[index % zones.length]
    const key = `${customer}/${zone}`
    let client = this._clients.get(key)
    if (client === undefined) {
      client = new Client({ customer, transport: this._options.access.transportOf(customer), host, seeds: this._options.access.seeds(), zone, onAttempt: attempt => this._recordAttempt(attempt) })
      this._clients.set(key, client)
    }
    return client
  }

  private _recordAttempt (attempt: AttemptRecord): void {
    if (attempt.request.type !== 'step') return
    this._stepObservations.get(`${attempt.request.programId}/${attempt.request.step}`)?.attempts.push(attempt)
  }
}

function createFillerText (tokens: number, tag: string): string {
  const length = tokens * CHARACTERS_PER_TOKEN
  const text = FILLER.repeat(Math.ceil(length / FILLER.length)).slice(0, Math.max(0, length - tag.length - 1))
  return `${tag} ${text}`
}
