/**
 * Quotas over all nodes, by seeds and in virtual time.
 *
 * The bound: in any window of W = 5 s, at most (rate x W + burst) x 1.1 + 20 requests of an account are sent. Proof: a request uses a credit, which was granted at most 400 ms
 * before its use, and what is not used is taken back at most 500 ms after its grant. So the credits that are used in a window are at most those that the owner's bucket holds
 * 500 ms before it, at most burst + 10, and those of its refill from then on: rate x (W + 0.5 s) + burst + 10 <= 1.1 x (rate x W + burst) + 10. A later owner starts
 * with the bucket of the earlier one, or with an empty one once the earlier one can't grant any more; before that it grants at most 8, and 10 + 8 is within the 20.
 */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { type AccountQuota, EarlierOwner, QuotaLease, QuotaOwner, type QuotaTake, SeededRandom } from '../../../src/index.js'
import { QuotaSimulation, type SimulatedAccount } from './quotaSimulation.js'

const WINDOW_MS = 5_000
const REPORT = process.env.QUOTA_REPORT === '1'
const NODES = 8
const TOTAL_PER_S = 120
const ACCOUNTS = 10
const PROGRAM = { requests: 25, gapMs: 160 }
const QUOTA_FACTOR = 1.6
/** Time until the first owners hold full buckets. */
const WARM_UP_MS = 6_000

/** Usual rates by a power law, and quotas of 1.6 times the usual rate with a burst that holds a second program. */
const rates = Array.from({ length: ACCOUNTS }, (_, index) => (index + 1) ** -1.2)
const totalRate = rates.reduce((total, rate) => total + rate, 0)
const accounts = rates.map((rate, index) => {
  const usualPerS = TOTAL_PER_S * rate / totalRate
  return { name: `account-${index}`, usualPerS, quota: { ratePerS: QUOTA_FACTOR * usualPerS, burst: Math.max(60, 2 * QUOTA_FACTOR * usualPerS) } }
})

/**
 * Starts programs of each account at its usual rate, times `factorOf` it. By chance, an account of few programs exceeds its quota for some seconds now and then; with `isEven`
 * the pauses between programs vary by less than a third, and none does.
 */
function addDemand (simulation: QuotaSimulation, untilMs: number, { factorOf = () => 1, isEven = false }: { factorOf?: (name: string, atMs: number) => number, isEven?: boolean } = {}): void {
  for (const { name, usualPerS } of accounts) {
    const start = (): void => {
      if (simulation.nowMs > WARM_UP_MS - 2_000) simulation.startProgram(name, PROGRAM)
      const perS = usualPerS / PROGRAM.requests * factorOf(name, simulation.nowMs)
      if (simulation.nowMs < untilMs) simulation.at(simulation.nowMs + 1_000 / perS * (isEven ? 0.7 + 0.6 * simulation.random.next() : simulation.random.nextExponential(1)), start)
    }
    simulation.at(simulation.random.next() * 1_000 * PROGRAM.requests / usualPerS, start)
  }
}

/** The largest share of the bound that any window of 5 s reaches; above 1 the bound is exceeded. */
function largestShare ({ sentAtMs }: SimulatedAccount, { ratePerS, burst }: AccountQuota): number {
  let first = 0
  let most = 0
  for (let last = 0; last < sentAtMs.length; last++) {
    while (sentAtMs[last] - sentAtMs[first] > WINDOW_MS) first++
    most = Math.max(most, last - first + 1)
  }
  return most / ((ratePerS * WINDOW_MS / 1_000 + burst) * 1.1 + 20)
}

const sum = (simulation: QuotaSimulation, of: (account: SimulatedAccount) => number): number => [...simulation.accounts.values()].reduce((total, account) => total + of(account), 0)

function describe (simulation: QuotaSimulation): string {
  const share = Math.max(...[...simulation.accounts.values()].map(account => largestShare(account, account.quota)))
  return `sent ${sum(simulation, a => a.sentAtMs.length)}, starts refused ${sum(simulation, a => a.refusedStarts)} of ${sum(simulation, a => a.programs)}, later refused ${sum(simulation, a => a.refusedLater)}, no owner ${sum(simulation, a => a.unavailable)}, questions ${simulation.questions}, bound used ${share.toFixed(2)}`
}

// Guards against a refusal of an account below its quota, and against a question for each request.
test('in calm no request below the quota is refused, and there is at most about one question for two requests', () => {
  for (let seed = 1; seed <= 5; seed++) {
    const simulation = new QuotaSimulation({ seed, nodes: NODES, accounts })
    addDemand(simulation, 60_000, { isEven: true })
    simulation.run(60_000)
    if (REPORT) console.log(`calm ${seed}: ${describe(simulation)}`)
    assert.is(sum(simulation, a => a.refusedStarts + a.refusedLater + a.unavailable), 0, describe(simulation))
    assert.ok(simulation.questions < 0.7 * sum(simulation, a => a.sentAtMs.length), describe(simulation))
  }
})

