/** Announces each start of this node on the control stream, so that its journal is found when the node is gone. */
import { inject, injectable } from 'tsyringe'
import { IClock } from '../kernel/clock.js'
import { NodeIdentity } from '../kernel/node.js'
import { ITimers } from '../kernel/timers.js'
import { IConfiguration } from '../configuration/configuration.js'
import { IJournal } from '../journal/journal.js'

const ATTEMPT_MS = 30_000
const RETRY_MS = 1_000

@injectable()
export class NodeAnnouncement {
  constructor (
    @inject(NodeIdentity) private readonly _identity: NodeIdentity,
    @inject(IClock) private readonly _clock: IClock,
    @inject(ITimers) private readonly _timers: ITimers,
    @inject(IConfiguration) private readonly _configuration: IConfiguration,
    @inject(IJournal) private readonly _journal: IJournal
  ) {}

  start (): void {
    this._announce()
    this._journal.onDidFence(() => this._announce())
  }

  private _announce (): void {
    const { node, incarnation, address, zone } = this._identity
    const record = { type: 'nodeStarted', node: { node, incarnation, address }, zone, atMs: this._clock.nowMs() } as const
    this._configuration.publish(record, ATTEMPT_MS, outcome => {
      const mayTryAgain = outcome.type !== 'folded' && this._identity.incarnation === incarnation
      if (mayTryAgain) this._timers.after(RETRY_MS, () => this._announce())
    })
  }
}
