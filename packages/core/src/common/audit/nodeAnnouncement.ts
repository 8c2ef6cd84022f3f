/** Publishes each incarnation of this node on the control stream: other nodes find its journal there when it is unavailable. */
import { inject, injectable } from 'tsyringe'
import { IClock } from '../kernel/clock.js'
import { NodeIdentity } from '../kernel/node.js'
import { ITimers } from '../kernel/timers.js'
import { IConfiguration } from '../configuration/configuration.js'
import { IJournal } from '../journal/journal.js'

const PUBLISH_TIMEOUT_MS = 30_000
const RETRY_MS = 1_000

/** Publishes `nodeStarted` at the start and after each fence, and retries until the record is on the stream. */
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
    this._configuration.publish(record, PUBLISH_TIMEOUT_MS, outcome => {
      const mayRetry = outcome.type !== 'folded' && this._identity.incarnation === incarnation
      if (mayRetry) this._timers.after(RETRY_MS, () => this._announce())
    })
  }
}