/** Single requests, three times what a bucket holds, which use up a bucket that a new owner fills wrongly. */
function addBursts (simulation: QuotaSimulation): void {
  for (const { name, quota: { burst } } of accounts) {
    for (let index = 0; index < 3 * burst; index++) simulation.at(simulation.nowMs + simulation.random.nextInt(2_500), () => simulation.startProgram(name, { requests: 1, gapMs: 0, id: 0 }))
  }
}

const TROUBLES: Record<string, (simulation: QuotaSimulation) => void> = {
  cuts: simulation => { for (let name = 0; name < NODES; name++) for (let peer = 0; peer < name; peer++) if (simulation.random.next() < 0.4) simulation.cut(name, peer, 3_000) },
  freezes: simulation => { for (const name of simulation.random.sample([...Array(NODES).keys()], 3)) simulation.freeze(name, 200 + simulation.random.nextInt(3_000), simulation.random.next() < 0.5) },
  kills: simulation => { for (const name of simulation.random.sample([...Array(NODES).keys()], 3)) simulation.kill(name, { isSilent: simulation.random.next() < 0.5, downMs: 200 + simulation.random.nextInt(3_000) }) },
  'lost messages': simulation => {
    simulation.lossShare = 0.2
    simulation.at(simulation.nowMs + 3_000, () => { simulation.lossShare = 0 })
  },
  'two owners': simulation => { for (let partition = 0; partition < 4; partition++) simulation.assignTwice(partition, simulation.random.nextInt(NODES)) },
  'two owners that are cut off': simulation => {
    for (let name = 0; name < NODES; name++) for (let peer = 0; peer < name; peer++) if (name % 2 !== peer % 2) simulation.cut(name, peer, 2_500)
    for (let partition = 0; partition < 4; partition++) simulation.assignTwice(partition, simulation.random.nextInt(NODES))
  },
  'total loss': simulation => { for (let name = 0; name < NODES; name++) simulation.kill(name, { downMs: 1_000 }) },
  'a silent log': simulation => {
    simulation.isLogSilent = true
    simulation.at(simulation.nowMs + 3_000, () => { simulation.isLogSilent = false })
  }
}

// Guards against more requests than the quota allows, whoever owns it and whatever becomes of the nodes.
test('no window of 5 s exceeds the bound, over 80 schedules of trouble with accounts that send 4 times their quota', () => {
  for (const [name, cause] of Object.entries(TROUBLES)) {
    for (let seed = 1; seed <= 10; seed++) {
      const isFlooded = seed % 2 === 1
      const floodsFromMs = seed % 4 === 1 ? 0 : 10_000
      const simulation = new QuotaSimulation({ seed, nodes: NODES, accounts })
      addDemand(simulation, 30_000, { factorOf: (account, atMs) => isFlooded && atMs >= floodsFromMs && account !== 'account-3' ? 4 * QUOTA_FACTOR : 1 })
      for (const atMs of [10_000, 15_000, 20_000]) {
        simulation.at(atMs + simulation.random.nextInt(2_000), () => {
          cause(simulation)
          if (isFlooded) addBursts(simulation)
        })
      }
      simulation.run(32_000)
      if (REPORT) console.log(`${name} ${seed}${isFlooded ? ' flooded' : ''}: ${describe(simulation)}`)
      for (const account of simulation.accounts.values()) assert.ok(largestShare(account, account.quota) <= 1, `${name}, seed ${seed}, ${account.name}: ${describe(simulation)}`)
      assert.ok(sum(simulation, a => a.sentAtMs.filter(atMs => atMs > 26_000).length) > 0, `${name}, seed ${seed}: requests are sent after the trouble`)
    }
  }
})

// Guards against a quota that is applied late, or a bucket that is filled by a change.
test('a changed quota holds from its document on', () => {
  for (let seed = 1; seed <= 10; seed++) {
    const simulation = new QuotaSimulation({ seed, nodes: NODES, accounts })
    addDemand(simulation, 40_000, { factorOf: () => 4 * QUOTA_FACTOR })
    const lowered = new Map(accounts.map(({ name, quota: { ratePerS, burst } }) => [name, { ratePerS: ratePerS / 2, burst: burst / 2 }]))
    simulation.at(15_000, () => { for (const [name, account] of simulation.accounts) account.quota = lowered.get(name) ?? account.quota })
    simulation.at(25_000, () => { for (const { name, quota } of accounts) (simulation.accounts.get(name) as SimulatedAccount).quota = quota })
    simulation.run(40_000)
    for (const { name, quota } of accounts) {
      const { sentAtMs } = simulation.accounts.get(name) as SimulatedAccount
      assert.ok(largestShare({ ...simulation.accounts.get(name) as SimulatedAccount }, quota) <= 1)
      const later = sentAtMs.filter(atMs => atMs > 15_400 && atMs < 25_000)
      assert.ok(largestShare({ ...simulation.accounts.get(name) as SimulatedAccount, sentAtMs: later }, lowered.get(name) as AccountQuota) <= 1, `seed ${seed}, ${name}`)
    }
  }
})

