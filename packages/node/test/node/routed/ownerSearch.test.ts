/**
 * Random schedules of owners, programs and troubles in virtual time. Each repeats exactly from its seed. More of them:
 * OWNER_SEEDS=1-2000 npm run unit -- ownerSearch
 */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { hash32, SeededRandom } from '@trefoilshunt/core'
import { KeyedLog } from '@trefoilshunt/standins'
import { PartitionHost } from '../../../src/node/routed/partitionHost.js'
import type { PartitionOwner } from '../../../src/node/routed/partitionOwner.js'
import { type LogTrouble, SearchLog } from './searchLog.js'
import { VirtualTime } from './virtualTime.js'

const PARTITIONS = 3
const NODES = ['a', 'b', 'c']
const TTL_MS = 600
const RUN_MS = 8_000
const CALM_MS = 6_000
const PROGRAMS = 6
/** Programs with odd numbers come to the end of their budgets. */
const BUDGETS_TOKENS = [20_000, 600]
const MAX_TURN_TOKENS = 50
const GROUP = 'turn-owners'

interface Program {
  id: string
  budgetTokens: number
  deliveredTokens: number
  /** Turns that were answered whole, in order. */
  wholeTurns: string[]
}

class Search {
  readonly violations: string[] = []
  readonly played: string[] = []
  readonly programs: Program[] = Array.from({ length: PROGRAMS }, (_, index) => ({ id: `p${index}`, budgetTokens: BUDGETS_TOKENS[index % 2], deliveredTokens: 0, wholeTurns: [] }))
  spentCount = 0
  private readonly _random: SeededRandom
  private readonly _log: KeyedLog
  private readonly _hosts = new Map<string, PartitionHost>()
  private readonly _trouble: LogTrouble = { silentUntilMs: new Map(), refusedUntilMs: new Map(), lossyUntilMs: 0, lossShare: 0 }
  private _requestCount = 0
  private _isOver = false

  constructor (private readonly _time: VirtualTime, seed: number) {
    this._random = new SeededRandom(seed)
    this._log = new KeyedLog({ partitionCount: PARTITIONS, nowMs: () => this._time.nowMs })
  }

  async run (): Promise<void> {
    for (const node of NODES) this._start(node)
    await this._time.advance(500)
    for (const program of this.programs) void this._runProgram(program)
    while (this._time.nowMs < RUN_MS) {
      await this._time.advance(50 + this._random.nextInt(900))
      this._playTrouble()
    }
    await this._time.advance(3_000)
    this._isOver = true
    for (const node of [...this._hosts.keys()]) this._kill(node)
    Object.assign(this._trouble, { lossyUntilMs: 0 })
    this._start('z')
    await this._time.advance(CALM_MS)
    this._checkSurvivor()
    this._kill('z')
  }

  private _start (node: string): void {
    const { _time: time, _log: log, _random: random, _trouble: trouble } = this
    const host = new PartitionHost({
      member: node,
      log: new SearchLog({ node, log, time, random, trouble }),
      partitionCount: PARTITIONS,
      maxRecordBytes: 2_048,
      maxAppendBytes: 20_000,
      memberTtlMs: TTL_MS,
      logSilenceMs: () => 0,
      hearsPeers: () => true,
      random,
      onChanged: () => {},
      write: () => {}
    })
    this._hosts.set(node, host)
    time.as(node, () => host.start())
  }

  private _kill (node: string): void {
    const host = this._hosts.get(node)
    this._hosts.delete(node)
    if (host !== undefined) this._time.as(node, () => host.close())
  }

  private _playTrouble (): void {
    const node = NODES[this._random.nextInt(NODES.length)]
    const forMs = 200 + this._random.nextInt(2_000)
    const untilMs = this._time.nowMs + forMs
    const some = this._random.next() < 0.5 ? NODES : [node]
    const kinds: Record<string, () => void> = {
      kill: () => this._restart([node], forMs),
      killAll: () => this._restart(NODES, forMs / 4),
      stop: () => { void this._stop(node) },
      freeze: () => this._time.freeze(node, forMs),
      silent: () => { for (const each of some) this._trouble.silentUntilMs.set(each, untilMs) },
      refuse: () => { for (const each of some) this._trouble.refusedUntilMs.set(each, untilMs) },
      lossy: () => Object.assign(this._trouble, { lossyUntilMs: untilMs, lossShare: 0.2 + 0.5 * this._random.next() }),
      rebalance: () => this._log.rebalance(GROUP)
    }
    const names = Object.keys(kinds)
    const name = names[this._random.nextInt(names.length)]
    this.played.push(`${Math.round(this._time.nowMs)} ${name} ${node} ${Math.round(forMs)} ${some.length}`)
    kinds[name]()
  }

  private _restart (nodes: readonly string[], afterMs: number): void {
    for (const node of nodes) {
      if (!this._hosts.has(node)) continue
      this._kill(node)
      setTimeout(() => { if (!this._isOver && !this._hosts.has(node)) this._start(node) }, afterMs)
    }
  }

  private async _stop (node: string): Promise<void> {
    const host = this._hosts.get(node)
    if (host === undefined) return
    await this._time.as(node, async () => await host.stop(500))
    if (this._hosts.get(node) === host) this._restart([node], 200)
  }

