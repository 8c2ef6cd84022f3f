/** Handles the requests of operators: changes, promotions, status and audit. */
import { inject, injectable } from 'tsyringe'
import type { ApplyRequest, CallerReply, PromoteRequest } from '../kernel/callerMessages.js'
import { Reason } from '../kernel/callerMessages.js'
import { ICallers } from '../kernel/callerPort.js'
import { IClock } from '../kernel/clock.js'
import { NodeIdentity } from '../kernel/node.js'
import { IMembership } from '../membership/membership.js'
import { IConfiguration, type PublishOutcome } from './configuration.js'
import { findEnvironment } from './controlFold.js'
import { type ConfigurationDocument, parseDocument } from './document.js'

const PUBLISH_TIMEOUT_MS = 10_000

@injectable()
export class OperatorRequests {
  constructor (
    @inject(NodeIdentity) private readonly _identity: NodeIdentity,
    @inject(IClock) private readonly _clock: IClock,
    @inject(ICallers) private readonly _callers: ICallers,
    @inject(IConfiguration) private readonly _configuration: IConfiguration,
    @inject(IMembership) private readonly _membership: IMembership
  ) {}

  start (): void {
    this._callers.handle('apply', ({ requestId, request }) => this._apply(requestId, request))
    this._callers.handle('promote', ({ requestId, request }) => this._promote(requestId, request))
    this._callers.handle('configuration', ({ requestId, request }) => this._callers.reply(requestId, this._createConfigurationView(request.environment)))
    this._callers.handle('audit', ({ requestId, request }) => {
      this._callers.reply(requestId, { type: 'auditView', entries: this._configuration.state.audit.slice(-request.limit) })
    })
  }

  private _apply (requestId: string, request: ApplyRequest): void {
    const problems = parseDocument(request.document).swap().toMaybe()
    if (problems.isJust()) {
      const detail = problems.extract().map(problem => `${problem.path.join('.')}: ${problem.message}`).join('; ')
      this._callers.reply(requestId, { type: 'refused', reason: Reason.Invalid, detail })
      return
    }
    const { environment, baseRevision, document, by } = request
    const record = { type: 'configurationChanged', environment, baseRevision, document, by, atMs: this._clock.nowMs() } as const
    this._configuration.publish(record, PUBLISH_TIMEOUT_MS, outcome => this._answer(requestId, environment, outcome))
  }

  private _promote (requestId: string, request: PromoteRequest): void {
    const { from, to, revision, baseRevision, by } = request
    const record = { type: 'configurationPromoted', from, to, revision, baseRevision, by, atMs: this._clock.nowMs() } as const
    this._configuration.publish(record, PUBLISH_TIMEOUT_MS, outcome => this._answer(requestId, to, outcome))
  }

  private _answer (requestId: string, environment: string, outcome: PublishOutcome): void {
    this._callers.reply(requestId, this._createReply(environment, outcome))
  }

  private _createReply (environment: string, outcome: PublishOutcome): CallerReply {
    if (outcome.type === 'failed') return { type: 'refused', reason: Reason.LogUnavailable, detail: 'the log service did not store the change; the configuration is unchanged' }
    if (outcome.type === 'ambiguous') return { type: 'refused', reason: Reason.AnswerLost, detail: 'the log service did not confirm the change; check the status before trying again' }
    const current = findEnvironment(this._configuration.state, environment)?.revision ?? 0
    if (outcome.entry?.outcome === 'accepted') return { type: 'accepted', environment, revision: current, offset: outcome.offset }
    return { type: 'refused', reason: Reason.Conflict, detail: outcome.entry?.detail ?? 'the change had no effect', currentRevision: current }
  }

  private _createConfigurationView (environment: string | undefined): CallerReply {
    const environments = this._configuration.state.environments
      .filter(state => environment === undefined || state.environment === environment)
      .map(({ environment, revision, offset, document }) => ({ environment, revision, offset, document: document as ConfigurationDocument }))
    const own = { node: this._identity.node, revision: this._configuration.revision, environment: this._identity.environment }
    const nodes = this._membership.knownPeers().map(peer => ({ node: peer.node, revision: peer.revision, environment: this._identity.environment }))
    return { type: 'configurationView', node: this._identity.node, environments, nodes: [own, ...nodes] }
  }
}
