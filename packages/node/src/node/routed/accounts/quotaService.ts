/** Grants credits for the requests of the accounts whose partitions this node owns, and takes the buckets over from earlier owners. */
import { EarlierOwner, hash32, type IRouteTable, type LogFields, type QuotaGrant, QuotaOwner, type QuotaTake } from '@trefoilshunt/core'
import type { PeerRequest } from '../../../common/routed/routedPeerMessages.js'
import { steadyNowMs } from '../../steadyClock.js'
import type { NodeDirectory } from '../nodeDirectory.js'
import type { PartitionHost } from '../owners/partitionHost.js'
import type { PartitionOwner } from '../owners/partitionOwner.js'
import type { PeerMesh, PeerResponder } from '../peerMesh.js'

/** Requests that wait for a handover wait for 300 ms at most, and need the rest of that time for their question. */
const HANDOVER_TIMEOUT_MS = 200

export interface QuotaServiceOptions {
  partitionCount: number
  /** Time for which an earlier owner may consider its membership valid. */
  memberTtlMs: number
  routes: IRouteTable
  host: PartitionHost
  directory: NodeDirectory
  mesh: PeerMesh
  write: (event: string, fields: LogFields) => void
}

/**
 * @example
 * quotas.synchronize() // whenever the partitions of this node may have changed
 * const grant = quotas.take(['yard-7', [], [hash], 0, [], []])
 */
export class QuotaService {
  private readonly _owner: QuotaOwner
  /** For which ownership of each partition, and after how many lapses of the membership, the buckets were set up. */
  private readonly _acquired = new Map<number, { owner: PartitionOwner, lapseCount: number }>()

  constructor (private readonly _options: QuotaServiceOptions) {
    const { routes, memberTtlMs } = _options
    this._owner = new QuotaOwner({
      quotaOf: name => {
        const account = routes.accounts?.find(name)
        return account === undefined ? undefined : account.quota ?? 'none'
      },
      ownerTtlMs: memberTtlMs
    })
  }

  /** Number of accounts with a bucket here. */
  get bucketCount (): number {
    return this._owner.bucketCount
  }

  /** The partition of an account, which is owned like those of programs. */
  partitionOf (account: string): number {
    return hash32(account) % this._options.partitionCount
  }

  /** True if this node owns the account's partition, and no peer has to be asked. */
  isOwnerOf (account: string): boolean {
    return this._options.host.find(this.partitionOf(account)) !== undefined
  }

  /** Sets up the buckets of partitions that this node serves since a short time, and stops granting those of others. */
  synchronize (): void {
    const { host } = this._options
    for (const owner of host.served) this._acquire(owner)
    for (const partition of this._acquired.keys()) if (host.find(partition) === undefined) this._owner.release(partition, steadyNowMs())
  }

  /** Decides on credits; undefined if this node isn't the owner, or can't be certain that it still is. */
  take (take: QuotaTake): QuotaGrant | undefined {
    const { host } = this._options
    const partition = this.partitionOf(take[0])
    const owner = host.find(partition)
    if (owner === undefined || !host.isMembershipFresh) return undefined
    this._acquire(owner)
    return this._owner.take(partition, take, steadyNowMs())
  }

  /** Takes back credits that were granted here, pairs of number and stamp. */
  giveBack (account: string, returns: readonly number[], counts: readonly number[] = []): void {
    this._owner.giveBack(this.partitionOf(account), account, returns, steadyNowMs(), counts)
  }

  /** Handles a request of a peer; false if it is another kind of request. */
  handle (request: PeerRequest, respond: PeerResponder): boolean {
    switch (request.type) {
      case 'quotaTake':
        respond({ type: 'quotaGrants', grants: request.takes.map(take => this.take(take) ?? null) }, true)
        return true
      case 'quotaReturn':
        for (const [account, returns, counts] of request.returns) this.giveBack(account, returns, counts)
        return true
      case 'quotaHandover':
        // A late request of an owner that this node has replaced meanwhile gets no reply.
        if ((this._options.host.find(request.partition)?.epoch ?? 0) < request.epoch) {
          respond({ type: 'quotaHandedOver', handover: this._owner.handOver(request.partition, steadyNowMs()) ?? null }, true)
        }
        return true
      default: return false
    }
  }

  /** Forgets buckets that are full, and partitions that were given up some time ago. */
  removeInactive (): void {
    this._owner.removeInactive(steadyNowMs())
  }

  private _acquire (owner: PartitionOwner): void {
    const { host, directory } = this._options
    const { partition } = owner
    const { lapseCount } = host
    const acquired = this._acquired.get(partition)
    if (acquired?.owner === owner && acquired.lapseCount === lapseCount) return
    this._acquired.set(partition, { owner, lapseCount })
    const earlier = directory.lastServerOf(partition)
    if (earlier === undefined || (acquired !== undefined && earlier.epoch < acquired.owner.epoch)) {
      // This process was the last owner that is known, and what it granted then is past; or nothing is known.
      this._begin(owner, acquired === undefined ? EarlierOwner.Unknown : EarlierOwner.Ended, earlier?.node)
    } else if (earlier.hasEnded) {
      this._begin(owner, EarlierOwner.Ended, earlier.node)
    } else if (this._hasQuotas) {
      this._owner.acquire(partition, EarlierOwner.Asked, steadyNowMs())
      void this._requestHandover(owner, earlier.node)
    } else {
      this._begin(owner, EarlierOwner.Unknown, earlier.node)
    }
  }

  private get _hasQuotas (): boolean {
    return this._options.routes.accounts?.accounts.some(({ quota }) => quota !== undefined) === true
  }

  private _begin (owner: PartitionOwner, earlierOwner: EarlierOwner, earlierNode: string | undefined): void {
    this._owner.acquire(owner.partition, earlierOwner, steadyNowMs())
    this._writeChange(owner, earlierNode, earlierOwner)
  }

  private async _requestHandover (owner: PartitionOwner, earlierNode: string): Promise<void> {
    const { mesh, directory } = this._options
    const { partition } = owner
    const acquired = this._acquired.get(partition)
    const reply = await mesh.requestOnce(earlierNode, { type: 'quotaHandover', partition, epoch: owner.epoch }, HANDOVER_TIMEOUT_MS)
    if (this._acquired.get(partition) !== acquired) return
    const nowMs = steadyNowMs()
    if (reply?.type === 'quotaHandedOver') {
      this._owner.resolveEarlierOwner(partition, { handover: reply.handover ?? undefined }, nowMs)
      this._writeChange(owner, earlierNode, reply.handover === null ? EarlierOwner.Ended : 'handedOver', reply.handover?.[1].length)
    } else {
      const hasEnded = directory.lastServerOf(partition)?.hasEnded === true
      this._owner.resolveEarlierOwner(partition, hasEnded ? { handover: undefined } : 'noReply', nowMs)
      this._writeChange(owner, earlierNode, hasEnded ? EarlierOwner.Ended : EarlierOwner.Unknown)
    }
  }

  private _writeChange ({ partition, epoch }: PartitionOwner, earlierNode: string | undefined, outcome: string, buckets?: number): void {
    if (this._hasQuotas) this._options.write('quotaOwnerChanged', { partition, epoch, earlier: earlierNode, outcome, buckets })
  }
}