  /** Runs `body` at a node that believes that it owns the program; undefined when there is none. */
  private async _atOwner<T> (program: Program, body: (owner: PartitionOwner) => T | Promise<T>): Promise<T | undefined> {
    const partition = hash32(program.id) % PARTITIONS
    const owners = [...this._hosts].filter(([, host]) => host.find(partition) !== undefined)
    if (owners.length === 0) return undefined
    const [node, host] = owners[this._random.nextInt(owners.length)]
    const frozenMs = this._time.frozenMs(node)
    if (frozenMs > 0) await pause(frozenMs + 1)
    const owner = host.find(partition)
    return owner === undefined ? undefined : await this._time.as(node, async () => await body(owner))
  }

  private async _runProgram (program: Program): Promise<void> {
    while (!this._isOver) {
      await pause(5 + this._random.nextInt(40))
      const requestId = `r${++this._requestCount}`
      const previousTurnId = program.wholeTurns.at(-1)
      const request = { programId: program.id, requestId, previousTurnId, prompt: [], budgetTokens: program.budgetTokens, maxTokens: MAX_TURN_TOKENS }
      const grant = await this._atOwner(program, async owner => {
        const decision = owner.grant(request, true)
        if (decision.type === 'granted' || decision.type === 'stalled') return decision
        return await owner.confirm() ? decision : { type: 'stalled' as const }
      })
      if (grant === undefined || grant.type === 'stalled') continue
      if (grant.type === 'noSuchTurn') {
        this.violations.push(`${requestId}: ${String(previousTurnId)} of ${program.id} was answered whole and is unknown`)
        return
      }
      if (grant.type === 'spent') {
        this.spentCount++
        return
      }
      if (await within(grant.recorded ?? Promise.resolve(true), 3_000) !== true) continue
      await this._runTurn(program, requestId, previousTurnId)
    }
  }

  private async _runTurn (program: Program, requestId: string, previousTurnId: string | undefined): Promise<void> {
    await pause(10 + this._random.nextInt(60))
    const usedTokens = 1 + this._random.nextInt(MAX_TURN_TOKENS)
    program.deliveredTokens += usedTokens
    if (program.deliveredTokens > program.budgetTokens + MAX_TURN_TOKENS) this.violations.push(`${requestId}: ${program.id} was given ${program.deliveredTokens} tokens`)
    const input = new TextEncoder().encode(requestId)
    const turn = { turnId: requestId, programId: program.id, previousTurnId, input, output: input, keepMs: 60_000 }
    for (let tries = 0; tries < 3; tries++) {
      const ended = this._atOwner(program, async owner => await owner.end({ programId: program.id, requestId, usedTokens, worker: 'w', prompt: [], turn }))
      if (await within(ended, 700) === 'recorded') {
        program.wholeTurns.push(requestId)
        return
      }
      await pause(50)
    }
  }

  /** What a single node finds after the loss of every other one. */
  private _checkSurvivor (): void {
    const host = this._hosts.get('z')
    for (const program of this.programs) {
      const owner = host?.find(hash32(program.id) % PARTITIONS)
      if (owner?.isHistoryComplete !== true) {
        this.violations.push(`${program.id}: its partition is not served`)
        continue
      }
      const lost = program.wholeTurns.filter(turnId => owner.chainOf(turnId) === undefined)
      if (lost.length > 0) this.violations.push(`${program.id}: lost ${lost.join()}`)
      const committed = owner.committedOf(program.id)
      if (committed < program.deliveredTokens) this.violations.push(`${program.id}: ${program.deliveredTokens} tokens were given, ${committed} are known`)
    }
  }
}

async function pause (ms: number): Promise<void> {
  await new Promise<void>(resolve => { setTimeout(resolve, ms) })
}

async function within<T> (promise: Promise<T>, timeoutMs: number): Promise<T | undefined> {
  return await Promise.race([promise, pause(timeoutMs).then(() => undefined)])
}

async function runSeed (seed: number): Promise<Search> {
  return await VirtualTime.run(async time => {
    const search = new Search(time, seed)
    await search.run()
    return search
  })
}

test('no turn and no token is lost in random schedules', async () => {
  const [from, to] = (process.env.OWNER_SEEDS ?? '1-24').split('-').map(Number)
  let wholeTurns = 0
  let spent = 0
  for (let seed = from; seed <= to; seed++) {
    const search = await runSeed(seed)
    wholeTurns += search.programs.reduce((total, program) => total + program.wholeTurns.length, 0)
    spent += search.spentCount
    assert.equal(search.violations, [], [`seed ${seed}`, ...search.violations, ...search.played].join('\n'))
  }
  if (process.env.OWNER_SEEDS !== undefined) process.stdout.write(`seeds ${from} to ${to}: ${wholeTurns} whole turns, ${spent} programs at the end of their budgets\n`)
  assert.ok(wholeTurns > 20 * (to - from + 1), `only ${wholeTurns} whole turns`)
})

test('a schedule repeats exactly from its seed', async () => {
  const [first, second] = [await runSeed(7), await runSeed(7)]
  assert.equal(first.programs, second.programs)
  assert.equal(first.played, second.played)
})

test.run()