/** Share of the hot account's requests that may be lost as those of programs in progress: some programs need more than the mean, by which they are admitted. */
const MAX_LOST_IN_PROGRESS = 0.02

// Guards against programs that are refused partway, and against other accounts that pay for a hot one.
test('a hot account at 7 times its usual rate loses new programs, few of those in progress, and no other account loses any', () => {
  for (let seed = 1; seed <= 10; seed++) {
    const simulation = new QuotaSimulation({ seed, nodes: NODES, accounts })
    addDemand(simulation, 40_000, { isEven: true, factorOf: (name, atMs) => name === 'account-0' && atMs >= 20_000 && atMs < 26_000 ? 7 : 1 })
    simulation.run(45_000)
    const hot = simulation.accounts.get('account-0') as SimulatedAccount
    if (REPORT) console.log(`hot ${seed}: ${describe(simulation)}`)
    assert.ok(hot.refusedStarts > 0)
    assert.ok(hot.refusedLater <= MAX_LOST_IN_PROGRESS * hot.sentAtMs.length, describe(simulation))
    assert.is(sum(simulation, a => a === hot ? 0 : a.refusedStarts + a.refusedLater + a.unavailable), 0, describe(simulation))
  }
})

// Guards against a program without end that uses up what the account's other programs need.
test('a program that has used 8 times the mean leaves half of the bucket to the other programs of its account', () => {
  const owner = new QuotaOwner({ quotaOf: () => ({ ratePerS: 20, burst: 40 }), ownerTtlMs: 1_000 })
  owner.acquire(0, EarlierOwner.Ended, 0)
  let refusedOthers = 0
  let loopSent = 0
  for (let atMs = 4_000; atMs < 40_000; atMs += 10) {
    const [[outcome = 1] = []] = owner.take(0, ['a', atMs === 4_000 ? [] : [7], atMs === 4_000 ? [7] : [], 0, [], []], atMs) ?? []
    if (outcome === 0) loopSent++
    // Other programs need 10 requests each and half of the quota, one a second.
    if (atMs % 100 !== 0) continue
    const take: QuotaTake = ['a', atMs % 1_000 === 0 ? [] : [1_000 + Math.floor(atMs / 1_000)], atMs % 1_000 === 0 ? [1_000 + atMs / 1_000] : [], 0, [], []]
    const isRefused = owner.take(0, take, atMs)?.slice(0, 2).flat().some(reply => reply !== 0)
    // The loop is known by 8 s, when it has sent 8 times the mean and the bucket has filled again.
    if (isRefused !== false && atMs > 8_000) refusedOthers++
  }
  assert.ok(loopSent > 100 && loopSent < 36 * 12 + 100, `${loopSent} requests of the loop`)
  assert.is(refusedOthers, 0)
})

// Guards against credits that are used after the window that the bound allows for.
test('a lease ends 400 ms after it was asked for by either clock, and its unused credits are returned once', () => {
  const random = new SeededRandom(1)
  for (let seed = 0; seed < 200; seed++) {
    const lease = new QuotaLease()
    const askedAt = { steadyMs: 1_000, wallMs: 1e6 }
    for (let index = 0; index < 12; index++) lease.use('a', 0, askedAt)
    const take = lease.compose('a', { owner: 'o', known: [], begins: [0] }, askedAt)
    assert.ok(take[3] > 1)
    lease.apply(take, { owner: 'o', askedAt }, [[], [0], 2, 77, []])
    const runMs = random.nextInt(800)
    const suspendedMs = random.nextInt(2) * random.nextInt(800)
    const now = { steadyMs: 1_000 + runMs, wallMs: 1e6 + runMs + suspendedMs }
    const isValid = runMs + suspendedMs < 400
    assert.is(lease.use('a', 0, now).type === 'used', isValid)
    assert.equal(lease.expire(now).flatMap(({ returns }) => returns), isValid ? [] : [2, 77])
    assert.equal(lease.expire({ steadyMs: now.steadyMs + 400, wallMs: now.wallMs + 400 }).flatMap(({ returns }) => returns), isValid ? [1, 77] : [])
  }
})

test.run()
