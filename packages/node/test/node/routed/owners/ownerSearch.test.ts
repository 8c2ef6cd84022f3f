/**
 * Random schedules of programs, ownership changes and faults in virtual time. No completed turn and no used token may be lost.
 * A schedule repeats exactly from its seed. To run more of them: OWNER_SEEDS=1-2000 npm run unit -- ownerSearch
 */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { hash32, SeededRandom } from '@trefoilshunt/core'
import { KeyedLog } from '@trefoilshunt/standins'
import { PartitionHost } from '../../../../src/node/routed/owners/partitionHost.js'
import { PRODUCER } from '../../../../src/node/routed/owners/appendQueue.js'
import { type PartitionOwner, TURN_TOPIC } from '../../../../src/node/routed/owners/partitionOwner.js'
import { FaultInjectingLog, type LogFaults } from './faultInjectingLog.js'
import { VirtualTime } from '../virtualTime.js'

const PARTITIONS = 3
const NODES = ['a', 'b', 'c']
const TTL_MS = 600
const FAULTS_MS = 8_000
const RECOVERY_MS = 6_000
const PROGRAMS = 6
/** By the parity of the program's number: only programs with odd numbers use up their budgets. */
const BUDGETS_TOKENS = [20_000, 600]
const MAX_TURN_TOKENS = 50
const MEMBER_GROUP = 'turn-owners'
/** A sixteenth of the epochs of a generation. */
const MAX_EPOCH_STEP = 2 ** 16

interface Program {
  id: string
  budgetTokens: number
  deliveredTokens: number
  /** Turns whose whole answer was delivered and recorded, in order. */
  completedTurns: string[]
}

