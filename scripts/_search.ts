import { searchSchedules, runScenario } from '@trefoilshunt/testing'
const seed = Number(process.argv[2]), runs = Number(process.argv[3])
const t0 = Date.now()
const bad = new Map<string, number>()
const r = await searchSchedules({ runs, seed, onRun: x => { for (const v of x.violations) bad.set(v.rule, (bad.get(v.rule) ?? 0) + 1) } })
console.log(r.runs, r.totals, Date.now() - t0, 'ms', [...bad])
if (r.counterexample) { console.log(JSON.stringify(r.counterexample, null, 1)) }