/** One random schedule and the violations of the guarantees that it found. */
class RandomSchedule {
  readonly violations: string[] = []
  readonly injectedFaults: string[] = []
  readonly programs: Program[] = Array.from({ length: PROGRAMS }, (_, index) => ({ id: `p${index}`, budgetTokens: BUDGETS_TOKENS[index % 2], deliveredTokens: 0, completedTurns: [] }))
  spentCount = 0
  private readonly _random: SeededRandom
  private readonly _log: KeyedLog
  private readonly _hosts = new Map<string, PartitionHost>()
  private readonly _logFaults: LogFaults = { unresponsiveUntilMs: new Map(), refusedUntilMs: new Map(), lossyUntilMs: 0, lossProbability: 0 }
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
    while (this._time.nowMs < FAULTS_MS) {
      await this._time.advance(50 + this._random.nextInt(900))
      this._injectFault()
    }
    await this._time.advance(3_000)
    await this._checkServedInCalm()
    this._isOver = true
    for (const node of [...this._hosts.keys()]) this._kill(node)
    Object.assign(this._logFaults, { lossyUntilMs: 0 })
    this._start('z')
    await this._time.advance(RECOVERY_MS)
    this._checkSurvivingNode()
    this._kill('z')
  }

  private _start (node: string): void {
    const { _time: time, _log: log, _random: random, _logFaults: faults } = this
    const host = new PartitionHost({
      member: node,
      log: new FaultInjectingLog({ node, log, time, random, faults }),
      partitionCount: PARTITIONS,
      maxRecordBytes: 2_048,
      maxAppendBytes: 20_000,
      memberTtlMs: TTL_MS,
      sinceLogResponseMs: () => 0,
      hasLivePeers: () => true,
      random,
      onChanged: () => {},
      write: () => {}
    })
    this._hosts.set(node, host)
    time.runAs(node, () => host.start())
  }

  private _kill (node: string): void {
    const host = this._hosts.get(node)
    this._hosts.delete(node)
    if (host !== undefined) this._time.runAs(node, () => host.close())
  }

  private _injectFault (): void {
    const node = NODES[this._random.nextInt(NODES.length)]
    const forMs = 200 + this._random.nextInt(2_000)
    const untilMs = this._time.nowMs + forMs
    const affected = this._random.next() < 0.5 ? NODES : [node]
    const kinds: Record<string, () => void> = {
      kill: () => this._restart([node], forMs),
      killAll: () => this._restart(NODES, forMs / 4),
      stop: () => { void this._stop(node) },
      freeze: () => this._time.freeze(node, forMs),
      unresponsive: () => { for (const affectedNode of affected) this._logFaults.unresponsiveUntilMs.set(affectedNode, untilMs) },
      refuse: () => { for (const affectedNode of affected) this._logFaults.refusedUntilMs.set(affectedNode, untilMs) },
      lossy: () => Object.assign(this._logFaults, { lossyUntilMs: untilMs, lossProbability: 0.2 + 0.5 * this._random.next() }),
      rebalance: () => this._log.rebalance(MEMBER_GROUP),
      fence: () => this._fence(this._random.nextInt(PARTITIONS))
    }
    const names = Object.keys(kinds)
    const name = names[this._random.nextInt(names.length)]
    this.injectedFaults.push(`${Math.round(this._time.nowMs)} ${name} ${node} ${Math.round(forMs)} ${affected.length}`)
    kinds[name]()
  }

  /** Raises the epoch of a partition as a late call of an earlier process of its owner's node does. */
  private _fence (partition: number): void {
    const epoch = Math.max(...[...this._hosts.values()].map(host => host.find(partition)?.epoch ?? 0))
    if (epoch > 0) this._log.append(TURN_TOPIC, partition, [], { producer: PRODUCER, epoch: epoch + 1 + this._random.nextInt(MAX_EPOCH_STEP) })
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
    await this._time.runAs(node, async () => await host.stop(500))
    if (this._hosts.get(node) === host) this._restart([node], 200)
  }

  /** Runs `body` at a random node that serves the program's partition from its own point of view; undefined when there is none. */
  private async _atOwner<T> (program: Program, body: (owner: PartitionOwner) => T | Promise<T>): Promise<T | undefined> {
    const partition = hash32(program.id) % PARTITIONS
    const owners = [...this._hosts].filter(([, host]) => host.find(partition) !== undefined)
    if (owners.length === 0) return undefined
    const [node, host] = owners[this._random.nextInt(owners.length)]
    const frozenMs = this._time.remainingFreezeMs(node)
    if (frozenMs > 0) await pause(frozenMs + 1)
    const owner = host.find(partition)
    return owner === undefined ? undefined : await this._time.runAs(node, async () => await body(owner))
  }

  private async _runProgram (program: Program): Promise<void> {
    while (!this._isOver) {
      await pause(5 + this._random.nextInt(40))
      const requestId = `r${++this._requestCount}`
      const previousTurnId = program.completedTurns.at(-1)
      const request = { programId: program.id, requestId, previousTurnId, prompt: [], budgetTokens: program.budgetTokens, maxTokens: MAX_TURN_TOKENS }
      const grant = await this._atOwner(program, async owner => {
        const decision = owner.grant(request, true)
        if (decision.type === 'granted' || decision.type === 'stalled') return decision
        return await owner.confirm() ? decision : { type: 'stalled' as const }
      })
      if (grant === undefined || grant.type === 'stalled') continue
      if (grant.type === 'noSuchTurn') {
        this.violations.push(`${requestId}: ${String(previousTurnId)} of ${program.id} was completed and is unknown`)
        return
      }
      if (grant.type === 'spent') {
        this.spentCount++
        return
      }
      if (await withTimeout(grant.recorded ?? Promise.resolve(true), 3_000) !== true) continue
      await this._runTurn(program, requestId, previousTurnId)
    }
  }

  private async _runTurn (program: Program, requestId: string, previousTurnId: string | undefined): Promise<void> {
    await pause(10 + this._random.nextInt(60))
    const usedTokens = 1 + this._random.nextInt(MAX_TURN_TOKENS)
    program.deliveredTokens += usedTokens
    if (program.deliveredTokens > program.budgetTokens + MAX_TURN_TOKENS) this.violations.push(`${requestId}: ${program.id} got ${program.deliveredTokens} tokens`)
    const input = new TextEncoder().encode(requestId)
    const turn = { turnId: requestId, programId: program.id, previousTurnId, input, output: input, keepMs: 60_000 }
    for (let tries = 0; tries < 3; tries++) {
      const ended = this._atOwner(program, async owner => await owner.end({ programId: program.id, requestId, usedTokens, worker: 'w', prompt: [], turn }))
      if (await withTimeout(ended, 700) === 'recorded') {
        program.completedTurns.push(requestId)
        return
      }
      await pause(50)
    }
  }

  /** Checks that each partition has an owner whose epoch the log accepts, also after a last fence, of which the owner learns by its next append. */
  private async _checkServedInCalm (): Promise<void> {
    for (let partition = 0; partition < PARTITIONS; partition++) {
      this._fence(partition)
      let isConfirmed = false
      for (let tries = 0; tries < 2 && !isConfirmed; tries++) {
        for (const host of this._hosts.values()) void host.find(partition)?.confirm().then(isOwner => { isConfirmed ||= isOwner })
        await this._time.advance(500)
      }
      if (!isConfirmed) this.violations.push(`partition ${partition} has no owner in calm`)
    }
  }

  /** Checks that a single node finds all completed turns and used tokens after all other nodes have crashed. */
  private _checkSurvivingNode (): void {
    const host = this._hosts.get('z')
    for (const program of this.programs) {
      const owner = host?.find(hash32(program.id) % PARTITIONS)
      if (owner?.isHistoryComplete !== true) {
        this.violations.push(`${program.id}: its partition is not served`)
        continue
      }
      const lost = program.completedTurns.filter(turnId => owner.chainOf(turnId) === undefined)
      if (lost.length > 0) this.violations.push(`${program.id}: lost ${lost.join()}`)
      const committed = owner.committedTokensOf(program.id)
      if (committed < program.deliveredTokens) this.violations.push(`${program.id}: ${program.deliveredTokens} tokens were delivered, ${committed} are recorded`)
    }
  }
}

async function pause (ms: number): Promise<void> {
  await new Promise<void>(resolve => { setTimeout(resolve, ms) })
}

async function withTimeout<T> (promise: Promise<T>, timeoutMs: number): Promise<T | undefined> {
  return await Promise.race([promise, pause(timeoutMs).then(() => undefined)])
}

async function runSeed (seed: number): Promise<RandomSchedule> {
  return await VirtualTime.run(async time => {
    const schedule = new RandomSchedule(time, seed)
    await schedule.run()
    return schedule
  })
}

test('no turn and no token is lost in random schedules', async () => {
  const [from, to] = (process.env.OWNER_SEEDS ?? '1-24').split('-').map(Number)
  let completedTurns = 0
  let spentPrograms = 0
  for (let seed = from; seed <= to; seed++) {
    const schedule = await runSeed(seed)
    completedTurns += schedule.programs.reduce((total, program) => total + program.completedTurns.length, 0)
    spentPrograms += schedule.spentCount
    assert.equal(schedule.violations, [], [`seed ${seed}`, ...schedule.violations, ...schedule.injectedFaults].join('\n'))
  }
  if (process.env.OWNER_SEEDS !== undefined) process.stdout.write(`seeds ${from} to ${to}: ${completedTurns} completed turns, ${spentPrograms} programs with a spent budget\n`)
  assert.ok(completedTurns > 20 * (to - from + 1), `only ${completedTurns} completed turns`)
})

test('a schedule repeats exactly from its seed', async () => {
  const [first, second] = [await runSeed(7), await runSeed(7)]
  assert.equal(first.programs, second.programs)
  assert.equal(first.injectedFaults, second.injectedFaults)
})

test.run()
